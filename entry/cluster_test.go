package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/report"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/timeline"
	"wisteriadyke/io/engine"
	standin "wisteriadyke/standin/engine"
)

// clusterEntries and clusterEngines are the numbers of entries and engines of a test cluster.
const (
	clusterEntries = 3
	clusterEngines = 4
)

// testCluster is a cluster in virtual time: the real dispatchers, pools and engine client with stand-ins for the
// engines. There is no membership; the tests assign the owners of endpoints.
type testCluster struct {
	random    *rand.Rand
	state     *clusterstate.State
	group     *errgroup.Group
	entries   []*dispatch.Dispatcher
	pools     []*scheduler.Pool
	endpoints []fleet.Endpoint
	engines   []*standin.Engine
	// faults records the injected faults.
	faults timeline.Recorder

	mu sync.Mutex
	// owners holds the number of the entry that owns each endpoint.
	owners map[fleet.EndpointID]int
	// fence is the fencing token of the latest owner.
	fence fleet.Fence
	// dials passes new connections to the listener of the engine at an address.
	dials map[string]chan net.Conn
	// conns holds the client sides of the connections to the engine at an address.
	conns map[string][]net.Conn
}

// newTestCluster starts a cluster that runs until ctx ends.
func newTestCluster(ctx context.Context, seed uint64) *testCluster {
	group, ctx := errgroup.WithContext(ctx)
	c := &testCluster{
		random: rand.New(rand.NewPCG(seed, seed)),
		state:  &clusterstate.State{},
		group:  group,
		owners: make(map[fleet.EndpointID]int),
		dials:  make(map[string]chan net.Conn),
		conns:  make(map[string][]net.Conn),
	}
	for i := range clusterEngines {
		c.startEngine(ctx, i)
	}
	client := engine.NewHTTPClient()
	client.Transport = &http.Transport{DialContext: c.dial, DisableCompression: true}
	engines := &engine.Engines{HTTP: client}
	for i := range clusterEntries {
		c.startEntry(ctx, i, engines)
	}
	for i, endpoint := range c.endpoints {
		c.assignOwner(endpoint, i%clusterEntries, scheduler.Takeover{Resync: true})
	}
	return c
}

// startEngine starts an engine stand-in and lists it as an endpoint.
func (c *testCluster) startEngine(ctx context.Context, number int) {
	settings := standin.DefaultSettings()
	settings.Memory = 100_000
	settings.ColdTime = 2 * time.Second
	settings.RestartTime = 300 * time.Millisecond
	settings.HoldOrphans = number%2 == 0
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(number+1))
	endpoint := fleet.Endpoint{
		ID: fleet.EndpointID(fmt.Sprint("engine-", number)), Kind: fleet.KindEngine, Pool: "p", Zone: "a",
		Address: address, State: fleet.StateLive, Memory: settings.Memory,
	}
	c.endpoints = append(c.endpoints, endpoint)
	c.state.Endpoints.Set(endpoint.ID, endpoint)
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	c.dials[address.String()] = listener.conns
	e := &standin.Engine{Settings: settings, Listener: listener}
	c.engines = append(c.engines, e)
	c.group.Go(func() error { return e.Run(ctx) })
}

// startEntry starts the pool of an entry and adds its dispatcher.
func (c *testCluster) startEntry(ctx context.Context, number int, engines *engine.Engines) {
	id := fleet.EntryID(fmt.Sprint("entry-", number))
	pool := &scheduler.Pool{Entry: id, Lister: engines}
	c.pools = append(c.pools, pool)
	c.group.Go(func() error { return pool.Run(ctx) })
	c.entries = append(c.entries, &dispatch.Dispatcher{
		State:        c.state,
		Views:        &report.ViewCache{State: c.state, Zone: "a"},
		Entry:        id,
		Zone:         "a",
		Reservations: c,
		Engines:      engines,
		Placement:    &placement.EarliestFinish{},
		Budget:       &retry.Budget{Ratio: 0.1, Burst: 50},
		Suspects:     &retry.Suspects{Entry: id, Broadcaster: c},
		Timeline:     &timeline.Recorder{Entry: id},
	})
}

// assignOwner makes an entry the owner of an endpoint, with a higher fencing token than all owners before it.
func (c *testCluster) assignOwner(endpoint fleet.Endpoint, entry int, takeover scheduler.Takeover) {
	c.mu.Lock()
	c.fence++
	fence := c.fence
	c.owners[endpoint.ID] = entry
	c.mu.Unlock()
	c.pools[entry].Acquire(endpoint, fence, takeover)
}

