package gateway

import (
	"io"
	"net/http"
	"testing"

	"wisteriadyke/standin/cierzo"
)

// TestAnswersThatEndWithTheirConnection lets endpoints answer with neither a length nor chunks and close the connection.
// A complete answer must be passed on, and a stream that ends inside an event must go on elsewhere.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nX-Response-Seal: seal\r\n"
	for name, test := range map[string]struct {
		service string
		call    call
		raw     string
		want    string
	}{
		"call": {
			service: "services", call: call{method: http.MethodGet, uri: "/r/x"}, raw: head + "\r\nwhole answer", want: "whole answer",
		},
		"stream": {
			service: "engines", call: streamCall, raw: head + "Content-Type: text/event-stream\r\n\r\n" + cierzo.Stream(1, 3),
			want: cierzo.Stream(1, 3),
		},
		"stream that ends inside an event": {
			service: "engines", call: streamCall,
			raw:  head + "Content-Type: text/event-stream\r\n\r\n" + cierzo.Stream(1, 2) + "id: 3\ndata: pie",
			want: cierzo.Stream(1, 4),
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t)
			first := true
			for _, id := range []string{"i-1", "i-2"} {
				w.startEndpoint(&cierzo.Endpoint{
					ID: id, Service: test.service, Events: 4,
					Intercept: func(rw http.ResponseWriter, _ *http.Request, _ cierzo.ReceivedRequest) bool {
						if !first {
							return false
						}
						first = false
						conn, _, err := http.NewResponseController(rw).Hijack()
						if err != nil {
							t.Error(err)
							return true
						}
						_, _ = io.WriteString(conn, test.raw)
						_ = conn.Close()
						return true
					},
				})
			}
			got := w.send(w.startEntry(), test.call)
			if got.status != http.StatusOK || !got.complete || got.body != test.want {
				t.Errorf("answer = %+v, want %q", got, test.want)
			}
		})
	}
}
