package gateway

import (
	"net/http"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
)

// TestLoneEntryWithOneEndpoint guards against a crash that is not counted, since the only entry has no other endpoint to
// compare with, and against a death that is reported since the path to the only endpoint is cut.
func TestLoneEntryWithOneEndpoint(t *testing.T) {
	// settleTime is how long after the attempt broke the registry has shown what became of the endpoint.
	const settleTime = rowLapse + 3*time.Second
	for name, tc := range map[string]struct {
		crashes bool
		want    int
	}{"endpoint crashes": {crashes: true, want: 1}, "path is cut": {}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t)
			w.startEndpoint(&cierzo.Endpoint{ID: "s-1", Service: "services", Work: time.Second})
			e := w.startEntry()
			time.Sleep(startOfChoosing)
			conn := w.open(e, call{method: http.MethodPost, uri: "/u/x", body: "filing"})
			w.waitFor("the endpoint runs the request", func() bool { return len(w.endpoints[0].Requests()) == 1 })
			if tc.crashes {
				w.endpoints[0].Crash()
				time.AfterFunc(restartTime, func() {
					w.store.Remove("servers", "s-1")
					next := &cierzo.Endpoint{ID: "s-2", Service: "services", Zone: "a", Slots: 4}
					next.Start()
					t.Cleanup(next.Close)
					next.Register(w.store, "ready")
				})
			} else {
				e.path.SetCut(faultproxy.CutReset)
			}
			w.read(conn, http.MethodPost)
			_ = conn.Close()
			time.Sleep(settleTime)
			deaths := 0
			for _, record := range e.process.suspects.Records() {
				deaths += len(record.Deaths)
			}
			if deaths != tc.want {
				t.Errorf("%d deaths counted, want %d", deaths, tc.want)
			}
		})
	}
}
