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
	// CompareInterval is the time between two comparisons that an entry starts.
	CompareInterval = time.Second
	// compareTimeout bounds one comparison and the exchange that follows it.
	compareTimeout = 3 * time.Second
	// offerTimeout bounds one offer of urgent items and the exchange that follows it.
	offerTimeout = time.Second
	// offerRounds is the number of rounds in which an entry offers an urgent item that is new to it.
	offerRounds = 2
	// offerInterval is the time between two rounds of offers.
	offerInterval = 200 * time.Millisecond
	// zoneFanout is the number of entries of the zone that receive the offer of one round.
	zoneFanout = 3
	// otherZoneFanout is the number of entries of other zones that receive the offer of one round.
	otherZoneFanout = 2
	// requestTimeout is how long an entry waits for an offered item that it has requested before it requests the item from
	// another entry.
	requestTimeout = time.Second
	// maxExchangeBytes bounds the payloads that one exchange sends in each direction; a larger item is sent alone.
	maxExchangeBytes = 1 << 20
)

// Transport calls other entries.
type Transport interface {
	// Compare sends a digest and returns how the other entry's store differs from it.
	Compare(ctx context.Context, to netip.AddrPort, digest Digest) (Difference, error)
	// Offer sends versions and returns the keys that the other entry requests.
	Offer(ctx context.Context, to netip.AddrPort, versions []Version) ([]string, error)
	// Exchange sends items and returns the other entry's items of the requested keys.
	Exchange(ctx context.Context, to netip.AddrPort, items []Item, keys []string) ([]Item, error)
}

// Controller replicates items between the store and those of the other entries. Every CompareInterval it compares
// digests with one entry, sometimes of another zone; it offers urgent items immediately. It reads the tables
// ZoneEntries and Entries of the cluster state.
//
// Source: A. Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987.
type Controller struct {
	// Entry is this entry.
	Entry fleet.Entry
	// Store holds the items.
	Store *Store
	// State holds the tables ZoneEntries and Entries.
	State *clusterstate.State
	// Seeds are addresses of entries to compare with while no other entry is known.
	Seeds []netip.AddrPort
	// Transport calls the other entries.
	Transport Transport
	// Random seeds the selection of entries to compare with and to offer to.
	Random *rand.Rand

	mu sync.Mutex
	// requested holds when this entry last requested an offered version.
	requested map[Version]time.Time
}

// Run replicates items until ctx ends; it returns no error.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	compareRandom := rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))
	offerRandom := rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))
	group.Go(func() error { c.runComparisons(ctx, compareRandom); return nil })
	group.Go(func() error { c.runOffers(ctx, offerRandom); return nil })
	return group.Wait()
}

