package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// openPart sends a request whose body lacks its last byte, and returns the connection. The request has 1.5 s.
func (w *cluster) openPart(e *runningEntry, length int) net.Conn {
	w.t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(w.t.Context(), "tcp", e.settings.CallerAddress.String())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /s/x HTTP/1.1\r\nHost: app.example\r\nX-Credential: %s\r\nX-Attempt-Id: attempt-1\r\n"+
		"X-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s", testKey, length, strings.Repeat("x", length-1))
	if err != nil {
		// The entry refuses a body that it has no memory for before it has arrived.
		w.t.Log(err)
	}
	return conn
}

// TestBodiesThatArriveSlowly lets callers send a part of their bodies. Bodies must not take more memory than is set aside:
// those that find none are refused at once as not run, the others are cut off by their deadline, and short requests are
// served meanwhile.
func TestBodiesThatArriveSlowly(t *testing.T) {
	const length = 1000 << 10
	w := newCluster(t)
	w.contracts = []string{wire.ContractSlowReaders}
	w.memory = 32
	k := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Events: 1})
	e := w.startEntry()
	fitting := int(e.process.memoryShare(requestMemoryShare) / length)
	startedAt := time.Now()
	var conns []net.Conn
	for range fitting + 3 {
		conns = append(conns, w.openPart(e, length))
	}
	if got := w.send(e, streamCall); got.status != http.StatusOK || !got.complete {
		t.Errorf("a short request got %+v, want a complete answer", got)
	}
	statuses := make(map[int]int)
	for _, conn := range conns {
		got := w.read(conn, http.MethodPost)
		statuses[got.status]++
		if got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
			t.Error("a refusal names no time to return")
		}
	}
	if refused := statuses[http.StatusServiceUnavailable]; refused < 3 || statuses[http.StatusRequestTimeout]+refused != len(conns) {
		t.Errorf("statuses = %v, want 503 for 3 or more and 408 for the others", statuses)
	}
	if took := time.Since(startedAt); took > 2500*time.Millisecond {
		t.Errorf("the connections were held for %v, want 1.5s and a margin of a second at most", took)
	}
	if got := len(k.Requests()); got != 1 {
		t.Errorf("the endpoint got %d requests, want 1", got)
	}
	if !e.process.ingress.BodyMemory.TryAcquire(e.process.memoryShare(requestMemoryShare)) {
		t.Error("memory for bodies was not released")
	}
}
