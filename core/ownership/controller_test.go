package ownership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/timeline"
)

// fakePool stores the reservations of each owned endpoint.
type fakePool struct {
	mu           sync.Mutex
	suspended    bool
	reservations map[fleet.EndpointID][]ledger.Reservation
	fences       map[fleet.EndpointID]fleet.Fence
	// resyncs counts the acquisitions with resynchronization.
	resyncs int
}

func (p *fakePool) Acquire(endpoint fleet.Endpoint, fence fleet.Fence, takeover scheduler.Takeover) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reservations[endpoint.ID] = nil
	p.fences[endpoint.ID] = fence
	if takeover.Handover != nil {
		p.reservations[endpoint.ID] = takeover.Handover.Reservations
	}
	if takeover.Resync {
		p.resyncs++
	}
}

func (p *fakePool) Update(fleet.Endpoint) {}

func (p *fakePool) Relinquish(id fleet.EndpointID) scheduler.Handover {
	p.mu.Lock()
	defer p.mu.Unlock()
	handover := scheduler.Handover{Endpoint: id, Fence: p.fences[id], Reservations: p.reservations[id]}
	delete(p.reservations, id)
	return handover
}

func (p *fakePool) Suspend() { p.setSuspended(true) }

func (p *fakePool) Resume() { p.setSuspended(false) }

func (p *fakePool) setSuspended(suspended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = suspended
}

// owns returns the fencing token of an endpoint and reports whether the pool would grant reservations on it.
func (p *fakePool) owns(id fleet.EndpointID) (fleet.Fence, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.reservations[id]
	return p.fences[id], found && !p.suspended
}

// node is one entry of a simulated zone.
type node struct {
	membership *membership.Controller
	ownership  *Controller
	pool       *fakePool
}

// zone is a simulated availability zone whose entries call each other in memory, if they are in the same partition.
type zone struct {
	nodes     []*node
	endpoints []fleet.EndpointID

	mu         sync.Mutex
	partitions map[netip.AddrPort]int
}

// partitionDown is the partition of an entry that reaches no other.
const partitionDown = -1

// memoryTransport carries the calls of one entry to the other entries of the zone.
type memoryTransport struct {
	zone    *zone
	address netip.AddrPort
}

