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

// fakePool keeps a number of ledger rows for each owned endpoint.
type fakePool struct {
	mu        sync.Mutex
	suspended bool
	rows      map[fleet.EndpointID][]ledger.Reservation
	fences    map[fleet.EndpointID]fleet.Fence
	resyncs   int
}

func (p *fakePool) Acquire(endpoint fleet.Endpoint, fence fleet.Fence, takeover scheduler.Takeover) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rows[endpoint.ID] = nil
	p.fences[endpoint.ID] = fence
	if takeover.Handover != nil {
		p.rows[endpoint.ID] = takeover.Handover.Reservations
	}
	if takeover.Resync {
		p.resyncs++
	}
}

func (p *fakePool) Update(fleet.Endpoint) {}

func (p *fakePool) Relinquish(id fleet.EndpointID) scheduler.Handover {
	p.mu.Lock()
	defer p.mu.Unlock()
	handover := scheduler.Handover{Endpoint: id, Fence: p.fences[id], Reservations: p.rows[id]}
	delete(p.rows, id)
	return handover
}

func (p *fakePool) Suspend() { p.setSuspended(true) }

func (p *fakePool) Resume() { p.setSuspended(false) }

func (p *fakePool) setSuspended(suspended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = suspended
}

// owns tells whether the pool would grant the endpoint, and with which fence.
func (p *fakePool) owns(id fleet.EndpointID) (fleet.Fence, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, found := p.rows[id]
	return p.fences[id], found && !p.suspended
}

// node is one entry of the simulated zone.
type node struct {
	membership *membership.Controller
	ownership  *Controller
	pool       *fakePool
}

// zone is a simulated availability zone whose entries reach each other in memory.
type zone struct {
	nodes     []*node
	endpoints []fleet.EndpointID

	mu    sync.Mutex
	sides map[netip.AddrPort]int
}

// sideDown is the side of an entry that reaches nobody.
const sideDown = -1

// port is the end of the network at one entry.
type port struct {
	zone    *zone
	address netip.AddrPort
}