// owner returns the pool of the entry that currently owns an endpoint.
func (c *testCluster) owner(id fleet.EndpointID) *scheduler.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pools[c.owners[id]]
}

// Reserve passes a request to the pool of the current owner.
func (c *testCluster) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	return c.owner(request.Endpoint).Reserve(ctx, request)
}

// Renew passes the progress of an attempt to the pool of the current owner.
func (c *testCluster) Renew(ctx context.Context, progress reservation.Progress) error {
	return c.owner(progress.Endpoint).Renew(ctx, progress)
}

// Release passes a release to the pool of the current owner.
func (c *testCluster) Release(ctx context.Context, release reservation.Release) error {
	return c.owner(release.Endpoint).Release(ctx, release)
}

// Broadcast merges a record into those of all entries.
func (c *testCluster) Broadcast(_ context.Context, record retry.SuspectRecord) {
	for _, d := range c.entries {
		d.Suspects.Merge(record)
	}
}

// dial connects to the engine at an address by a net.Pipe, in place of the network.
func (c *testCluster) dial(ctx context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case c.dials[address] <- server:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[address] = append(c.conns[address], client)
	return client, nil
}

// closeConnections closes all connections to an engine.
func (c *testCluster) closeConnections(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns[address] {
		_ = conn.Close()
	}
	c.conns[address] = nil
}

// injectFault injects one random fault or change of owner.
func (c *testCluster) injectFault() {
	number := c.random.IntN(clusterEngines)
	endpoint := c.endpoints[number]
	newOwner := c.random.IntN(clusterEntries)
	oldOwner := c.owner(endpoint.ID)
	fault := c.random.IntN(5)
	c.faults.Record(timeline.Event{Kind: timeline.Kind([]string{"die", "cut", "pause", "hand over", "take over"}[fault]),
		Endpoint: endpoint.ID})
	switch fault {
	case 0:
		// The connections of a process that dies break, including those with calls that it has not read yet.
		c.closeConnections(endpoint.Address.String())
		c.engines[number].Apply(standin.Control{Die: true})
	case 1:
		c.closeConnections(endpoint.Address.String())
	case 2:
		c.engines[number].Apply(standin.Control{Pause: time.Duration(c.random.IntN(3000)) * time.Millisecond})
	case 3:
		handover := oldOwner.Relinquish(endpoint.ID)
		c.assignOwner(endpoint, newOwner, scheduler.Takeover{Handover: &handover})
	default:
		oldOwner.Relinquish(endpoint.ID)
		c.assignOwner(endpoint, newOwner, scheduler.Takeover{Resync: true})
	}
}

// checkReleased fails the test unless all memory has been released and no engine has died of overload.
func (c *testCluster) checkReleased(t *testing.T) {
	t.Helper()
	for _, pool := range c.pools {
		for _, status := range pool.Status() {
			if status.Used != 0 {
				t.Errorf("%d tokens of %s are still used at the end, want 0", status.Used, status.Endpoint)
			}
		}
	}
	for i, e := range c.engines {
		if running := e.Running(); running != 0 {
			t.Errorf("engine-%d still holds memory for %d attempts at the end, want 0", i, running)
		}
		if deaths := e.Stats().OverloadDeaths; deaths != 0 {
			t.Errorf("engine-%d died of overload %d times, want 0; timeline:\n%s", i, deaths, c.timeline(c.endpoints[i].ID))
		}
	}
}

// timeline returns the events of all entries and the injected faults about an endpoint, one line each.
func (c *testCluster) timeline(id fleet.EndpointID) string {
	var processes [][]timeline.Event
	for _, d := range c.entries {
		processes = append(processes, d.Timeline.Events(timeline.Filter{Endpoint: id}))
	}
	var lines strings.Builder
	for _, e := range timeline.Merge(append(processes, c.faults.Events(timeline.Filter{Endpoint: id}))...) {
		_, _ = fmt.Fprintf(&lines, "%s %s %s %s %s %s\n",
			e.Timestamp.Wall.Format("05.000000"), e.Entry, e.Kind, e.Attempt, e.Peer, e.Reason)
	}
	return lines.String()
}

// pipeListener is a net.Listener that accepts the server sides of net.Pipe connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
