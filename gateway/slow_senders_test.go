package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/platform/wire"
	"wisteriadyke/standin/cierzo"
)

// TestCallerThatReadsLate lets a caller read nothing for some time. A complete answer must wait for it, and its endpoint
// must be free at once.
func TestCallerThatReadsLate(t *testing.T) {
	w := newCluster(t)
	w.contracts = []string{wire.ContractSlowReaders}
	var open atomic.Int64
	w.startEndpoint(longStreams(&cierzo.Endpoint{ID: "i-1"}, 60, &open))
	e := w.startEntry()
	late := streamCall
	late.uri = "/s/long"
	conn := w.open(e, late)
	defer func() { _ = conn.Close() }()
	time.Sleep(2 * time.Second)
	if totals := e.process.usages.Totals(time.Now()); open.Load() > 0 || len(totals) > 0 {
		t.Errorf("%d answers go on and usages are %v, want none", open.Load(), totals)
	}
	got := w.read(conn, late.method)
	if got.status != http.StatusOK || !got.complete || strings.Count(got.body, "id: ") != 60 {
		t.Errorf("status %d, complete %v, %d events, want all 60", got.status, got.complete, strings.Count(got.body, "id: "))
	}
}

// sendPart sends a request whose body lacks its last byte and returns the response. The request has 1.5 s.
func (w *cluster) sendPart(e *runningEntry, length int) answer {
	var dialer net.Dialer
	conn, err := dialer.DialContext(w.t.Context(), "tcp", e.settings.CallerAddress.String())
	if err != nil {
		w.t.Error(err)
		return answer{}
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: app.example\r\nX-Credential: %s\r\nX-Attempt-Id: attempt-1\r\n"+
		"X-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", testKey, length, strings.Repeat("x", length-1))
	if err != nil {
		// The entry closes a connection whose body it has no memory for before all of it was sent.
		w.t.Log(err)
	}
	return w.read(conn, http.MethodPost)
}

// TestBodiesThatArriveSlowly lets callers send a part of their bodies. Bodies must not take more memory than is set aside:
// those that find none are refused as not run, the others are cut off by their deadline, and short requests are served
// meanwhile.
func TestBodiesThatArriveSlowly(t *testing.T) {
	const length = 1000 << 10
	w := newCluster(t)
	w.contracts = []string{wire.ContractSlowReaders}
	w.memory = 32
	k := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Events: 1})
	e := w.startEntry()
	callers := int(e.process.memoryShare(requestMemoryShare)/length) + 3
	answers := make(chan answer, callers)
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			startedAt := time.Now()
			answers <- w.sendPart(e, length)
			if took := time.Since(startedAt); took > 2500*time.Millisecond {
				t.Errorf("a connection was held for %v, want 1.5s and a margin of a second at most", took)
			}
			return nil
		})
	}
	time.Sleep(500 * time.Millisecond)
	if got := w.send(e, streamCall); got.status != http.StatusOK || !got.complete {
		t.Errorf("a short request got %+v, want a complete answer", got)
	}
	_ = group.Wait()
	close(answers)
	statuses := make(map[int]int)
	for got := range answers {
		statuses[got.status]++
		if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
			t.Error("a refusal names no time to return")
		}
	}
	if refused := statuses[http.StatusServiceUnavailable]; refused < 3 || statuses[http.StatusRequestTimeout]+refused != callers {
		t.Errorf("statuses = %v, want 503 for 3 or more and 408 for the others", statuses)
	}
	if got := len(k.Requests()); got != 1 {
		t.Errorf("the endpoint got %d requests, want 1", got)
	}
	if held := e.process.ingress.Bodies.Held(); held != 0 {
		t.Errorf("%d bytes of memory for bodies were not released", held)
	}
}