// reach returns the node at an address, or waits until ctx ends.
func (p *port) reach(ctx context.Context, to netip.AddrPort) (*node, error) {
	if n, found := p.zone.reach(p.address, to); found {
		return n, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (p *port) Probe(ctx context.Context, to netip.AddrPort, m membership.Message) (membership.Message, error) {
	n, err := p.reach(ctx, to)
	if err != nil {
		return membership.Message{}, err
	}
	return n.membership.HandleProbe(m), nil
}

func (p *port) ProbeFor(ctx context.Context, helper, target netip.AddrPort, m membership.Message) (membership.Message, bool, error) {
	if _, err := p.reach(ctx, helper); err != nil {
		return membership.Message{}, false, err
	}
	answer, err := (&port{zone: p.zone, address: helper}).Probe(ctx, target, m)
	return answer, err == nil, nil
}

func (p *port) Claim(ctx context.Context, to netip.AddrPort, by fleet.EntryID, id fleet.EndpointID) (ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	n, err := p.reach(ctx, to)
	if err != nil {
		return ClaimReply{}, errors.Wrap(err, "claim")
	}
	return n.ownership.HandleClaim(by, id), nil
}

// reach returns the node at an address if the two are on the same side.
func (z *zone) reach(from, to netip.AddrPort) (*node, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	side := z.sides[from]
	if side == sideDown || side != z.sides[to] || int(to.Port()) > len(z.nodes) {
		return nil, false
	}
	return z.nodes[to.Port()-1], true
}

// newZone returns a zone of entries and endpoints.
func newZone(entries, endpoints int, seed uint64) *zone {
	z := &zone{sides: make(map[netip.AddrPort]int)}
	for i := range endpoints {
		z.endpoints = append(z.endpoints, fleet.EndpointID(fmt.Sprint("endpoint-", i)))
	}
	for i := range entries {
		z.add(i, seed)
	}
	return z
}

// add adds one entry that is not yet run.
func (z *zone) add(i int, seed uint64) *node {
	address := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
	entry := fleet.Entry{ID: fleet.EntryID(fmt.Sprint("entry-", i)), Zone: "z", Address: address, State: fleet.StateLive}
	board, lease, clock := &clusterstate.State{}, &membership.Lease{}, &timeline.Clock{}
	for _, id := range z.endpoints {
		board.Endpoints.Set(id, fleet.Endpoint{ID: id, Zone: "z", State: fleet.StateLive})
	}
	pool := &fakePool{rows: make(map[fleet.EndpointID][]ledger.Reservation), fences: make(map[fleet.EndpointID]fleet.Fence)}
	network := &port{zone: z, address: address}
	n := &node{
		pool: pool,
		membership: &membership.Controller{
			Entry: entry, State: board, Transport: network, Lease: lease, Clock: clock,
			Seeds:  []netip.AddrPort{netip.AddrPortFrom(netip.IPv4Unspecified(), 1), netip.AddrPortFrom(netip.IPv4Unspecified(), 2)},
			Random: rand.New(rand.NewPCG(seed, uint64(i))),
		},
		ownership: &Controller{
			Entry: entry.ID, Zone: "z", State: board, Pool: pool, Lease: lease, Clock: clock, Transport: network,
		},
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	z.nodes = append(z.nodes, n)
	return n
}

// side puts entries on a side of the network.
func (z *zone) side(side int, nodes ...*node) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, n := range nodes {
		z.sides[n.membership.Entry.Address] = side
	}
}

// run runs all entries while body runs; start runs one more.
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

// granting returns the entries that would grant an endpoint now.
func (z *zone) granting(id fleet.EndpointID) []*node {
	var nodes []*node
	for _, n := range z.nodes {
		if _, owns := n.pool.owns(id); owns && n.ownership.Active(time.Now()) {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// watch looks at all endpoints for a time and returns the longest time that one had two owners and that one had none.
func (z *zone) watch(t *testing.T, span time.Duration) (overlap, gap time.Duration) {
	const step = 50 * time.Millisecond
	twice := make(map[fleet.EndpointID]time.Duration)
	never := make(map[fleet.EndpointID]time.Duration)
	fences := make(map[fleet.EndpointID]fleet.Fence)
	for range span / step {
		for _, id := range z.endpoints {
			nodes := z.granting(id)
			switch len(nodes) {
			case 0:
				never[id] += step
			case 1:
				fence, _ := nodes[0].pool.owns(id)
				if fence < fences[id] {
					t.Errorf("fence of %s went from %d back to %d", id, fences[id], fence)
				}
				fences[id] = fence
			default:
				twice[id] += step
			}
			overlap, gap = max(overlap, twice[id]), max(gap, never[id])
		}
		time.Sleep(step)
	}
	return overlap, gap
}

func TestEndpointsHaveOneOwner(t *testing.T) {
	minority := func(size int) func(*zone) {
		return func(z *zone) { z.side(1, z.nodes[len(z.nodes)-size:]...) }
	}
	crash := func(z *zone) { z.side(sideDown, z.nodes[len(z.nodes)-1]) }
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
						overlap, gap := z.watch(t, 25*time.Second)
						t.Logf("cut: overlap %s, gap %s", overlap, gap)
						if overlap > tc.overlap {
							t.Errorf("two owners for %s, want at most %s", overlap, tc.overlap)
						}
						if gap > tc.gap {
							t.Errorf("no owner for %s, want at most %s", gap, tc.gap)
						}
						z.side(0, z.nodes...)
						overlap, gap = z.watch(t, 25*time.Second)
						t.Logf("heal: overlap %s, gap %s", overlap, gap)
						if overlap > tc.overlap {
							t.Errorf("two owners for %s after the heal, want at most %s", overlap, tc.overlap)
						}
						for _, id := range z.endpoints {
							if nodes := z.granting(id); len(nodes) != 1 {
								t.Errorf("%s has %d owners at the end", id, len(nodes))
							}
						}
					})
				})
			})
		}
	}
}

func TestHandoverLosesNoRow(t *testing.T) {
	tests := map[string]func(t *testing.T, z *zone, start func(*node)){
		"an entry leaves": func(t *testing.T, z *zone, _ func(*node)) {
			leaver := z.nodes[2]
			leaver.membership.Leave(t.Context())
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			leaver.ownership.Leave(ctx)
			if owned := leaver.ownership.OwnedCount(); owned != 0 {
				t.Errorf("the entry still owns %d endpoints", owned)
			}
		},
		"an entry joins": func(_ *testing.T, z *zone, start func(*node)) {
			start(z.add(9, 77))
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
						for id := range n.pool.rows {
							n.pool.rows[id] = []ledger.Reservation{{Attempt: fleet.AttemptID(id)}}
						}
					}
					change(t, z, start)
					overlap, gap := z.watch(t, 20*time.Second)
					t.Logf("overlap %s, gap %s", overlap, gap)
					if overlap > 0 {
						t.Errorf("two owners for %s in a graceful handover", overlap)
					}
					if got := z.resyncs(); got != resyncs {
						t.Errorf("%d endpoints were taken over without a handover", got-resyncs)
					}
					z.checkRows(t)
				})
			})
		})
	}
}

// resyncs returns how often an endpoint was owned without a handover.
func (z *zone) resyncs() int {
	count := 0
	for _, n := range z.nodes {
		count += n.pool.resyncs
	}
	return count
}

// checkRows checks that the one owner of each endpoint has its ledger row.
func (z *zone) checkRows(t *testing.T) {
	t.Helper()
	for _, id := range z.endpoints {
		nodes := z.granting(id)
		if len(nodes) != 1 {
			t.Errorf("%s has %d owners", id, len(nodes))
			continue
		}
		if rows := nodes[0].pool.rows[id]; len(rows) != 1 || rows[0].Attempt != fleet.AttemptID(id) {
			t.Errorf("%s lost its ledger row: %v", id, rows)
		}
	}
}
