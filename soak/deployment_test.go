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
	// graceTime is how long an entry may take to exit after SIGTERM.
	graceTime = 4 * time.Second
	// startTime is how long an entry may take to become ready.
	startTime = 20 * time.Second
	// permanentKey is the key of permanentAccount; it is never removed.
	permanentKey = "key-lasting"
	// permanentAccount is the account that always exists.
	permanentAccount = "acme"
)

// entry is one entry process with its fault proxies.
type entry struct {
	number int
	// settings is the path of the settings file.
	settings string
	// ready is the address of the readiness check.
	ready netip.AddrPort
	// callers is the proxy for connections from callers to the entry, peers the one for connections from other entries,
	// and store the one for connections from the entry to the store.
	callers, store, peers *faultproxy.Proxy
	// Each entry reaches the store through a listener of its own, so that storeFault is the store's fault for this entry
	// alone. closeStoreListener closes the listener.
	closeStoreListener func()
	storeFault         *guarded[cierzo.Fault]
	log                *os.File

	// signalMu is held during each fault that signals the process, so that such faults don't overlap. A fault that can't
	// lock it is skipped.
	signalMu sync.Mutex

	// mu guards the fields below.
	mu      sync.Mutex
	command *exec.Cmd
	// exitExpected reports whether the soak has sent the process a signal that ends it.
	exitExpected bool
	// exited is closed when the process has exited.
	exited chan struct{}
}

// guarded is a value that is safe for concurrent use.
type guarded[T any] struct {
	mu    sync.Mutex
	value T
}

func (f *guarded[T]) set(value T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value = value
}

func (f *guarded[T]) get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

// deployment is a store, endpoints and entries under test, with the observations of the run.
type deployment struct {
	observations
	t         *testing.T
	folder    string
	store     *cierzo.Store
	entries   []*entry
	endpoints []*endpoint
	paths     endpointPaths

	background errgroup.Group
	// stateMu guards the fields below and the observations, except the attempt log, which has its own lock.
	stateMu sync.Mutex
	// version and keys are the version of the current configuration and the keys of each account in it.
	version int
	keys    map[string][]string
	// contended reports whether the configuration makes the pool of engines contended.
	contended bool
	// removedEndpoints are endpoints that were drained and replaced, and replacedCount is their number.
	removedEndpoints []*endpoint
	replacedCount    int
	// otherViolations are violations that are not visible in the attempts, such as processes that ended unexpectedly.
	otherViolations []string
}

// newDeployment starts a store, seven endpoints in two zones and the given number of entries.
func newDeployment(t *testing.T, entries int) *deployment {
	t.Helper()
	w := &deployment{t: t, folder: t.TempDir(), store: &cierzo.Store{},
		keys: map[string][]string{permanentAccount: {permanentKey}}}
	w.attemptLog = &attemptLog{}
	w.removedKeys = make(map[string]time.Time)
	w.drainingSince = make(map[string]time.Time)
	w.disturbed = make(map[int][]*span)
	w.stopping = make(map[int][]*span)
	w.peerFaults = make(map[int][]*span)
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

// addEndpoint starts an endpoint in the zone that zoneOf returns for its number, and registers it.
func (w *deployment) addEndpoint(id, pool string, number int) {
	w.t.Helper()
	e, err := newEndpoint(w, id, pool, zoneOf(number))
	if err != nil {
		w.t.Fatal(err)
	}
	w.endpoints = append(w.endpoints, e)
}

// zoneOf returns the zone of the entry or endpoint with the given number: a for even numbers, b for odd ones.
func zoneOf(number int) string {
	return []string{"a", "b"}[number%2]
}

// configure writes a configuration with the current keys and the next version into the store. Once faults run, the
// caller must hold stateMu.
func (w *deployment) configure() {
	w.version++
	if w.contended {
		cierzo.ContendedConfiguration(w.store, w.version, w.keys, cierzo.Routes()...)
		return
	}
	cierzo.Configuration(w.store, w.version, w.keys, cierzo.Routes()...)
}

// addEntry creates an entry with its settings, proxies and log file, without starting it.
func (w *deployment) addEntry(number int) {
	w.t.Helper()
	e := &entry{number: number, storeFault: &guarded[cierzo.Fault]{}}
	var storeAddress netip.AddrPort
	storeAddress, e.closeStoreListener = w.store.ServeView(
		func(*http.Request) cierzo.Fault { return e.storeFault.get() }, w.paths.view(zoneOf(number)))
	listen, peer := w.freeAddress(), w.freeAddress()
	e.ready = w.freeAddress()
	e.callers, e.store, e.peers = w.startProxy(listen), w.startProxy(storeAddress), w.startProxy(peer)
	w.paths.addCrossing(fmt.Sprintf("entry-%d", number), zoneOf(number), w.startProxy(peer))
	settings, err := json.Marshal(map[string]any{
		"entry": fmt.Sprintf("entry-%d", number), "zone": zoneOf(number), "caller_address": listen, "ready_address": e.ready,
		"peer_address": peer, "public_peer_address": e.peers.Address(), "metrics_address": w.freeAddress(),
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

// freeAddress returns a free loopback address.
func (w *deployment) freeAddress() netip.AddrPort {
	w.t.Helper()
	address, err := loopback.FreeAddress(w.t.Context())
	if err != nil {
		w.t.Fatal(err)
	}
	return address
}

// startProxy starts a proxy in front of an address.
func (w *deployment) startProxy(target netip.AddrPort) *faultproxy.Proxy {
	w.t.Helper()
	p := &faultproxy.Proxy{Target: target}
	if err := p.Start(); err != nil {
		w.t.Fatal(err)
	}
	return p
}

// start starts the process and waits until it is ready. It returns an error if the process can't be started or is not
// ready after startTime.
func (e *entry) start(w *deployment) error {
	command := exec.CommandContext(context.Background(), binary, "gateway", "--settings", e.settings)
	command.Stdout, command.Stderr = e.log, e.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.command, e.exitExpected, e.exited = command, false, exited
	e.mu.Unlock()
	w.background.Go(func() error {
		err := command.Wait()
		e.mu.Lock()
		expected := e.exitExpected
		e.mu.Unlock()
		if !expected {
			w.stateMu.Lock()
			w.otherViolations = append(w.otherViolations, fmt.Sprintf("entry %d exited unexpectedly: %v", e.number, err))
			w.stateMu.Unlock()
		}
		close(exited)
		return nil
	})
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.isReady() {
			return nil
		}
	}
	return fmt.Errorf("entry %d is not ready after %v", e.number, startTime)
}

// isReady reports whether the entry answers the balancer's readiness check with status 200.
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

// signal sends a signal to the process and returns a channel that is closed when the process has exited. An exit after
// SIGKILL or SIGTERM is expected.
func (e *entry) signal(s syscall.Signal) (exited <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		e.exitExpected = true
	}
	_ = e.command.Process.Signal(s)
	return e.exited
}

// close kills all entries, waits for their exit, and stops the proxies, the endpoints and the store.
func (w *deployment) close() {
	for _, e := range w.entries {
		<-e.signal(syscall.SIGKILL)
		for _, p := range []*faultproxy.Proxy{e.callers, e.store, e.peers} {
			p.Close()
		}
		e.closeStoreListener()
		_ = e.log.Close()
	}
	for _, e := range append(w.removedEndpoints, w.endpoints...) {
		e.close()
	}
	w.paths.close()
	w.store.Close()
	_ = w.background.Wait()
}
