package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
	"wisteriadyke/standin/loopback"
)

const (
	// graceTime is how long an entry has to end after the signal to stop.
	graceTime = 4 * time.Second
	// startTime bounds the time until an entry is ready.
	startTime = 20 * time.Second
	// lastingKey is the key of an account that is never removed.
	lastingKey = "key-lasting"
	// lastingAccount holds it.
	lastingAccount = "acme"
)

// entry is one entry process with the proxies around it.
type entry struct {
	number   int
	settings string
	ready    netip.AddrPort
	// callers stands between callers and the entry, store between it and the store, peers between other entries and it.
	callers, store, peers *faultproxy.Proxy
	// door lets the store have faults for this entry alone.
	door      func()
	doorFault *fault[cierzo.Fault]
	log       *os.File

	// busy is held by the one fault that signals the process.
	busy sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	// expected tells that the soak itself has ended the process.
	expected bool
	exited   chan struct{}
}

// fault is a value that faults change while others read it.
type fault[T any] struct {
	mu    sync.Mutex
	value T
}

// set changes the value.
func (f *fault[T]) set(value T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value = value
}

// get returns the value.
func (f *fault[T]) get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// world is a whole deployment under test.
type world struct {
	evidence
	t         *testing.T
	folder    string
	store     *cierzo.Store
	entries   []*entry
	endpoints []*endpoint

	background errgroup.Group
	// changes guards what faults change: the configuration and the notes of the evidence.
	changes sync.Mutex
	version int
	keys    map[string][]string
	// gone are endpoints that have left, and replaced counts them.
	gone     []*endpoint
	replaced int
	// unexpected are processes that ended by themselves.
	unexpected []string
}

// newWorld starts a store, endpoints in two zones and some entries.
func newWorld(t *testing.T, entries int) *world {
	t.Helper()
	w := &world{t: t, folder: t.TempDir(), store: &cierzo.Store{}, keys: map[string][]string{lastingAccount: {lastingKey}}}
	w.ledger = &ledger{}
	w.removedKeys = make(map[string]time.Time)
	w.leaving = make(map[string]time.Time)
	w.disturbed = make(map[int][]*span)
	w.stopping = make(map[int][]*span)
	w.store.Start()
	w.configure()
	for i := range 4 {
		w.addEndpoint(fmt.Sprintf("engine-%d", i), "engines", i)
	}
	for i := range 3 {
		w.addEndpoint(fmt.Sprintf("service-%d", i), "services", i)
	}
	for i := range entries {
		w.addEntry(i)
	}
	for _, e := range w.entries {
		if err := e.start(w); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// addEndpoint starts an endpoint; zones take turns.
func (w *world) addEndpoint(id, pool string, number int) {
	w.t.Helper()
	e, err := newEndpoint(w, id, pool, zoneOf(number))
	if err != nil {
		w.t.Fatal(err)
	}
	w.endpoints = append(w.endpoints, e)
}

// zoneOf returns one of two zones.
func zoneOf(number int) string {
	return []string{"a", "b"}[number%2]
}

// configure writes the next configuration into the store.
func (w *world) configure() {
	w.version++
	cierzo.Configuration(w.store, w.version, w.keys, cierzo.Routes()...)
}

// addEntry prepares an entry with its settings and proxies.
func (w *world) addEntry(number int) {
	w.t.Helper()
	e := &entry{number: number, doorFault: &fault[cierzo.Fault]{}}
	var door netip.AddrPort
	door, e.door = w.store.ServeAt(func(*http.Request) cierzo.Fault { return e.doorFault.get() })
	listen, peer := w.address(), w.address()
	e.ready = w.address()
	e.callers, e.store, e.peers = w.proxy(listen), w.proxy(door), w.proxy(peer)
	settings, err := json.Marshal(map[string]any{
		"entry": fmt.Sprintf("entry-%d", number), "zone": zoneOf(number), "caller_address": listen, "ready_address": e.ready,
		"peer_address": peer, "public_peer_address": e.peers.Address(), "metrics_address": w.address(),
		"store": e.store.Address(), "balancer_delay": "300ms", "grace_time": graceTime.String(), "retry_ratio": 0.2,
		"retry_burst": 100, "cold_factor": 1.5,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	e.settings = filepath.Join(w.folder, fmt.Sprintf("entry-%d.hujson", number))
	if err := os.WriteFile(e.settings, settings, 0o600); err != nil {
		w.t.Fatal(err)
	}
	if e.log, err = os.Create(filepath.Join(w.folder, fmt.Sprintf("entry-%d.log", number))); err != nil {
		w.t.Fatal(err)
	}
	w.entries = append(w.entries, e)
}

// address returns a free address.
func (w *world) address() netip.AddrPort {
	w.t.Helper()
	address, err := loopback.FreeAddress(w.t.Context())
	if err != nil {
		w.t.Fatal(err)
	}
	return address
}

// proxy starts a proxy before an address.
func (w *world) proxy(target netip.AddrPort) *faultproxy.Proxy {
	w.t.Helper()
	p := &faultproxy.Proxy{Target: target}
	if err := p.Start(); err != nil {
		w.t.Fatal(err)
	}
	return p
}

// start starts the process and waits until it is ready or has ended.
func (e *entry) start(w *world) error {
	command := exec.CommandContext(context.Background(), binary, "gateway", "--settings", e.settings)
	command.Stdout, command.Stderr = e.log, e.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.command, e.expected, e.exited = command, false, exited
	e.mu.Unlock()
	w.background.Go(func() error {
		err := command.Wait()
		e.mu.Lock()
		expected := e.expected
		e.mu.Unlock()
		if !expected {
			w.changes.Lock()
			w.unexpected = append(w.unexpected, fmt.Sprintf("entry %d ended by itself: %v", e.number, err))
			w.changes.Unlock()
		}
		close(exited)
		return nil
	})
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("entry %d is not ready", e.number)
}

// isReady asks as the balancer does.
func (e *entry) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	target := fmt.Sprintf("http://%s/wisteriadyke/ready", e.ready)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to the process; one that ends it is expected to.
func (e *entry) signal(s syscall.Signal) (exited <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.expected = true
	}
	_ = e.command.Process.Signal(s)
	return e.exited
}

// close ends all that the world has started.
func (w *world) close() {
	for _, e := range w.entries {
		<-e.signal(syscall.SIGKILL)
		for _, p := range []*faultproxy.Proxy{e.callers, e.store, e.peers} {
			p.Close()
		}
		e.door()
		_ = e.log.Close()
	}
	for _, e := range append(w.gone, w.endpoints...) {
		e.close()
	}
	w.store.Close()
	_ = w.background.Wait()
}
