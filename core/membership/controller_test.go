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

// network carries probes between controllers in memory.
type network struct {
	entries map[netip.AddrPort]*Controller

	mu     sync.Mutex
	groups map[netip.AddrPort]int
	down   map[netip.AddrPort]bool
}

// port is the end of the network at one entry.
type port struct {
	network *network
	address netip.AddrPort
}

// Probe fails when either end is down or the two are cut off.
func (p *port) Probe(ctx context.Context, to netip.AddrPort, message Message) (Message, error) {
	if !p.network.reaches(p.address, to) {
		<-ctx.Done()
		return Message{}, ctx.Err()
	}
	return p.network.entries[to].HandleProbe(message), nil
}

// ProbeFor lets the helper pass the message on.
func (p *port) ProbeFor(ctx context.Context, helper, target netip.AddrPort, message Message) (Message, bool, error) {
	if !p.network.reaches(p.address, helper) {
		return Message{}, false, errors.New("no helper")
	}
	answer, err := (&port{network: p.network, address: helper}).Probe(ctx, target, message)
	return answer, err == nil, nil
}

// reaches tells whether two entries are up and not cut off from each other.
func (n *network) reaches(a, b netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries[b] != nil && !n.down[a] && !n.down[b] && n.groups[a] == n.groups[b]
}

// change changes the network.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// address returns the address of an entry.
func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// newNetwork returns controllers of count entries in one zone.
func newNetwork(count int, seed uint64) *network {
	n := &network{
		entries: make(map[netip.AddrPort]*Controller),
		groups:  make(map[netip.AddrPort]int),
		down:    make(map[netip.AddrPort]bool),
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
			Transport: &port{network: n, address: address(i)},
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

// complete tells whether every entry that is up sees exactly those that are.
func (n *network) complete() bool {
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

// until waits for a condition and returns how long that took.
func until(limit time.Duration, condition func() bool) (time.Duration, bool) {
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
						if _, ok := until(20*time.Second, func() bool { return n.complete() }); !ok {
							t.Fatal("the entries did not find each other")
						}
						time.Sleep(10 * time.Second)
						n.change(func() { n.down[address(count-1)] = true })
						limit := SuspicionTimeout + time.Duration(4+2*bits.Len(uint(count)))*ProbeInterval
						took, ok := until(limit, func() bool { return n.complete() })
						if !ok {
							t.Errorf("crash not known to all within %s", limit)
						}
						t.Logf("known to all after %s", took)
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
						until(20*time.Second, func() bool { return n.complete() })
						time.Sleep(5 * time.Second)
						for i := range tc.minority {
							n.change(func() { n.groups[address(tc.count-1-i)] = 1 })
						}
						time.Sleep(20 * time.Second)
						for a, c := range n.entries {
							_, held := c.Lease.Held(time.Now())
							if n.groups[a] == 1 && held {
								t.Errorf("%s acts in the minority", c.Entry.ID)
							}
							if n.groups[a] == 0 && !held && tc.count > 2 {
								t.Errorf("%s does not act in the majority", c.Entry.ID)
							}
						}
						n.change(func() { clear(n.groups) })
						limit := time.Duration(tc.count+10) * ProbeInterval
						took, ok := until(limit, func() bool { return n.complete() })
						if !ok {
							t.Errorf("not healed within %s", limit)
						}
						t.Logf("healed after %s", took)
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
			until(20*time.Second, func() bool { return n.complete() })
			n.entries[address(8)].Leave(t.Context())
			took, ok := until(5*time.Second, func() bool {
				for a, c := range n.entries {
					row, found := c.State.ZoneEntries.Get("entry-008")
					if a != address(8) && found && row.State == fleet.StateLive {
						return false
					}
				}
				return true
			})
			if !ok {
				t.Error("not heard by all within 5s")
			}
			t.Logf("heard by all after %s", took)
		})
	})
}

func TestALoneEntryIsAMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 1)
		n.run(t, func() {
			time.Sleep(2 * joinTime)
			if rows := n.entries[address(0)].State.ZoneEntries.Snapshot().Rows; len(rows) != 1 {
				t.Errorf("%d members, want the entry itself", len(rows))
			}
		})
	})
}
