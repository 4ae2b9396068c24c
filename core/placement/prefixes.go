package placement

import (
	"slices"
	"sync"

	"wisteriadyke/core/fleet"
)

// Bounds of what is remembered of prefix caches.
const (
	// maxPrefixes is the number of prefixes that are remembered of one endpoint, the latest ones.
	maxPrefixes = 4096
	// maxHolders is the number of endpoints that are remembered to hold one prefix.
	maxHolders = 8
)

// Prefix is the beginning of a prompt.
type Prefix struct {
	// Digest names the text.
	Digest string
	// Tokens is its length.
	Tokens fleet.Tokens
}

// CacheEvent tells of a change of an endpoint's prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of one life of the endpoint; numbers may be missing.
	Sequence uint64
	// Evicted tells that the prefix was given up, else it was stored.
	Evicted bool
	// Prefix is the prefix.
	Prefix Prefix
}

// PrefixIndex remembers which endpoints may hold which prefixes, from cache events that come late and with gaps; what
// it tells is a hint. Its zero value is ready to use, by several goroutines at once.
type PrefixIndex struct {
	mu        sync.Mutex
	endpoints map[fleet.EndpointID]*prefixCache
	holders   map[string][]fleet.EndpointID
}

// prefixCache is what is known of the cache of one endpoint.
type prefixCache struct {
	incarnation fleet.Incarnation
	sequence    uint64
	held        map[string]bool
	order       []string
}

// Observe takes events of an endpoint; those of an earlier life are ignored, a later life begins with an empty cache.
func (p *PrefixIndex) Observe(id fleet.EndpointID, incarnation fleet.Incarnation, events []CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.endpoints[id]
	if c != nil && incarnation < c.incarnation {
		return
	}
	if c == nil || incarnation > c.incarnation {
		c = p.renew(id, incarnation)
	}
	for _, event := range events {
		if event.Sequence <= c.sequence {
			continue
		}
		c.sequence = event.Sequence
		if event.Evicted {
			p.remove(id, c, event.Prefix.Digest)
		} else {
			p.add(id, c, event.Prefix.Digest)
		}
	}
}

// Forget drops all that is known of an endpoint.
func (p *PrefixIndex) Forget(id fleet.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.renew(id, 0)
	delete(p.endpoints, id)
}

// renew begins an empty cache; the caller holds the lock.
func (p *PrefixIndex) renew(id fleet.EndpointID, incarnation fleet.Incarnation) *prefixCache {
	if p.endpoints == nil {
		p.endpoints = make(map[fleet.EndpointID]*prefixCache)
		p.holders = make(map[string][]fleet.EndpointID)
	}
	if old := p.endpoints[id]; old != nil {
		for digest := range old.held {
			p.drop(id, digest)
		}
	}
	c := &prefixCache{incarnation: incarnation, held: make(map[string]bool)}
	p.endpoints[id] = c
	return c
}

// add notes that an endpoint holds a prefix.
func (p *PrefixIndex) add(id fleet.EndpointID, c *prefixCache, digest string) {
	if c.held[digest] || len(p.holders[digest]) >= maxHolders {
		return
	}
	c.held[digest] = true
	c.order = append(c.order, digest)
	p.holders[digest] = append(p.holders[digest], id)
	if len(c.order) > maxPrefixes {
		oldest := c.order[0]
		c.order = c.order[1:]
		p.remove(id, c, oldest)
	}
}

// remove notes that an endpoint no longer holds a prefix.
func (p *PrefixIndex) remove(id fleet.EndpointID, c *prefixCache, digest string) {
	if !c.held[digest] {
		return
	}
	delete(c.held, digest)
	p.drop(id, digest)
}

// drop takes an endpoint from the holders of a prefix.
func (p *PrefixIndex) drop(id fleet.EndpointID, digest string) {
	holders := p.holders[digest]
	place := slices.Index(holders, id)
	if place < 0 {
		return
	}
	if len(holders) == 1 {
		delete(p.holders, digest)
		return
	}
	p.holders[digest] = slices.Delete(holders, place, place+1)
}

// Cached returns the length of the longest of a prompt's prefixes that an endpoint may hold.
func (p *PrefixIndex) Cached(id fleet.EndpointID, prefixes []Prefix) fleet.Tokens {
	if p == nil || len(prefixes) == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.endpoints[id]
	if c == nil {
		return 0
	}
	var longest fleet.Tokens
	for _, prefix := range prefixes {
		if !c.held[prefix.Digest] {
			break
		}
		longest = prefix.Tokens
	}
	return longest
}

// Holders appends the endpoints that may hold the longest known one of a prompt's prefixes, at most limit of them.
func (p *PrefixIndex) Holders(to []fleet.EndpointID, prefixes []Prefix, limit int) []fleet.EndpointID {
	if p == nil || len(prefixes) == 0 {
		return to
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, prefix := range slices.Backward(prefixes) {
		holders := p.holders[prefix.Digest]
		if len(holders) > 0 {
			return append(to, holders[:min(limit, len(holders))]...)
		}
	}
	return to
}
