package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"wisteriadyke/platform/wire"
	"wisteriadyke/standin/cierzo"
)

const (
	// slowCallTime bounds the time for which an endpoint is held up by a caller that reads slowly, less than the time after
	// which endpoints abort a response that stays unread.
	slowCallTime = 2 * time.Second
	// slowCallers is the number of callers that read slowly, as many as the endpoints of the test have slots.
	slowCallers = 8
)

// longStreams lets an endpoint answer requests for "/s/long" with events of a kilobyte as fast as they are read, and
// counts those of these answers that go on.
func longStreams(k *cierzo.Endpoint, events int, open *atomic.Int64) *cierzo.Endpoint {
	k.Intercept = func(rw http.ResponseWriter, r *http.Request, _ cierzo.ReceivedRequest) bool {
		if r.URL.Path != "/s/long" {
			return false
		}
		open.Add(1)
		defer open.Add(-1)
		rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		rw.Header().Set("X-Response-Seal", "seal")
		for id := 1; id <= events; id++ {
			if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 1000)); err != nil {
				return true
			}
		}
		return true
	}
	return k
}

// callerBuffers returns the number of bytes that wait for callers.
func (e *runningEntry) callerBuffers() int64 {
	if gauge, ok := e.process.metrics.Get(metricCallerBuffers).(metrics.Gauge); ok {
		return gauge.Value()
	}
	return 0
}

// startSlowCallers opens streams whose callers read a few bytes a second until the test ends.
func (w *cluster) startSlowCallers(e *runningEntry) []net.Conn {
	w.t.Helper()
	slow := streamCall
	slow.uri = "/s/long"
	var conns []net.Conn
	for range slowCallers {
		conn := w.open(e, slow)
		w.t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
	}
	return conns
}

// TestCallersThatReadSlowly lets callers read a few bytes a second from long answers, one for each slot of the endpoints.
// They must not hold the endpoints' slots, nor memory beyond their buffers; the others must get complete answers in time.
func TestCallersThatReadSlowly(t *testing.T) {
	w := newCluster(t)
	w.contracts = []string{wire.ContractSlowReaders}
	var open atomic.Int64
	for _, id := range []string{"i-1", "i-2"} {
		w.startEndpoint(longStreams(&cierzo.Endpoint{ID: id, Events: 4, Pause: 10 * time.Millisecond}, 20000, &open))
	}
	e := w.startEntry()
	startedAt := time.Now()
	conns := w.startSlowCallers(e)
	w.waitFor("the long answers begin", func() bool { return open.Load() > 0 })
	const objective = 300 * time.Millisecond
	var held time.Duration
	for time.Since(startedAt) < 4*time.Second {
		for _, conn := range conns {
			_, _ = io.ReadFull(conn, make([]byte, 2))
		}
		sentAt := time.Now()
		got := w.send(e, streamCall)
		if took := time.Since(sentAt); got.status != http.StatusOK || got.body != cierzo.Stream(1, 4) || took > objective {
			t.Errorf("a quick caller got %+v after %v, want a complete answer within %v", got, took, objective)
		}
		if open.Load() > 0 {
			held = time.Since(startedAt)
		}
		if buffered := e.callerBuffers(); buffered > slowCallers*64<<10 {
			t.Errorf("%d bytes are buffered for %d callers", buffered, slowCallers)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if held > slowCallTime {
		t.Errorf("the endpoints were held for %v or longer, want %v at most", held, slowCallTime)
	}
	if got := metrics.GetOrRegisterCounter("dispatch.slow_callers", e.process.metrics).Count(); got == 0 {
		t.Error("no slow caller was counted")
	}
	for _, conn := range conns {
		// A caller recognizes the end of an answer in chunks by the chunk of length 0.
		if rest, _ := io.ReadAll(conn); strings.HasSuffix(string(rest), "\r\n0\r\n\r\n") {
			t.Error("the answer to a slow caller looks complete")
		}
	}
	w.waitFor("memory is released", func() bool { return e.callerBuffers() == 0 })
}
