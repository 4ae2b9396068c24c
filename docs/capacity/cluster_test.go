package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/ownership"
	"wisteriadyke/core/report"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/timeline"
	"wisteriadyke/io/peer"
	"wisteriadyke/io/platform"
)

// stage selects the control components that run; each stage adds some to those of the previous one.
type stage int

// The stages.
const (
	// stageMembership runs probes, which carry membership updates, and the claims of endpoints.
	stageMembership stage = iota
	// stageGossip adds the gossip of items: configuration, zone states, instance list, entries of zones.
	stageGossip
	// stageReports adds the reports on owned endpoints.
	stageReports
)

// size is the size of a cluster.
type size struct {
	entries, endpoints, zones int
}

// node is one entry with its control components.
type node struct {
	entry  fleet.Entry
	state  *clusterstate.State
	store  *gossip.Store
	pool   *scheduler.Pool
	client *peer.Client
	// components holds the functions that run the components until their context ends.
	components []func(context.Context) error
	// stop stops the components; cluster.run sets it.
	stop context.CancelFunc
}

// cluster is a set of entries that run in one process, with the endpoints in their instance list. The endpoints exist
// only in that list.
type cluster struct {
	network  *network
	platform *memoryPlatform
	nodes    []*node
	group    errgroup.Group
}

// newCluster returns a cluster that is not running yet.
func newCluster(s size, stage stage) *cluster {
	c := &cluster{
		network:  &network{listeners: make(map[netip.AddrPort]*listener)},
		platform: &memoryPlatform{rows: make(map[platform.RowKey]platform.Row)},
	}
	for i := range s.endpoints {
		c.platform.instances = append(c.platform.instances, platform.Instance{
			ID:      fmt.Sprintf("engine-%04d", i),
			Kind:    fleet.KindEngine,
			Pool:    fleet.PoolName(fmt.Sprintf("model-%02d", i%21)),
			Zone:    zoneName(i % s.zones),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 9000),
			State:   fleet.StateLive,
			Memory:  400_000,
		})
	}
	for i := range s.entries {
		entry := fleet.Entry{
			ID:      fleet.EntryID(fmt.Sprintf("entry-%03d", i)),
			Zone:    zoneName(i % s.zones),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8200),
			State:   fleet.StateLive,
		}
		c.platform.instances = append(c.platform.instances, platform.Instance{
			ID: string(entry.ID), Kind: platform.KindEntry, Zone: entry.Zone, Address: entry.Address, State: entry.State,
		})
		c.nodes = append(c.nodes, c.newNode(entry, stage, uint64(i)))
	}
	return c
}

// zoneName returns the name of a zone.
func zoneName(i int) fleet.Zone { return fleet.Zone(fmt.Sprintf("zone-%02d", i)) }

// newNode builds those control components of one entry that run at the given stage, as entry.Process does. The seed is
// that of the entry's random choices.
func (c *cluster) newNode(entry fleet.Entry, stage stage, seed uint64) *node {
	n := &node{
		entry:  entry,
		state:  &clusterstate.State{},
		store:  &gossip.Store{},
		pool:   &scheduler.Pool{Entry: entry.ID},
		client: peer.NewClient(),
	}
	n.client.Dial = c.network.dial
	lease, clock := &membership.Lease{}, &timeline.Clock{}
	members := &membership.Controller{
		Entry: entry, State: n.state, Transport: n.client, Lease: lease, Clock: clock,
		Random: rand.New(rand.NewPCG(seed, 1)),
	}
	owner := &ownership.Controller{
		Entry: entry.ID, Zone: entry.Zone, State: n.state, Pool: n.pool, Lease: lease, Clock: clock, Transport: n.client,
	}
	gossipController := &gossip.Controller{
		Entry: entry, Store: n.store, State: n.state, Transport: n.client, Random: rand.New(rand.NewPCG(seed, 2)),
	}
	reporter := &report.Reporter{
		Entry: entry.ID, Zone: entry.Zone, State: n.state, Owned: n.pool, Transport: &peer.ReportTransport{Client: n.client},
	}
	poller := &platform.Poller{
		Client: c.platform, State: n.state, Entry: entry.ID, Zone: entry.Zone, Listed: &n.state.ListedEntries,
	}
	directory := &peer.Directory{Entry: entry.ID, Zone: entry.Zone, State: n.state, Store: n.store, Lease: lease}
	server := &peer.Server{
		Owner: n.pool, ProbeReceiver: members, GossipReceiver: gossipController, Claims: owner, ReportReceiver: reporter,
		Client: n.client,
	}
	listener := c.network.listen(entry.Address)
	n.components = []func(context.Context) error{
		func(ctx context.Context) error { return server.Serve(ctx, listener) },
		poller.Run, members.Run, directory.Run, owner.Run, n.pool.Run,
	}
	if stage >= stageGossip {
		poller.Gossip = n.store
		n.components = append(n.components, gossipController.Run)
	}
	if stage >= stageReports {
		n.components = append(n.components, reporter.Run)
	}
	return n
}

// run runs all entries until body returns. It fails the test if a component returns an error.
func (c *cluster) run(t *testing.T, body func()) {
	t.Helper()
	for _, n := range c.nodes {
		ctx, stop := context.WithCancel(t.Context())
		n.stop = stop
		for _, run := range n.components {
			c.group.Go(func() error { return run(ctx) })
		}
	}
	body()
	for _, n := range c.nodes {
		n.stop()
		_ = n.client.Close()
	}
	if err := c.group.Wait(); err != nil {
		t.Error(err)
	}
}

// waitUntil waits until a condition holds, and returns the time that it took and true. If the condition does not hold
// within limit, it returns limit and false.
func waitUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			return limit, false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start), true
}

// allNodes reports whether a condition holds at every entry.
func (c *cluster) allNodes(condition func(n *node) bool) bool {
	for _, n := range c.nodes {
		if !condition(n) {
			return false
		}
	}
	return true
}