// waitReachable returns the node at an address. If the node can't be reached, it waits until ctx ends and returns its
// error.
func (p *memoryTransport) waitReachable(ctx context.Context, to netip.AddrPort) (*node, error) {
	if n, found := p.zone.reach(p.address, to); found {
		return n, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (p *memoryTransport) Probe(
	ctx context.Context, to netip.AddrPort, m membership.Message,
) (membership.Message, error) {
	n, err := p.waitReachable(ctx, to)
	if err != nil {
		return membership.Message{}, err
	}
	return n.membership.HandleProbe(m), nil
}

func (p *memoryTransport) ProbeFor(
	ctx context.Context, helper, target netip.AddrPort, m membership.Message,
) (membership.Message, bool, error) {
	if _, err := p.waitReachable(ctx, helper); err != nil {
		return membership.Message{}, false, err
	}
	reply, err := (&memoryTransport{zone: p.zone, address: helper}).Probe(ctx, target, m)
	return reply, err == nil, nil
}

func (p *memoryTransport) Claim(
	ctx context.Context, to netip.AddrPort, by fleet.EntryID, id fleet.EndpointID,
) (ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	n, err := p.waitReachable(ctx, to)
	if err != nil {
		return ClaimReply{}, errors.Wrap(err, "claim")
	}
	return n.ownership.HandleClaim(by, id), nil
}

// reach returns the node at the address to, if from is in the same partition.
func (z *zone) reach(from, to netip.AddrPort) (*node, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	partition := z.partitions[from]
	if partition == partitionDown || partition != z.partitions[to] || int(to.Port()) > len(z.nodes) {
		return nil, false
	}
	return z.nodes[to.Port()-1], true
}

// newZone returns a zone with the given numbers of entries and endpoints; the entries do not run yet.
func newZone(entries, endpoints int, seed uint64) *zone {
	z := &zone{partitions: make(map[netip.AddrPort]int)}
	for i := range endpoints {
		z.endpoints = append(z.endpoints, fleet.EndpointID(fmt.Sprint("endpoint-", i)))
	}
	for i := range entries {
		z.addEntry(i, seed)
	}
	return z
}

// addEntry adds one entry, which does not run yet.
func (z *zone) addEntry(i int, seed uint64) *node {
	address := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
	entry := fleet.Entry{ID: fleet.EntryID(fmt.Sprint("entry-", i)), Zone: "z", Address: address, State: fleet.StateLive}
	state, lease, clock := &clusterstate.State{}, &membership.Lease{}, &timeline.Clock{}
	for _, id := range z.endpoints {
		state.Endpoints.Set(id, fleet.Endpoint{ID: id, Zone: "z", State: fleet.StateLive})
	}
	pool := &fakePool{
		reservations: make(map[fleet.EndpointID][]ledger.Reservation),
		fences:       make(map[fleet.EndpointID]fleet.Fence),
	}
	transport := &memoryTransport{zone: z, address: address}
	n := &node{
		pool: pool,
		membership: &membership.Controller{
			Entry: entry, State: state, Transport: transport, Lease: lease, Clock: clock,
			Seeds: []netip.AddrPort{
				netip.AddrPortFrom(netip.IPv4Unspecified(), 1), netip.AddrPortFrom(netip.IPv4Unspecified(), 2),
			},
			Random: rand.New(rand.NewPCG(seed, uint64(i))),
		},
		ownership: &Controller{
			Entry: entry.ID, Zone: "z", State: state, Pool: pool, Lease: lease, Clock: clock, Transport: transport,
		},
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.nodes = append(z.nodes, n)
	return n
}

// setPartition moves entries to a partition of the network.
func (z *zone) setPartition(partition int, nodes ...*node) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, n := range nodes {
		z.partitions[n.membership.Entry.Address] = partition
	}
}

// run runs all entries while body runs; body may call start to run one more.
func (z *zone) run(t *testing.T, body func(start func(n *node))) {
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	start := func(n *node) {
		group.Go(func() error { return n.membership.Run(ctx) })
		group.Go(func() error { return n.ownership.Run(ctx) })
	}
	for _, n := range z.nodes {
		start(n)
	}
	body(start)
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// owners returns the entries that would grant reservations on an endpoint now.
func (z *zone) owners(id fleet.EndpointID) []*node {
	var nodes []*node
	for _, n := range z.nodes {
		if _, owns := n.pool.owns(id); owns && n.ownership.Active(time.Now()) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// measureOwnership samples the owners of all endpoints for the given duration. It returns the longest total time for
// which any endpoint had several owners and for which any had none. It fails the test if a fencing token decreases.
func (z *zone) measureOwnership(t *testing.T, duration time.Duration) (overlap, gap time.Duration) {
	const step = 50 * time.Millisecond
	overlaps := make(map[fleet.EndpointID]time.Duration)
	gaps := make(map[fleet.EndpointID]time.Duration)
	fences := make(map[fleet.EndpointID]fleet.Fence)
	for range duration / step {
		for _, id := range z.endpoints {
			nodes := z.owners(id)
			switch len(nodes) {
			case 0:
				gaps[id] += step
			case 1:
				fence, _ := nodes[0].pool.owns(id)
				if fence < fences[id] {
					t.Errorf("fencing token of %s decreased from %d to %d", id, fences[id], fence)
				}
				fences[id] = fence
			default:
				overlaps[id] += step
			}
			overlap, gap = max(overlap, overlaps[id]), max(gap, gaps[id])
		}
		time.Sleep(step)
	}
	return overlap, gap
}

// TestEndpointsHaveOneOwner asserts how long an endpoint may have several owners or none when some entries of the zone
// are cut off, and that each endpoint has one owner after the partition has healed.
func TestEndpointsHaveOneOwner(t *testing.T) {
	minority := func(size int) func(*zone) {
		return func(z *zone) { z.setPartition(1, z.nodes[len(z.nodes)-size:]...) }
	}
	crash := func(z *zone) { z.setPartition(partitionDown, z.nodes[len(z.nodes)-1]) }
	tests := map[string]struct {
		entries int
		fault   func(z *zone)
		overlap time.Duration
		gap     time.Duration
	}{
		"one of three is cut off":        {3, crash, 0, 15 * time.Second},
		"one of nine is cut off":         {9, crash, 0, 15 * time.Second},
		"four of nine are cut off":       {9, minority(4), membership.LeaseDuration, 15 * time.Second},
		"thirteen of thirty are cut off": {30, minority(13), membership.LeaseDuration, 20 * time.Second},
	}
	for name, tc := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					z := newZone(tc.entries, 20, seed)
					z.run(t, func(func(*node)) {
						time.Sleep(20 * time.Second)
						tc.fault(z)
						overlap, gap := z.measureOwnership(t, 25*time.Second)
						t.Logf("cut: overlap %s, gap %s", overlap, gap)
						if overlap > tc.overlap {
							t.Errorf("an endpoint had two owners for %s, want at most %s", overlap, tc.overlap)
						}
						if gap > tc.gap {
							t.Errorf("an endpoint had no owner for %s, want at most %s", gap, tc.gap)
						}
						z.setPartition(0, z.nodes...)
						overlap, gap = z.measureOwnership(t, 25*time.Second)
						t.Logf("heal: overlap %s, gap %s", overlap, gap)
						if overlap > tc.overlap {
							t.Errorf("an endpoint had two owners for %s after the partition healed, want at most %s", overlap, tc.overlap)
						}
						for _, id := range z.endpoints {
							if nodes := z.owners(id); len(nodes) != 1 {
								t.Errorf("%s has %d owners at the end, want 1", id, len(nodes))
							}
						}
					})
				})
			})
		}
	}
}

