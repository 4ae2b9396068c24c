package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

const (
	// CompareInterval is the time between two comparisons with another entry.
	CompareInterval = time.Second
	// compareTimeout bounds one comparison.
	compareTimeout = 3 * time.Second
	// offerTimeout bounds one offer of urgent items.
	offerTimeout = time.Second
	// offerRounds is how often an entry offers an urgent item that it has just taken.
	offerRounds = 2
	// offerInterval is the time between these rounds.
	offerInterval = 200 * time.Millisecond
	// zoneFanout is the number of entries of the zone that get one offer.
	zoneFanout = 3
	// outsideFanout is the number of entries of other zones that get one offer.
	outsideFanout = 2
	// askAgain is how long an entry waits for an item that it has asked for before it asks another.
	askAgain = time.Second
	// maxExchange bounds the payload bytes of one exchange, of which one item may be larger.
	maxExchange = 1 << 20
)

// Transport carries the exchange of items with other entries.
type Transport interface {
	// Compare sends a digest and returns what differs.
	Compare(ctx context.Context, to netip.AddrPort, digest Digest) (Difference, error)
	// Offer sends stamps and returns the keys that the other entry wants.
	Offer(ctx context.Context, to netip.AddrPort, stamps []Version) ([]string, error)
	// Exchange sends items and returns those that were wanted.
	Exchange(ctx context.Context, to netip.AddrPort, items []Item, wanted []string) ([]Item, error)
}

// Controller keeps the store equal to those of the other entries. It compares digests with one entry a period, now and
// then of another zone, and offers urgent items at once. It reads the members and the entries of the blackboard.
//
// Source: A. Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987.
type Controller struct {
	// Entry is this entry.
	Entry fleet.Entry
	// Store holds the items.
	Store *Store
	// State holds the live entries.
	State *clusterstate.State
	// Seeds are addresses of other entries, used while no other entry is known.
	Seeds []netip.AddrPort
	// Transport reaches the other entries.
	Transport Transport
	// Random chooses the partners.
	Random *rand.Rand

	mu    sync.Mutex
	asked map[Version]time.Time
}

// Run spreads until ctx ends; it returns no error.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	partners := rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))
	listeners := rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))
	group.Go(func() error { c.compareAll(ctx, partners); return nil })
	group.Go(func() error { c.offerAll(ctx, listeners); return nil })
	return group.Wait()
}

// compareAll compares with one entry a period.
func (c *Controller) compareAll(ctx context.Context, random *rand.Rand) {
	ticker := time.NewTicker(CompareInterval)
	defer ticker.Stop()
	for {
		if partner, found := c.partner(random); found {
			// A failed comparison is made up for by the next one.
			_ = c.compare(ctx, partner)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// partner chooses an entry to compare with. One entry of the zone in each period, on average, looks outside.
func (c *Controller) partner(random *rand.Rand) (netip.AddrPort, bool) {
	zone, outside := c.others()
	if len(outside) > 0 && random.IntN(len(zone)+1) == 0 {
		return outside[random.IntN(len(outside))].Address, true
	}
	if len(zone) > 0 {
		return zone[random.IntN(len(zone))].Address, true
	}
	if len(c.Seeds) > 0 {
		seed := c.Seeds[random.IntN(len(c.Seeds))]
		return seed, seed != c.Entry.Address
	}
	return netip.AddrPort{}, false
}

// others returns the other live entries of this zone and of all others.
func (c *Controller) others() (zone, outside []fleet.Entry) {
	for id, entry := range c.State.ZoneEntries.Snapshot().Rows {
		if id != c.Entry.ID && entry.State == fleet.StateLive {
			zone = append(zone, entry)
		}
	}
	for _, entry := range c.State.Entries.Snapshot().Rows {
		if entry.Zone != c.Entry.Zone && entry.State == fleet.StateLive {
			outside = append(outside, entry)
		}
	}
	return zone, outside
}

// compare makes the two stores equal.
func (c *Controller) compare(ctx context.Context, partner netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	theirs, err := c.Transport.Compare(ctx, partner, c.Store.Digest())
	if err != nil {
		return errors.Wrapf(err, "spread: compare with %s", partner)
	}
	wanted := c.newer(theirs.Versions)
	items := c.Store.missing(theirs)
	if len(wanted) == 0 && len(items) == 0 {
		return nil
	}
	answer, err := c.Transport.Exchange(ctx, partner, items, wanted)
	if err != nil {
		return errors.Wrapf(err, "spread: exchange with %s", partner)
	}
	for _, item := range answer {
		c.Store.Put(item)
	}
	return nil
}

// newer returns the keys whose stamps are ahead of the store.
func (c *Controller) newer(stamps []Version) []string {
	var keys []string
	for _, stamp := range stamps {
		if item, _ := c.Store.Get(stamp.Key); stamp.Revision > item.Revision {
			keys = append(keys, stamp.Key)
		}
	}
	return keys
}

// offerAll offers urgent items as soon as the store takes them.
func (c *Controller) offerAll(ctx context.Context, random *rand.Rand) {
	for {
		changed := c.Store.Changed()
		if fresh := c.Store.takeFresh(); len(fresh) > 0 {
			c.offer(ctx, random, fresh)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// offer offers urgent items in several rounds.
func (c *Controller) offer(ctx context.Context, random *rand.Rand, fresh []Version) {
	for range offerRounds {
		var group errgroup.Group
		for _, entry := range c.listeners(random) {
			group.Go(func() error { return c.offerTo(ctx, entry.Address, fresh) })
		}
		// A lost offer is made up for by the next comparison.
		_ = group.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(offerInterval):
		}
	}
}

// listeners chooses the entries that get one offer.
func (c *Controller) listeners(random *rand.Rand) []fleet.Entry {
	zone, outside := c.others()
	random.Shuffle(len(zone), func(i, j int) { zone[i], zone[j] = zone[j], zone[i] })
	random.Shuffle(len(outside), func(i, j int) { outside[i], outside[j] = outside[j], outside[i] })
	listeners := zone[:min(zoneFanout, len(zone))]
	return append(listeners, outside[:min(outsideFanout, len(outside))]...)
}

// offerTo offers urgent items to one entry and sends what it wants.
func (c *Controller) offerTo(ctx context.Context, to netip.AddrPort, fresh []Version) error {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	wanted, err := c.Transport.Offer(ctx, to, fresh)
	if err != nil || len(wanted) == 0 {
		return err
	}
	_, err = c.Transport.Exchange(ctx, to, c.Store.pick(wanted), nil)
	return err
}

// HandleCompare returns what differs from a digest.
func (c *Controller) HandleCompare(digest Digest) Difference {
	return c.Store.Difference(digest)
}

// HandleOffer returns the offered keys that the store lacks and that were not asked for just now.
func (c *Controller) HandleOffer(stamps []Version) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for stamp, at := range c.asked {
		if now.Sub(at) >= askAgain {
			delete(c.asked, stamp)
		}
	}
	if c.asked == nil {
		c.asked = make(map[Version]time.Time)
	}
	var wanted []string
	for _, stamp := range stamps {
		item, _ := c.Store.Get(stamp.Key)
		if _, pending := c.asked[stamp]; pending || stamp.Revision <= item.Revision {
			continue
		}
		c.asked[stamp] = now
		wanted = append(wanted, stamp.Key)
	}
	return wanted
}

// HandleExchange takes items and returns those that are wanted.
func (c *Controller) HandleExchange(items []Item, wanted []string) []Item {
	for _, item := range items {
		c.Store.Put(item)
	}
	return c.Store.pick(wanted)
}
