package gossip

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
)

// network connects the controllers of a test in memory; entries in different partitions do not reach each other.
type network struct {
	entries []*Controller

	mu         sync.Mutex
	partitions map[netip.AddrPort]int
}

// memoryTransport carries the calls of one entry to the other entries of the network.
type memoryTransport struct {
	network *network
	address netip.AddrPort
}

// controllerAt returns the controller at an address, or an error if it is in another partition.
func (p *memoryTransport) controllerAt(to netip.AddrPort) (*Controller, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.partitions[p.address] != p.network.partitions[to] {
		return nil, errors.New("entry is in another partition")
	}
	return p.network.entries[to.Port()-1], nil
}

func (p *memoryTransport) Compare(_ context.Context, to netip.AddrPort, digest Digest) (Difference, error) {
	c, err := p.controllerAt(to)
	if err != nil {
		return Difference{}, err
	}
	return c.HandleCompare(digest), nil
}

func (p *memoryTransport) Offer(_ context.Context, to netip.AddrPort, versions []Version) ([]string, error) {
	c, err := p.controllerAt(to)
	if err != nil {
		return nil, err
	}
	return c.HandleOffer(versions), nil
}

func (p *memoryTransport) Exchange(_ context.Context, to netip.AddrPort, items []Item, keys []string) ([]Item, error) {
	c, err := p.controllerAt(to)
	if err != nil {
		return nil, err
	}
	return c.HandleExchange(items, keys), nil
}

// newNetwork returns the controllers of the given number of zones, each with size entries. All entries know each other.
func newNetwork(zones, size int, seed uint64) *network {
	n := &network{partitions: make(map[netip.AddrPort]int)}
	all := make(map[fleet.EntryID]fleet.Entry)
	for i := range zones * size {
		address := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
		entry := fleet.Entry{
			ID:      fleet.EntryID(fmt.Sprint(i)),
			Zone:    fleet.Zone(fmt.Sprint(i / size)),
			Address: address,
			State:   fleet.StateLive,
		}
		all[entry.ID] = entry
		n.entries = append(n.entries, &Controller{
			Entry:     entry,
			Store:     &Store{},
			State:     &clusterstate.State{},
			Transport: &memoryTransport{network: n, address: address},
			Random:    rand.New(rand.NewPCG(seed, uint64(i))),
		})
	}
	for _, c := range n.entries {
		for id, entry := range all {
			if entry.Zone == c.Entry.Zone {
				c.State.ZoneEntries.Set(id, entry)
			}
		}
		c.State.Entries.Replace(all)
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

// waitForRevision waits until every store has the key at the revision and returns how long that took. It fails the test
// if that takes longer than limit.
func (n *network) waitForRevision(t *testing.T, key string, revision uint64, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		behind := 0
		for _, c := range n.entries {
			if item, _ := c.Store.Get(key); item.Revision != revision {
				behind++
			}
		}
		if behind == 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			t.Fatalf("%d of %d entries do not have %s at revision %d after %s", behind, len(n.entries), key, revision, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestItemsReachAllInTime(t *testing.T) {
	tests := map[string]struct {
		zones, size int
		urgent      bool
		limit       time.Duration
	}{
		"three zones of three, urgent":   {3, 3, true, 5 * time.Second},
		"three zones of three":           {3, 3, false, 16 * time.Second},
		"twelve zones of thirty, urgent": {12, 30, true, 5 * time.Second},
		"twelve zones of thirty":         {12, 30, false, 16 * time.Second},
	}
	for name, tc := range tests {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/seed=%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(tc.zones, tc.size, seed)
					n.run(t, func() {
						time.Sleep(time.Second)
						n.entries[0].Store.Put(Item{Key: "k", Revision: 1, Urgent: tc.urgent})
						t.Logf("received by all entries after %s", n.waitForRevision(t, "k", 1, tc.limit))
					})
				})
			})
		}
	}
}

func TestCutAndHealNeverReverts(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(3, 3, seed)
				n.run(t, func() {
					ctx, cancel := context.WithCancel(t.Context())
					var watchers errgroup.Group
					for _, c := range n.entries {
						watchers.Go(func() error { return checkNeverDecreases(ctx, c.Store) })
					}
					n.entries[0].Store.Put(Item{Key: "k", Revision: 1, Urgent: true})
					n.waitForRevision(t, "k", 1, 5*time.Second)
					n.mu.Lock()
					for i := range 4 {
						n.partitions[n.entries[i].Entry.Address] = 1
					}
					n.mu.Unlock()
					n.entries[0].Store.Put(Item{Key: "k", Revision: 2, Urgent: true})
					n.entries[8].Store.Put(Item{Key: "k", Revision: 3, Urgent: true})
					n.entries[1].Store.Put(Item{Key: "only here", Revision: 1})
					time.Sleep(10 * time.Second)
					n.mu.Lock()
					clear(n.partitions)
					n.mu.Unlock()
					n.waitForRevision(t, "k", 3, 16*time.Second)
					n.waitForRevision(t, "only here", 1, 16*time.Second)
					cancel()
					if err := watchers.Wait(); err != nil {
						t.Error(err)
					}
				})
			})
		})
	}
}

// checkNeverDecreases watches the item k until ctx ends and returns an error if its revision decreases.
func checkNeverDecreases(ctx context.Context, store *Store) error {
	var last uint64
	for {
		changed := store.Changed()
		item, _ := store.Get("k")
		if item.Revision < last {
			return errors.Errorf("revision decreased from %d to %d", last, item.Revision)
		}
		last = item.Revision
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
