package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
)

// streamEvents is the number of events of a whole stream.
const streamEvents = 6

// event is the text of one event of a stream.
func event(attempt string, id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
}

// wholeAnswer is the answer to a call.
func wholeAnswer(attempt string) string {
	return "answer to " + attempt
}

// trouble is what an endpoint does to some of the requests that it gets.
type trouble int

// The troubles of endpoints.
const (
	troubleNone trouble = iota
	// troubleRefuse tells that it did not run them.
	troubleRefuse
	// troubleFail runs them and answers with a failure.
	troubleFail
	// troubleLose runs them and breaks the connection without an answer.
	troubleLose
	// troubleTruncate breaks off within the answer.
	troubleTruncate
	// troubleExtra sends further bytes behind the answer.
	troubleExtra
)

// troubleShare is the share of requests that a trouble hits.
const troubleShare = 0.4

// endpoint is an endpoint behind a proxy.
type endpoint struct {
	*cierzo.Worker
	proxy  *faultproxy.Proxy
	ledger *ledger

	mu      sync.Mutex
	trouble trouble
}

// newEndpoint starts and registers an endpoint.
func newEndpoint(w *world, id, pool, zone string) (*endpoint, error) {
	e := &endpoint{ledger: w.ledger}
	e.Worker = &cierzo.Worker{ID: id, Service: pool, Zone: zone, Slots: 8, Intercept: e.serve}
	e.Start()
	e.proxy = &faultproxy.Proxy{Target: e.Address()}
	if err := e.proxy.Start(); err != nil {
		return nil, err
	}
	e.Public = e.proxy.Address()
	e.Register(w.store, "ready")
	return e, nil
}

// close ends the endpoint.
func (e *endpoint) close() {
	e.proxy.Close()
	e.Close()
}

// set changes what the endpoint does to requests.
func (e *endpoint) set(t trouble) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trouble = t
}

// hit returns the trouble that meets the next request.
func (e *endpoint) hit() trouble {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rand.Float64() < troubleShare {
		return e.trouble
	}
	return troubleNone
}

// serve answers one request in place of the stand-in.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request, seen cierzo.ReceivedRequest) bool {
	if !seen.Ran {
		return false
	}
	id := r.Header.Get("X-Attempt-Id")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	t := e.hit()
	e.ledger.reached(id, sighting{
		at: time.Now(), endpoint: e.ID, ran: t != troubleRefuse, from: from, account: r.Header.Get("X-Tenant"),
		key: r.Header.Get("X-Credential"), path: seen.URI, body: seen.Body,
	})
	w.Header().Set("X-Attempt-Id", id)
	switch t {
	case troubleRefuse:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case troubleLose:
		panic(http.ErrAbortHandler)
	case troubleFail:
		w.Header().Set("X-Response-Seal", "seal-"+e.ID)
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	w.Header().Set("X-Response-Seal", "seal-"+e.ID)
	if strings.HasPrefix(r.URL.Path, "/s/") {
		e.stream(w, r, id, from, t)
		return true
	}
	body := wholeAnswer(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if t == troubleTruncate {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
	if t == troubleExtra {
		e.extra(w)
	}
	return true
}

// stream sends the events behind one.
func (e *endpoint) stream(w http.ResponseWriter, r *http.Request, id string, from int, t trouble) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for next := from + 1; next <= streamEvents; next++ {
		text := event(id, next)
		if t == troubleTruncate && next == streamEvents/2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, text)
		_ = control.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(rand.N(80 * time.Millisecond)):
		}
	}
}

// extra sends a second answer behind the first one, on the same connection.
func (e *endpoint) extra(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	conn, _, err := control.Hijack()
	if err != nil {
		return
	}
	body := wholeAnswer("nobody")
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: nobody\r\nX-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	time.Sleep(50 * time.Millisecond)
	_ = conn.Close()
}
