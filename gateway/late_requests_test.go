package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/cierzo"
)

// connect opens a connection of a caller to an entry.
func (w *cluster) connect(e *runningEntry) net.Conn {
	w.t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(w.t.Context(), "tcp", e.settings.CallerAddress.String())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestRequestsLateInTheGraceTime stops an entry while it gets requests over open connections. It guards against requests that
// are passed on although the entry ends before their answer, and against ones that were sent before the stop and are cut
// without an answer at the end of the grace time.
func TestRequestsLateInTheGraceTime(t *testing.T) {
	// lateTime is the time from the stop to the requests: their deadlines are then beyond the end of the grace time.
	const graceTime, lateTime, most = 3 * time.Second, 1500 * time.Millisecond, 3300 * time.Millisecond
	w := newCluster(t)
	w.graceTime = graceTime
	for _, service := range []string{"services", "engines"} {
		for i := range 2 {
			k := &cierzo.Endpoint{ID: fmt.Sprint(service, i), Service: service, Work: 1800 * time.Millisecond}
			if service == "engines" {
				k.Events = 2
			}
			w.startEndpoint(k)
		}
	}
	e := w.startEntry()
	time.Sleep(startOfChoosing)
	request := func(method, uri string, length int) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: ID\r\nX-Deadline-Ms: 4000\r\nX-Credential: %s\r\n"+
			"Content-Length: %d\r\n\r\n", method, uri, testKey, length)
	}
	// Each request is sent in two parts: before the stop and lateTime after it. A status of 0 means that the connection may also
	// be closed without an answer, since nothing was read before the stop; such a request must not reach an endpoint.
	cases := map[string]struct {
		method, before, late string
		want                 int
	}{
		"once":       {http.MethodPost, "", request(http.MethodPost, "/u/x", 0), 0},
		"repeatable": {http.MethodGet, "", request(http.MethodGet, "/r/x", 0), 0},
		"stream":     {http.MethodPost, "", request(http.MethodPost, "/s/x", 0), 0},
		"late-head":  {http.MethodPost, request(http.MethodPost, "/u/x", 0)[:60], request(http.MethodPost, "/u/x", 0)[60:], 0},
		"late-body":  {http.MethodPost, request(http.MethodPost, "/s/x", 4) + "fi", "ng", http.StatusServiceUnavailable},
		"in-time":    {http.MethodPost, request(http.MethodPost, "/s/x", 0), "", http.StatusOK},
		"unanswered": {http.MethodPost, request(http.MethodPost, "/s/long", 0), "", http.StatusGatewayTimeout},
	}
	for _, k := range w.endpoints {
		k.Intercept = func(_ http.ResponseWriter, r *http.Request, seen cierzo.ReceivedRequest) bool {
			if seen.URI == "/s/long" {
				<-r.Context().Done()
			}
			return seen.URI == "/s/long"
		}
	}
	var group errgroup.Group
	ready := make(chan struct{})
	for name, tc := range cases {
		conn := w.connect(e)
		if _, err := io.WriteString(conn, strings.ReplaceAll(tc.before, "ID", name)); err != nil {
			t.Fatal(err)
		}
		group.Go(func() error {
			<-ready
			time.Sleep(lateTime)
			// The entry may have closed the connection.
			_, _ = io.WriteString(conn, strings.ReplaceAll(tc.late, "ID", name))
			got := w.read(conn, tc.method)
			if tc.want != 0 && (got.status != tc.want || got.status == http.StatusOK && !got.complete) {
				t.Errorf("%s: answer = %+v, want status %d", name, got, tc.want)
			}
			if arrivals := w.arrivals(name); tc.late != "" && arrivals > 0 {
				t.Errorf("%s: %d requests reached endpoints, want none; answer = %+v", name, arrivals, got)
			}
			return nil
		})
	}
	time.Sleep(200 * time.Millisecond)
	stoppedAt := time.Now()
	e.stop()
	close(ready)
	_ = group.Wait()
	ended := <-e.ended
	e.ended <- ended
	if took := time.Since(stoppedAt); took > most {
		t.Errorf("the entry took %v to stop, want %v at most", took, most)
	}
}

// arrivals returns the number of requests with a caller attempt ID that reached endpoints.
func (w *cluster) arrivals(attempt string) int {
	count := 0
	for _, k := range w.endpoints {
		for _, seen := range k.Requests() {
			if seen.Header.Get("X-Attempt-Id") == attempt {
				count++
			}
		}
	}
	return count
}
