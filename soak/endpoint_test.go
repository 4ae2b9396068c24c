package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
)

// eventsPerStream is the number of events of a complete stream.
const eventsPerStream = 6

// eventText returns the text of one event of a stream.
func eventText(attempt string, id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
}

// expectedAnswer returns the complete answer to a call.
func expectedAnswer(attempt string) string {
	return "answer to " + attempt
}

// requestFault specifies how an endpoint fails some of the requests that it receives.
type requestFault int

// The faults of endpoints.
const (
	requestFaultNone requestFault = iota
	// requestFaultRefuse does not run the request and reports that it was not run.
	requestFaultRefuse
	// requestFaultError runs the request and answers with status 500.
	requestFaultError
	// requestFaultNoAnswer runs the request and breaks the connection without an answer.
	requestFaultNoAnswer
	// requestFaultTruncate breaks the connection in the middle of the answer.
	requestFaultTruncate
	// requestFaultExtraAnswer sends a second answer to a call after the first one on the same connection. It does not
	// affect streams.
	requestFaultExtraAnswer
)

// requestFaultShare is the share of requests that the current fault affects.
const requestFaultShare = 0.4

// endpoint is a stand-in behind a fault proxy; it records the requests that it receives in the attempt log, except
// those that the stand-in refuses.
type endpoint struct {
	*cierzo.Endpoint
	proxy    *faultproxy.Proxy
	attempts *attemptLog
	// onCrash is called when a request crashes the endpoint; crashed reports whether one did.
	onCrash func()
	crashed atomic.Bool

	mu    sync.Mutex
	fault requestFault
}

// newEndpoint starts an endpoint and its proxy and registers it as ready. It returns an error if the proxy can't start.
func newEndpoint(w *deployment, id, pool, zone string) (*endpoint, error) {
	e := &endpoint{attempts: w.attemptLog}
	e.onCrash = func() { w.crash(e) }
	e.Endpoint = &cierzo.Endpoint{ID: id, Service: pool, Zone: zone, Slots: 8, Intercept: e.serve}
	e.Start()
	e.proxy = &faultproxy.Proxy{Target: e.Address()}
	if err := e.proxy.Start(); err != nil {
		return nil, err
	}
	if err := w.paths.add(w, id, zone, e.proxy.Address()); err != nil {
		return nil, err
	}
	e.Public = e.proxy.Address()
	e.Register(w.store, "ready")
	return e, nil
}

// close stops the endpoint and its proxy.
func (e *endpoint) close() {
	e.proxy.Close()
	e.Close()
}

// setFault sets the fault that affects the share requestFaultShare of the following requests.
func (e *endpoint) setFault(fault requestFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
}

// drawFault returns the fault to apply to the next request: the endpoint's fault with probability requestFaultShare.
func (e *endpoint) drawFault() requestFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if rand.Float64() < requestFaultShare {
		return e.fault
	}
	return requestFaultNone
}

// serve records and answers a request in place of the stand-in. It returns false, without doing either, for a request
// that the stand-in refuses.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request, received cierzo.ReceivedRequest) bool {
	if !received.Ran {
		return false
	}
	id := r.Header.Get("X-Attempt-Id")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	fault := e.drawFault()
	e.attempts.recordDelivery(id, delivery{
		at: time.Now(), endpoint: e.ID, ran: fault != requestFaultRefuse, from: from, account: r.Header.Get("X-Tenant"),
		key: r.Header.Get("X-Credential"), path: received.URI, body: received.Body,
	})
	w.Header().Set("X-Attempt-Id", id)
	switch fault {
	case requestFaultRefuse:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case requestFaultNoAnswer:
		panic(http.ErrAbortHandler)
	case requestFaultError:
		w.Header().Set("X-Response-Seal", "seal-"+e.ID)
		w.WriteHeader(http.StatusInternalServerError)
		return true
	}
	w.Header().Set("X-Response-Seal", "seal-"+e.ID)
	if strings.Contains(r.Header.Get("X-Prompt-Prefix"), ","+crashPart+":") {
		_ = http.NewResponseController(w).Flush()
		e.onCrash()
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/s/") {
		e.streamEvents(w, r, id, from, fault)
		return true
	}
	body := expectedAnswer(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == requestFaultTruncate {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
	if fault == requestFaultExtraAnswer {
		e.writeExtraAnswer(w)
	}
	return true
}

// streamEvents sends the events whose ids are greater than the value of from, with random pauses, until the client
// disconnects.
func (e *endpoint) streamEvents(w http.ResponseWriter, r *http.Request, id string, from int, fault requestFault) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for next := from + 1; next <= eventsPerStream; next++ {
		text := eventText(id, next)
		if fault == requestFaultTruncate && next == eventsPerStream/2 {
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

// writeExtraAnswer sends a second answer after the first one on the same connection.
func (e *endpoint) writeExtraAnswer(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	conn, _, err := control.Hijack()
	if err != nil {
		return
	}
	body := expectedAnswer("nobody")
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: nobody\r\nX-Response-Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	time.Sleep(50 * time.Millisecond)
	_ = conn.Close()
}