// TestHandoverLosesNoRow asserts that endpoints change their owners with their reservations, without a
// resynchronization and without a time with two owners, when an entry leaves or joins.
func TestHandoverLosesNoRow(t *testing.T) {
	tests := map[string]func(t *testing.T, z *zone, start func(*node)){
		"an entry leaves": func(t *testing.T, z *zone, _ func(*node)) {
			leaving := z.nodes[2]
			leaving.membership.Leave(t.Context())
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			leaving.ownership.Leave(ctx)
			if owned := leaving.ownership.OwnedCount(); owned != 0 {
				t.Errorf("the leaving entry still owns %d endpoints, want 0", owned)
			}
		},
		"an entry joins": func(_ *testing.T, z *zone, start func(*node)) {
			start(z.addEntry(9, 77))
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(9, 60, 5)
				z.run(t, func(start func(*node)) {
					time.Sleep(20 * time.Second)
					resyncs := z.resyncs()
					for _, n := range z.nodes {
						for id := range n.pool.reservations {
							n.pool.reservations[id] = []ledger.Reservation{{Attempt: fleet.AttemptID(id)}}
						}
					}
					change(t, z, start)
					overlap, gap := z.measureOwnership(t, 20*time.Second)
					t.Logf("overlap %s, gap %s", overlap, gap)
					if overlap > 0 {
						t.Errorf("an endpoint had two owners for %s in a graceful handover, want 0s", overlap)
					}
					if got := z.resyncs(); got != resyncs {
						t.Errorf("%d endpoints were taken over without a handover, want 0", got-resyncs)
					}
					z.checkReservations(t)
				})
			})
		})
	}
}

// resyncs returns how often an endpoint was taken over without a handover.
func (z *zone) resyncs() int {
	count := 0
	for _, n := range z.nodes {
		count += n.pool.resyncs
	}
	return count
}

// checkReservations checks that each endpoint has one owner and that this owner has the endpoint's reservation.
func (z *zone) checkReservations(t *testing.T) {
	t.Helper()
	for _, id := range z.endpoints {
		nodes := z.owners(id)
		if len(nodes) != 1 {
			t.Errorf("%s has %d owners, want 1", id, len(nodes))
			continue
		}
		if rows := nodes[0].pool.reservations[id]; len(rows) != 1 || rows[0].Attempt != fleet.AttemptID(id) {
			t.Errorf("%s lost its reservation: got %v", id, rows)
		}
	}
}
