package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"wisteriadyke/core/fleet"
	"wisteriadyke/platform/wire"
	"wisteriadyke/standin/cierzo"
)

// TestErrorAfterBrokenStream guards against the error of the next endpoint in the middle of a stream that has begun and
// broke off, and against a stream that then ends as if it were complete. The caller gets whole events of the stream in
// order, and a connection that ends early unless it got all of them.
func TestErrorAfterBrokenStream(t *testing.T) {
	const (
		events = 6
		ids    = "X-Attempt-Id: attempt-1\r\nX-Response-Seal: second\r\n"
		stream = "Content-Type: text/event-stream\r\n"
	)
	answers := map[string]string{
		"error":                   "HTTP/1.1 500 Error\r\n" + ids + "Content-Length: 6\r\n\r\nbroken",
		"error in chunks":         "HTTP/1.1 500 Error\r\n" + ids + "Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
		"error without a length":  "HTTP/1.1 500 Error\r\n" + ids + "\r\nbroken",
		"error as events":         "HTTP/1.1 500 Error\r\n" + ids + stream + "\r\n" + cierzo.Stream(4, events),
		"error without a seal":    "HTTP/1.1 502 Error\r\nX-Attempt-Id: attempt-1\r\nContent-Length: 6\r\n\r\nbroken",
		"refusal":                 "HTTP/1.1 503 Full\r\n" + ids + "X-Not-Executed: 1\r\nContent-Length: 6\r\n\r\nbroken",
		"misdirected":             "HTTP/1.1 421 Other\r\nContent-Length: 6\r\n\r\nbroken",
		"redirect":                "HTTP/1.1 302 Found\r\n" + ids + "Location: /s/y\r\nContent-Length: 6\r\n\r\nbroken",
		"not found":               "HTTP/1.1 404 Not Found\r\n" + ids + "Content-Length: 6\r\n\r\nbroken",
		"no content":              "HTTP/1.1 204 No Content\r\n" + ids + "\r\n",
		"success with a text":     "HTTP/1.1 200 OK\r\n" + ids + "Content-Type: text/plain\r\nContent-Length: 8\r\n\r\nbroken\n\n",
		"success without a text":  "HTTP/1.1 200 OK\r\n" + ids + "Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n",
		"text between events":     "HTTP/1.1 200 OK\r\n" + ids + stream + "\r\n" + cierzo.Stream(4, 5) + "HTTP/1.1 500 Error\r\n\r\nbroken",
		"text before events":      "HTTP/1.1 200 OK\r\n" + ids + stream + "\r\nbroken\n\n" + cierzo.Stream(4, events),
		"events from the start":   "HTTP/1.1 200 OK\r\n" + ids + stream + "\r\n" + cierzo.Stream(1, events),
		"events with a gap":       "HTTP/1.1 200 OK\r\n" + ids + stream + "\r\n" + cierzo.Stream(5, events),
		"no answer in protocol":   "broken\r\n\r\n",
		"broken head":             "HTTP/1.1 500 Err",
		"nothing":                 "",
		"two heads":               "HTTP/1.1 500 Error\r\n" + ids + "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + ids + stream + "\r\n" + cierzo.Stream(4, events),
		"error of another answer": "HTTP/1.1 500 Error\r\nX-Attempt-Id: attempt-0\r\nX-Response-Seal: other\r\nContent-Length: 6\r\n\r\nbroken",
	}
	modes := map[string]struct {
		contracts []string
		begin     string
	}{
		"between events":            {begin: cierzo.Stream(1, 3)},
		"inside an event, buffered": {begin: cierzo.Stream(1, 3) + "id: 4\ndata: pie", contracts: []string{wire.ContractSlowReaders}},
	}
	for mode, m := range modes {
		t.Run(mode, func(t *testing.T) {
			w := newCluster(t)
			w.contracts = m.contracts
			e := w.startEntry()
			for name, answer := range answers {
				t.Run(name, func(t *testing.T) {
					// The endpoints of other cases are left out for a while after their failures.
					for _, k := range w.endpoints {
						w.store.Remove("servers", k.ID)
					}
					for i := range 2 {
						k := &cierzo.Endpoint{ID: fmt.Sprintf("i-%s-%d", name, i), Events: events, Intercept: breakAndAnswer(t, m.begin, answer)}
						w.startEndpoint(k)
					}
					w.waitFor("the entry knows the last endpoint", func() bool {
						_, found := e.process.state.Endpoints.Get(fleet.EndpointID(w.endpoints[len(w.endpoints)-1].ID))
						return found
					})
					c := streamCall
					c.uri += "?" + url.QueryEscape(name)
					got := w.send(e, c)
					whole := cierzo.Stream(1, events)
					if !strings.HasPrefix(whole, got.body) {
						t.Errorf("the caller got %q, want a part of the stream", got.body)
					}
					if got.complete && got.status == http.StatusOK && got.body != whole {
						t.Errorf("the stream ends as complete after %q", got.body)
					}
					if !strings.HasPrefix(got.body, cierzo.Stream(1, 3)) {
						t.Errorf("the caller got status %d and %q, want the events before the break", got.status, got.body)
					}
				})
			}
		})
	}
}

// breakAndAnswer returns the behavior of an endpoint that begins a stream and breaks it off, and that answers the request
// that resumes a stream with the bytes of answer.
func breakAndAnswer(
	t *testing.T, begin, answer string,
) func(http.ResponseWriter, *http.Request, cierzo.ReceivedRequest) bool {
	return func(rw http.ResponseWriter, r *http.Request, _ cierzo.ReceivedRequest) bool {
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			t.Error(err)
			return true
		}
		defer func() { _ = conn.Close() }()
		if r.Header.Get("Last-Event-Id") != "" {
			_, _ = io.WriteString(conn, answer)
			return true
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt-1\r\nX-Response-Seal: first\r\n"+
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+
			fmt.Sprintf("%x\r\n%s\r\n", len(begin), begin))
		return true
	}
}
