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
	"wisteriadyke/standin/faultproxy"
	"wisteriadyke/standin/loopback"
)

const (
	// testTimeout bounds the wait for a condition.
	testTimeout = 10 * time.Second
	// testKey is the API key of the account "acme".
	testKey = "key-of-acme"
)

// cluster is a store, endpoints and entries in one process.
type cluster struct {
	t         *testing.T
	store     *cierzo.Store
	endpoints []*cierzo.Endpoint
	entries   []*runningEntry
	// storeAddresses holds the address of the store for entries that use another one than the rest, by number.
	storeAddresses map[int]netip.AddrPort
	// contracts holds the parts of the platform's rules that are in force for entries that start.
	contracts []string
	// memory is the memory of entries that start, in MiB.
	memory int
	// graceTime is the grace time of entries that start.
	graceTime time.Duration
	// drainTime is the drain time of endpoints.
	drainTime time.Duration
	// peerProxies makes the other entries reach an entry that starts through its peerProxy.
	peerProxies bool
	// direct makes entries that start connect to endpoints as in a deployment, instead of by their path.
	direct bool
}

// entryName returns the ID of the entry that is started as the given one.
func entryName(number int) fleet.EntryID {
	return fleet.EntryID(fmt.Sprintf("entry-%d", number))
}

// runningEntry is an entry that runs until stop is called. ended then receives the error that Run returned.
type runningEntry struct {
	settings settings.Gateway
	process  *Process
	// path is the entry's path to the endpoints, and peerProxy the path of the other entries to it, or nil.
	path      *faultproxy.Path
	peerProxy *faultproxy.Proxy
	stop      context.CancelFunc
	ended     chan error
}

// newCluster starts a store that holds a configuration. The cluster is stopped when the test ends.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	w := &cluster{t: t, store: &cierzo.Store{}, memory: 256, graceTime: 8 * time.Second, drainTime: 2 * time.Second}
	w.store.Start()
	t.Cleanup(w.close)
	cierzo.Configuration(w.store, 1, map[string][]string{"acme": {testKey}}, cierzo.Routes()...)
	return w
}

// startEndpoint starts an endpoint with four slots and registers it. The default service is "engines", the default zone
// "a".
func (w *cluster) startEndpoint(k *cierzo.Endpoint) *cierzo.Endpoint {
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
	w.endpoints = append(w.endpoints, k)
	return k
}

// startEntry starts an entry and waits until it is ready and knows all endpoints.
func (w *cluster) startEntry() *runningEntry {
	w.t.Helper()
	return w.startEntryAt(w.store.Address())
}

// startEntryAt starts an entry that uses the store at an address, and waits until it is ready and knows all endpoints.
// Entries are placed in zones a and b alternately.
func (w *cluster) startEntryAt(store netip.AddrPort) *runningEntry {
	w.t.Helper()
	return w.awaitEntry(w.launchEntry(store, []fleet.Zone{"a", "b"}[len(w.entries)%2]))
}

// awaitEntry waits until an entry is ready and knows all endpoints, and returns it.
func (w *cluster) awaitEntry(e *runningEntry) *runningEntry {
	w.t.Helper()
	w.waitFor("the entry is ready", func() bool { return e.readyStatus() == http.StatusOK })
	w.waitFor("the entry knows the endpoints", func() bool {
		return len(e.process.state.Endpoints.Snapshot().Rows) == len(w.endpoints)
	})
	return e
}

// launchEntry starts an entry in a zone that uses the store at an address.
func (w *cluster) launchEntry(store netip.AddrPort, zone fleet.Zone) *runningEntry {
	w.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	number := len(w.entries) + 1
	e := &runningEntry{
		settings: settings.Gateway{
			Entry:           entryName(number),
			Zone:            zone,
			CallerAddress:   freeAddress(w.t),
			ReadyAddress:    freeAddress(w.t),
			PeerAddress:     freeAddress(w.t),
			OperatorAddress: freeAddress(w.t),
			Store:           store,
			RevokeTime:      5 * time.Second,
			GraceTime:       w.graceTime,
			DrainTime:       w.drainTime,
			ReportInterval:  1200 * time.Millisecond,
			BalancerDelay:   200 * time.Millisecond,
			RetryRatio:      0.2,
			RetryBurst:      100,
			ColdFactor:      1.5,
			Memory:          w.memory,
			MaxFDs:          4096,
			Contracts:       w.contracts,
		},
		stop:  stop,
		ended: make(chan error, 1),
	}
	if w.peerProxies {
		e.peerProxy = &faultproxy.Proxy{Target: e.settings.PeerAddress}
		if err := e.peerProxy.Start(); err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(e.peerProxy.Close)
		e.settings.PublicPeerAddress = e.peerProxy.Address()
	}
	e.path = &faultproxy.Path{}
	e.process = &Process{Settings: e.settings, DialEndpoint: e.path.Dial, Log: zerolog.New(zerolog.NewTestWriter(w.t)).Level(zerolog.InfoLevel)}
	if w.direct {
		e.process.DialEndpoint = nil
	}
	w.entries = append(w.entries, e)
	var group errgroup.Group
	group.Go(func() error {
		e.ended <- e.process.Run(ctx)
		return nil
	})
	return e
}

// close stops the entries, the endpoints and the store.
func (w *cluster) close() {
	for _, e := range w.entries {
		e.stop()
	}
	for _, k := range w.endpoints {
		k.Close()
	}
	for _, e := range w.entries {
		select {
		case err := <-e.ended:
			if err != nil {
				w.t.Errorf("entry ended with error %v", err)
			}
		case <-time.After(testTimeout):
			w.t.Error("entry did not stop")
		}
	}
	w.store.Close()
}

// waitFor polls until a condition holds, for up to testTimeout.
func (w *cluster) waitFor(what string, condition func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	w.t.Fatalf("not within %v: %s", testTimeout, what)
}

// readyStatus sends a readiness probe to the entry and returns the HTTP status of the response.
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

// call is a request of a caller, written without net/http so that its exact bytes are known.
type call struct {
	method string
	uri    string
	header []string
	body   string
	// withoutKey leaves out the header with testKey.
	withoutKey bool
}

// answer is the response that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	// complete reports whether the whole body was received.
	complete bool
}

// send sends a request on a new connection and reads the response.
func (w *cluster) send(e *runningEntry, c call) answer {
	w.t.Helper()
	conn := w.open(e, c)
	defer func() { _ = conn.Close() }()
	return w.read(conn, c.method)
}

// open sends a request on a new connection, which it returns.
func (w *cluster) open(e *runningEntry, c call) net.Conn {
	w.t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(w.t.Context(), "tcp", e.settings.CallerAddress.String())
	if err != nil {
		w.t.Fatal(err)
	}
	lines := append([]string{
		fmt.Sprintf("%s %s HTTP/1.1", c.method, c.uri), "Host: App.Example.:80", "X-Attempt-Id: attempt-1",
		"X-Deadline-Ms: 4000", fmt.Sprintf("Content-Length: %d", len(c.body)),
	}, c.header...)
	if !c.withoutKey {
		lines = append(lines, "X-Credential: "+testKey)
	}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+c.body); err != nil {
		w.t.Fatal(err)
	}
	return conn
}

// read returns the response on a connection, or a zero answer if its header can't be read.
func (w *cluster) read(conn net.Conn, method string) answer {
	w.t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil}
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := loopback.FreeAddress(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return address
}
