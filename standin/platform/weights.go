package platform

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
)

// weightChunk is how many bytes of weights are sent at a time.
const weightChunk = 64 << 10

// Weights serves zero bytes in place of model weights, all readers together at one rate.
type Weights struct {
	// Size is the length of every weight file in bytes.
	Size int64
	// Rate bounds all readers together, in bytes a second; 0 means no bound.
	Rate int64

	mu   sync.Mutex
	next time.Time
}

// reserve returns how long to wait before sending n bytes.
func (w *Weights) reserve(n int64, now time.Time) time.Duration {
	if w.Rate <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next.Before(now) {
		w.next = now
	}
	pause := w.next.Sub(now)
	w.next = w.next.Add(time.Duration(n) * time.Second / time.Duration(w.Rate))
	return pause
}

// weights handles GET /v1/weights/{name}.
func (s *Server) weights(c iris.Context) {
	if s.Store.Faults.Settings().Outage {
		fail(c, ErrOutage)
		return
	}
	c.ContentType("application/octet-stream")
	c.Header("Content-Length", strconv.FormatInt(s.Weights.Size, 10))
	c.StatusCode(http.StatusOK)
	chunk := make([]byte, weightChunk)
	for left := s.Weights.Size; left > 0; {
		n := min(left, weightChunk)
		if !pause(c, s.Weights.reserve(n, time.Now())) {
			return
		}
		if _, err := c.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}

// pause waits and reports whether the reader is still there.
func pause(c iris.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-c.Request().Context().Done():
		return false
	}
}
