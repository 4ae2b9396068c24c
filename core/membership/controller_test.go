package membership

import (
	"context"
	"fmt"
	"math/bits"
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
	"wisteriadyke/core/timeline"
)

// network connects the controllers of a test in memory.
type network struct {
	entries map[netip.AddrPort]*Controller

	mu         sync.Mutex
	partitions map[netip.AddrPort]int
	down       map[netip.AddrPort]bool
}

// memoryTransport carries the calls of one entry to the other entries of the network.
type memoryTransport struct {
	network *network
	address netip.AddrPort
}

// Probe waits until ctx ends if one of the entries is down or they are in different partitions.
func (p *memoryTransport) Probe(ctx context.Context, to netip.AddrPort, message Message) (Message, error) {
	if !p.network.reaches(p.address, to) {
		<-ctx.Done()
		return Message{}, ctx.Err()
	}
	return p.network.entries[to].HandleProbe(message), nil
}

// ProbeFor sends the message to the target from the relay's address.
func (p *memoryTransport) ProbeFor(
	ctx context.Context, relay, target netip.AddrPort, message Message,
) (Message, bool, error) {
	if !p.network.reaches(p.address, relay) {
		return Message{}, false, errors.New("relay is not reachable")
	}
	reply, err := (&memoryTransport{network: p.network, address: relay}).Probe(ctx, target, message)
	return reply, err == nil, nil
}

// reaches reports whether two entries are up and in the same partition.
func (n *network) reaches(a, b netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries[b] != nil && !n.down[a] && !n.down[b] && n.partitions[a] == n.partitions[b]
}

// change calls f with the network locked.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// address returns the address of an entry.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// newNetwork returns the controllers of count entries of one zone, of which the first two are the seeds.
func newNetwork(count int, seed uint64) *network {
	n := &network{
		entries:    make(map[netip.AddrPort]*Controller),
		partitions: make(map[netip.AddrPort]int),
		down:       make(map[netip.AddrPort]bool),
	}
	for i := range count {
		n.entries[address(i)] = &Controller{
			Entry: fleet.Entry{
				ID:      fleet.EntryID(fmt.Sprintf("entry-%03d", i)),
				Zone:    "z",
				Address: address(i),
				State:   fleet.StateLive,
			},
			Seeds:     []netip.AddrPort{address(0), address(1)},
			State:     &clusterstate.State{},
			Transport: &memoryTransport{network: n, address: address(i)},
			Lease:     &Lease{},
			Clock:     &timeline.Clock{},
			Random:    rand.New(rand.NewPCG(seed, uint64(i))),
		}
	}
	return n
}

// run runs the controllers while body runs.
func (n *network) run(t *testing.T, body func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for _, c := range n.entries {
		group.Go(func() error { return c.Run(ctx) })
	}
	body()
	cancel()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// converged reports whether the members of every entry that is up are exactly the entries that are up.
func (n *network) converged() bool {
	want := 0
	for a := range n.entries {
		if !n.down[a] {
			want++
		}
	}
	for a, c := range n.entries {
		if n.down[a] {
			continue
		}
		rows := c.State.ZoneEntries.Snapshot().Rows
		if len(rows) != want {
			return false
		}
		for _, row := range rows {
			if n.down[row.Address] {
				return false
			}
		}
	}
	return true
}

// waitUntil waits until a condition holds and returns how long that took; it reports false after limit.
func waitUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			return limit, false
		}
		time.Sleep(ProbeInterval / 10)
	}
	return time.Since(start), true
}

func TestCrashIsDetectedInBoundedTime(t *testing.T) {
	for _, count := range []int{2, 3, 9, 30} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("entries=%d/seed=%d", count, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(count, seed)
					n.run(t, func() {
						if _, ok := waitUntil(20*time.Second, func() bool { return n.converged() }); !ok {
							t.Fatal("the entries have not joined within 20s")
						}
						time.Sleep(10 * time.Second)
						n.change(func() { n.down[address(count-1)] = true })
						limit := SuspicionTimeout + time.Duration(4+2*bits.Len(uint(count)))*ProbeInterval
						elapsed, ok := waitUntil(limit, func() bool { return n.converged() })
						if !ok {
							t.Errorf("crash not detected by all entries within %s", limit)
						}
						t.Logf("detected by all entries after %s", elapsed)
					})
				})
			})
		}
	}
}

func TestCutAndHeal(t *testing.T) {
	tests := map[string]struct{ count, minority int }{
		"one of three":  {3, 1},
		"one of two":    {2, 1},
		"four of nine":  {9, 4},
		"ten of thirty": {30, 10},
	}
	for name, tc := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(tc.count, seed)
					n.run(t, func() {
						waitUntil(20*time.Second, func() bool { return n.converged() })
						time.Sleep(5 * time.Second)
						for i := range tc.minority {
							n.change(func() { n.partitions[address(tc.count-1-i)] = 1 })
						}
						time.Sleep(20 * time.Second)
						for a, c := range n.entries {
							_, held := c.Lease.Held(time.Now())
							if n.partitions[a] == 1 && held {
								t.Errorf("%s holds the lease in the minority", c.Entry.ID)
							}
							if n.partitions[a] == 0 && !held && tc.count > 2 {
								t.Errorf("%s does not hold the lease in the majority", c.Entry.ID)
							}
						}
						n.change(func() { clear(n.partitions) })
						limit := time.Duration(tc.count+10) * ProbeInterval
						elapsed, ok := waitUntil(limit, func() bool { return n.converged() })
						if !ok {
							t.Errorf("views have not converged within %s", limit)
						}
						t.Logf("views have converged after %s", elapsed)
					})
				})
			})
		}
	}
}

func TestLeaveIsHeardByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(9, 1)
		n.run(t, func() {
			waitUntil(20*time.Second, func() bool { return n.converged() })
			n.entries[address(8)].Leave(t.Context())
			elapsed, ok := waitUntil(5*time.Second, func() bool {
				for a, c := range n.entries {
					row, found := c.State.ZoneEntries.Get("entry-008")
					if a != address(8) && found && row.State == fleet.StateLive {
						return false
					}
				}
				return true
			})
			if !ok {
				t.Error("not received by all entries within 5s")
			}
			t.Logf("received by all entries after %s", elapsed)
		})
	})
}

func TestALoneEntryIsAMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 1)
		n.run(t, func() {
			time.Sleep(2 * joinTimeout)
			if rows := n.entries[address(0)].State.ZoneEntries.Snapshot().Rows; len(rows) != 1 {
				t.Errorf("got %d members, want the entry itself", len(rows))
			}
		})
	})
}
