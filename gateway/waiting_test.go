package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

// quickCall is a request to the engines with a quick prompt.
var quickCall = call{method: http.MethodPost, uri: "/s/x", header: []string{"X-Token-Counts: 5000,1000"}, body: "prompt"}

// newContendedCluster returns a cluster of entries that agree on a chooser, with one engine of four slots. All of these
// run an answer of the given duration that the first entry passes on.
func newContendedCluster(t *testing.T, entries int, answer time.Duration) (w *cluster, engine *cierzo.Endpoint) {
	t.Helper()
	w = newCluster(t)
	cierzo.ContendedConfiguration(w.store, 2, map[string][]string{"acme": {testKey}}, cierzo.Routes()...)
	engine = w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Events: 10, Pause: answer / 10})
	for range entries {
		e := w.startEntry()
		w.waitFor("the pool is contended", func() bool {
			pool, _ := e.process.pool("engines")
			return pool.Contended
		})
	}
	w.waitFor("one entry chooses for all", func() bool {
		leaders, reports := 0, 0
		for _, e := range w.entries {
			if time.Since(e.process.choosers.Started) < time.Second || !e.process.choosers.Leads() {
				continue
			}
			leaders++
			for _, other := range w.entries {
				if e.process.usages.HasReport(other.settings.Entry, time.Now()) {
					reports++
				}
			}
		}
		return leaders == 1 && reports == entries-1
	})
	for range 4 {
		conn := w.open(w.entries[0], quickCall)
		t.Cleanup(func() { _ = conn.Close() })
	}
	w.waitFor("all slots are taken", func() bool { return len(engine.Requests()) == 4 })
	return w, engine
}

// TestQuickRequestsWaitForSlots guards against requests that queue at a full engine: two entries get another request
// each while all slots are taken.
func TestQuickRequestsWaitForSlots(t *testing.T) {
	w, engine := newContendedCluster(t, 2, time.Second)
	var conns []net.Conn
	for _, e := range w.entries {
		conns = append(conns, w.open(e, quickCall))
	}
	time.Sleep(300 * time.Millisecond)
	if got := len(engine.Requests()); got != 4 {
		t.Errorf("the engine got %d requests while its 4 slots were taken", got)
	}
	for _, conn := range conns {
		if got := w.read(conn, http.MethodPost); got.status != http.StatusOK || !got.complete {
			t.Errorf("status = %d, complete %t; want a whole answer", got.status, got.complete)
		}
		_ = conn.Close()
	}
	if got := len(engine.Requests()); got != 6 {
		t.Errorf("the engine got %d requests, want each of the 6 once", got)
	}
}

// TestEndOfWaitAtTheEntry guards against a waiting request that is run although its key was removed, and against one
// that keeps an entry from stopping.
func TestEndOfWaitAtTheEntry(t *testing.T) {
	tests := map[string]struct {
		end    func(w *cluster, e *runningEntry)
		want   int
		within time.Duration
	}{
		"key removed": {
			end: func(w *cluster, _ *runningEntry) {
				cierzo.ContendedConfiguration(w.store, 3, map[string][]string{"acme": {"another"}}, cierzo.Routes()...)
			},
			want: http.StatusUnauthorized, within: 2 * time.Second,
		},
		"entry stops": {
			end:  func(_ *cluster, e *runningEntry) { e.stop() },
			want: http.StatusServiceUnavailable, within: 200 * time.Millisecond,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w, engine := newContendedCluster(t, 1, 1500*time.Millisecond)
			conn := w.open(w.entries[0], quickCall)
			defer func() { _ = conn.Close() }()
			time.Sleep(300 * time.Millisecond)
			endedAt := time.Now()
			tc.end(w, w.entries[0])
			got := w.read(conn, http.MethodPost)
			if got.status != tc.want || time.Since(endedAt) > tc.within {
				t.Errorf("status = %d after %v, want %d within %v", got.status, time.Since(endedAt), tc.want, tc.within)
			}
			if count := len(engine.Requests()); count != 4 {
				t.Errorf("the engine got %d requests, want only the 4 that ran before", count)
			}
		})
	}
}
