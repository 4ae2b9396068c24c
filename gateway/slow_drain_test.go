package gateway

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wisteriadyke/io/tcp"
	"wisteriadyke/platform/wire"
	"wisteriadyke/standin/cierzo"
)

// TestSlowReadersWhileTheEntryDrains stops an entry while callers read a few bytes a second and an endpoint reads no
// bodies. The entry must not wait for them longer than without draining, must not claim that the call to the endpoint did
// not run, and must complete the answer to a caller that keeps up.
func TestSlowReadersWhileTheEntryDrains(t *testing.T) {
	listener, err := (&net.ListenConfig{Control: tcp.Buffers{Read: 4 << 10}.Control}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	w := newCluster(t)
	w.contracts, w.direct = []string{wire.ContractSlowReaders}, true
	var open atomic.Int64
	for _, id := range []string{"i-1", "i-2"} {
		w.startEndpoint(longStreams(&cierzo.Endpoint{ID: id, Events: 40, Pause: 50 * time.Millisecond}, 20000, &open))
	}
	w.startEndpoint(&cierzo.Endpoint{ID: "i-3", Service: "services", Public: listener.Addr().(*net.TCPAddr).AddrPort()})
	e := w.startEntry()
	quick := w.open(e, streamCall)
	defer func() { _ = quick.Close() }()
	w.startSlowCallers(e)
	stuck := w.open(e, call{method: http.MethodPost, uri: "/u/x", body: strings.Repeat("x", 1000<<10)})
	defer func() { _ = stuck.Close() }()
	w.waitFor("the long answers begin", func() bool { return open.Load() > 0 })
	stoppedAt := time.Now()
	e.stop()
	if got := w.read(quick, http.MethodPost); !got.complete || got.body != cierzo.Stream(1, 40) {
		t.Errorf("a quick caller got %+v, want a complete answer", got)
	}
	if got := w.read(stuck, http.MethodPost); got.status != http.StatusBadGateway && got.status != http.StatusGatewayTimeout {
		t.Errorf("the call that may have run got status %d, want 502 or 504", got.status)
	}
	ended := <-e.ended
	e.ended <- ended
	if took, most := time.Since(stoppedAt), slowCallTime+time.Second; took > most {
		t.Errorf("the entry took %v to stop, want %v at most", took, most)
	}
}
