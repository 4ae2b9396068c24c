package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
)

// weightChunkBytes is the size of the chunks in which weights are sent.
const weightChunkBytes = 64 << 10

// Weights serves zeros in place of model weights, at one rate shared by all readers.
type Weights struct {
	// Size is the size of every weight file in bytes.
	Size int64
	// Rate bounds the bytes per second sent to all readers together; 0 means no bound.
	Rate int64

	mu       sync.Mutex
	nextSend time.Time
}

// reserve schedules the sending of n bytes at the shared rate, and returns how long to wait before sending them.
func (w *Weights) reserve(n int64, now time.Time) time.Duration {
	if w.Rate <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.nextSend.Before(now) {
		w.nextSend = now
	}
	pause := w.nextSend.Sub(now)
	w.nextSend = w.nextSend.Add(time.Duration(n) * time.Second / time.Duration(w.Rate))
	return pause
}

// weights handles GET /v1/weights/{name}.
func (s *Server) weights(c iris.Context) {
	if s.Store.Faults.Settings().Outage {
		writeError(c, ErrOutage)
		return
	}
	c.ContentType("application/octet-stream")
	c.Header("Content-Length", strconv.FormatInt(s.Weights.Size, 10))
	c.StatusCode(http.StatusOK)
	chunk := make([]byte, weightChunkBytes)
	for remaining := s.Weights.Size; remaining > 0; {
		n := min(remaining, weightChunkBytes)
		if !sleep(c, s.Weights.reserve(n, time.Now())) {
			return
		}
		if _, err := c.Write(chunk[:n]); err != nil {
			return
		}
		remaining -= n
	}
}

// sleep waits for d. It reports false if the client disconnects first.
func sleep(c iris.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.Request().Context().Done():
		return false
	}
}
