package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/settings"
	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/loopback"
)

const (
	// patience bounds the wait for something that should come soon.
	patience = 10 * time.Second
	// testKey is the key of the account "acme".
	testKey = "key-of-acme"
)

// world is a store, workers and entries in one process.
type world struct {
	t       *testing.T
	store   *cierzo.Store
	workers []*cierzo.Worker
	entries []*runningEntry
}

// runningEntry is an entry with what stops it.
type runningEntry struct {
	settings settings.Gateway
	process  *Process
	stop     context.CancelFunc
	ended    chan error
}

// newWorld starts a store with a configuration.
func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, store: &cierzo.Store{}}
	w.store.Start()
	t.Cleanup(w.close)
	cierzo.Configuration(w.store, 1, map[string][]string{"acme": {testKey}}, cierzo.Routes()...)
	return w
}

// worker starts and registers a worker.
func (w *world) worker(k *cierzo.Worker) *cierzo.Worker {
	w.t.Helper()
	if k.Service == "" {
		k.Service = "engines"
	}
	if k.Zone == "" {
		k.Zone = "a"
	}
	k.Slots = 4
	k.Start()
	k.Register(w.store, "ready")
	w.workers = append(w.workers, k)
	return k
}

// entry starts an entry and waits until it is ready and knows all workers.
func (w *world) entry() *runningEntry {
	w.t.Helper()
	return w.entryWith(w.store.Address())
}

// entryWith starts an entry that reaches the store at an address. Entries are in zones a and b in turn.
func (w *world) entryWith(store netip.AddrPort) *runningEntry {
	w.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	number := len(w.entries) + 1
	e := &runningEntry{
		settings: settings.Gateway{
			Entry:          fleet.EntryID(fmt.Sprintf("entry-%d", number)),
			Zone:           []fleet.Zone{"b", "a"}[number%2],
			CallerAddress:  freeAddress(w.t),
			ReadyAddress:   freeAddress(w.t),
			PeerAddress:    freeAddress(w.t),
			MetricsAddress: freeAddress(w.t),
			Store:          store,
			RevokeTime:     5 * time.Second,
			GraceTime:      8 * time.Second,
			BalancerDelay:  200 * time.Millisecond,
			RetryRatio:     0.2,
			RetryBurst:     100,
			ColdFactor:     1.5,
			Memory:         256,
		},
		stop:  stop,
		ended: make(chan error, 1),
	}
	e.process = &Process{Settings: e.settings, Log: zerolog.New(zerolog.NewTestWriter(w.t)).Level(zerolog.WarnLevel)}
	w.entries = append(w.entries, e)
	var group errgroup.Group
	group.Go(func() error {
		e.ended <- e.process.Run(ctx)
		return nil
	})
	w.eventually("the entry is ready", func() bool { return e.readyStatus() == http.StatusOK })
	w.eventually("the entry knows the workers", func() bool {
		return len(e.process.board.Endpoints.Snapshot().Rows) == len(w.workers)
	})
	return e
}

// close stops all parts.
func (w *world) close() {
	for _, e := range w.entries {
		e.stop()
	}
	for _, k := range w.workers {
		k.Close()
	}
	for _, e := range w.entries {
		select {
		case err := <-e.ended:
			if err != nil {
				w.t.Errorf("an entry ended with %v", err)
			}
		case <-time.After(patience):
			w.t.Error("an entry does not end")
		}
	}
	w.store.Close()
}

// eventually waits until something holds.
func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not within %v: %s", patience, what)
}

// readyStatus asks as the balancer does.
func (e *runningEntry) readyStatus() int {
	target := fmt.Sprintf("http://%s/wisteriadyke/ready", e.settings.ReadyAddress)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, target, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// call is a request of a caller, written by hand so that its bytes are known.
type call struct {
	method string
	uri    string
	header []string
	body   string
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// whole tells that the answer did not break off.
	whole bool
}

// send sends a call on a connection of its own and reads the answer.
func (w *world) send(e *runningEntry, c call) answer {
	w.t.Helper()
	conn := w.open(e, c)
	defer func() { _ = conn.Close() }()
	return w.read(conn, c.method)
}

// open sends a call and returns its connection.
func (w *world) open(e *runningEntry, c call) net.Conn {
	w.t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(w.t.Context(), "tcp", e.settings.CallerAddress.String())
	if err != nil {
		w.t.Fatal(err)
	}
	lines := append([]string{
		fmt.Sprintf("%s %s HTTP/1.1", c.method, c.uri), "Host: App.Example.:80", "X-Attempt-Id: attempt-1",
		"X-Credential: " + testKey, "X-Deadline-Ms: 4000", fmt.Sprintf("Content-Length: %d", len(c.body)),
	}, c.header...)
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+c.body); err != nil {
		w.t.Fatal(err)
	}
	return conn
}

// read reads an answer.
func (w *world) read(conn net.Conn, method string) answer {
	w.t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil}
}

// freeAddress returns an address of this machine with a free port.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := loopback.FreeAddress(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return address
}
