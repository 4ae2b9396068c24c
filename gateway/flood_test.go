package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

// TestEndpointThatSendsWithoutEnd lets an endpoint answer with bytes without end. The caller must get a failure that
// doesn't say that the call was not run, the endpoint must count as failing, and its place must be free again.
func TestEndpointThatSendsWithoutEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: ATTEMPT\r\nX-Response-Seal: s\r\n"
	tests := map[string]*cierzo.Flood{
		"header": {Prefix: head, Repeat: "X-A: " + strings.Repeat("x", 1000) + "\r\n"},
		"body":   {Prefix: head + "\r\n", Repeat: strings.Repeat("x", 32<<10)},
		"slow":   {Prefix: head + "\r\n", Repeat: "x", Pause: 20 * time.Millisecond},
	}
	for name, flood := range tests {
		t.Run(name, func(t *testing.T) {
			if err := flood.Start(t.Context()); err != nil {
				t.Fatal(err)
			}
			defer flood.Close()
			w := newCluster(t)
			w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services", Public: flood.Address()})
			e := w.startEntry()
			start := time.Now()
			got := w.send(e, call{method: http.MethodPost, uri: "/u/x"})
			elapsed := time.Since(start)
			if got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout || flood.Received() != 1 {
				t.Errorf("status = %d after %d calls, want 502 or 504 after 1", got.status, flood.Received())
			}
			// The timeout of the route is two seconds.
			if elapsed > 2500*time.Millisecond {
				t.Errorf("the answer took %v, want at most 2.5s", elapsed)
			}
			w.waitFor("the connection is closed", func() bool { return flood.Open() == 0 })
			if totals := e.process.usages.Totals(time.Now()); len(totals) != 0 {
				t.Errorf("usages = %v, want none", totals)
			}
			endpoint, _ := e.process.state.Endpoints.Get("i-1")
			if name != "slow" && e.process.outliers.Usable(endpoint, time.Now()) {
				t.Error("the endpoint doesn't count as failing")
			}
		})
	}
}