// runComparisons compares the store with that of one entry every CompareInterval.
func (c *Controller) runComparisons(ctx context.Context, random *rand.Rand) {
	ticker := time.NewTicker(CompareInterval)
	defer ticker.Stop()
	for {
		if partner, found := c.pickPartner(random); found {
			// A failed comparison is not retried, since the next one covers the same items.
			_ = c.compare(ctx, partner)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pickPartner returns the address of a random entry to compare with, and whether there is one. On average one entry of
// the zone compares with an entry of another zone in each CompareInterval.
func (c *Controller) pickPartner(random *rand.Rand) (netip.AddrPort, bool) {
	zone, otherZones := c.liveEntries()
	if len(otherZones) > 0 && random.IntN(len(zone)+1) == 0 {
		return otherZones[random.IntN(len(otherZones))].Address, true
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

// liveEntries returns the other live entries of this zone and those of all other zones.
func (c *Controller) liveEntries() (zone, otherZones []fleet.Entry) {
	for id, entry := range c.State.ZoneEntries.Snapshot().Rows {
		if id != c.Entry.ID && entry.State == fleet.StateLive {
			zone = append(zone, entry)
		}
	}
	for _, entry := range c.State.Entries.Snapshot().Rows {
		if entry.Zone != c.Entry.Zone && entry.State == fleet.StateLive {
			otherZones = append(otherZones, entry)
		}
	}
	return zone, otherZones
}

// compare compares the store with that of another entry and exchanges the items that differ, up to maxExchangeBytes
// each way.
func (c *Controller) compare(ctx context.Context, partner netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	difference, err := c.Transport.Compare(ctx, partner, c.Store.Digest())
	if err != nil {
		return errors.Wrapf(err, "gossip: compare with %s", partner)
	}
	keys := c.newerKeys(difference.Versions)
	items := c.Store.missingItems(difference)
	if len(keys) == 0 && len(items) == 0 {
		return nil
	}
	received, err := c.Transport.Exchange(ctx, partner, items, keys)
	if err != nil {
		return errors.Wrapf(err, "gossip: exchange with %s", partner)
	}
	for _, item := range received {
		c.Store.Put(item)
	}
	return nil
}

// newerKeys returns the keys of the versions that are newer than those in the store.
func (c *Controller) newerKeys(versions []Version) []string {
	var keys []string
	for _, version := range versions {
		if item, _ := c.Store.Get(version.Key); version.Revision > item.Revision {
			keys = append(keys, version.Key)
		}
	}
	return keys
}

// runOffers offers urgent items as soon as the store has accepted them.
func (c *Controller) runOffers(ctx context.Context, random *rand.Rand) {
	for {
		changed := c.Store.Changed()
		if versions := c.Store.takePendingOffers(); len(versions) > 0 {
			c.offer(ctx, random, versions)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// offer offers urgent items to random entries in offerRounds rounds, and waits for offerInterval after each.
func (c *Controller) offer(ctx context.Context, random *rand.Rand, versions []Version) {
	for range offerRounds {
		var group errgroup.Group
		for _, entry := range c.pickOfferTargets(random) {
			group.Go(func() error { return c.offerTo(ctx, entry.Address, versions) })
		}
		// A failed offer is not retried, since the next comparison covers the same items.
		_ = group.Wait()
		select {
		case <-ctx.Done():
			return
		case <-time.After(offerInterval):
		}
	}
}

// pickOfferTargets returns random entries that receive the offer of one round.
func (c *Controller) pickOfferTargets(random *rand.Rand) []fleet.Entry {
	zone, otherZones := c.liveEntries()
	random.Shuffle(len(zone), func(i, j int) { zone[i], zone[j] = zone[j], zone[i] })
	random.Shuffle(len(otherZones), func(i, j int) { otherZones[i], otherZones[j] = otherZones[j], otherZones[i] })
	targets := zone[:min(zoneFanout, len(zone))]
	return append(targets, otherZones[:min(otherZoneFanout, len(otherZones))]...)
}

// offerTo offers urgent items to one entry and sends those that it requests.
func (c *Controller) offerTo(ctx context.Context, to netip.AddrPort, versions []Version) error {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	keys, err := c.Transport.Offer(ctx, to, versions)
	if err != nil || len(keys) == 0 {
		return err
	}
	_, err = c.Transport.Exchange(ctx, to, c.Store.collect(keys), nil)
	return err
}

// HandleCompare returns how the store differs from the digest of another entry.
func (c *Controller) HandleCompare(digest Digest) Difference {
	return c.Store.Difference(digest)
}

// HandleOffer returns the keys of the offered versions that are newer than the store's and that this entry has not
// requested within the last requestTimeout. It records them as requested.
func (c *Controller) HandleOffer(versions []Version) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for version, at := range c.requested {
		if now.Sub(at) >= requestTimeout {
			delete(c.requested, version)
		}
	}
	if c.requested == nil {
		c.requested = make(map[Version]time.Time)
	}
	var keys []string
	for _, version := range versions {
		item, _ := c.Store.Get(version.Key)
		if _, pending := c.requested[version]; pending || version.Revision <= item.Revision {
			continue
		}
		c.requested[version] = now
		keys = append(keys, version.Key)
	}
	return keys
}

// HandleExchange puts items into the store and returns the store's items of the requested keys, up to maxExchangeBytes.
func (c *Controller) HandleExchange(items []Item, keys []string) []Item {
	for _, item := range items {
		c.Store.Put(item)
	}
	return c.Store.collect(keys)
}
