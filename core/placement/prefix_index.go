package placement

import (
	"slices"
	"sync"

	"wisteriadyke/core/fleet"
)

// Bounds of the prefix index.
const (
	// maxPrefixes bounds the digests recorded for each endpoint, evicted ones included; the oldest are dropped first.
	maxPrefixes = 4096
	// maxHolders bounds the endpoints that are recorded for one prefix.
	maxHolders = 8
)

// Prefix is a prefix of a prompt.
type Prefix struct {
	// Digest identifies its text.
	Digest string
	// Tokens is its length.
	Tokens fleet.Tokens
}

// CacheEvent is a change of an endpoint's prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of one incarnation of the endpoint; there may be gaps.
	Sequence uint64
	// Evicted reports whether the prefix was evicted; otherwise it was stored.
	Evicted bool
	// Prefix is the evicted or stored prefix.
	Prefix Prefix
}

// PrefixIndex records which endpoints may hold which prefixes, from cache events that arrive late and with gaps; its
// results are hints. Its zero value is ready to use; its methods are safe for concurrent use.
type PrefixIndex struct {
	mu        sync.Mutex
	endpoints map[fleet.EndpointID]*prefixCache
	holders   map[string][]fleet.EndpointID
}

// prefixCache is the known content of one endpoint's cache; order lists the digests as they were stored, the oldest
// first, and keeps those that were evicted since.
type prefixCache struct {
	incarnation fleet.Incarnation
	sequence    uint64
	stored      map[string]bool
	order       []string
}

// Observe applies cache events of an endpoint. It ignores events of an earlier incarnation and those whose sequence
// number is not larger than that of the last applied event; a later incarnation starts with an empty cache.
func (p *PrefixIndex) Observe(id fleet.EndpointID, incarnation fleet.Incarnation, events []CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.endpoints[id]
	if c != nil && incarnation < c.incarnation {
		return
	}
	if c == nil || incarnation > c.incarnation {
		c = p.reset(id, incarnation)
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

// Forget drops everything recorded of an endpoint's cache.
func (p *PrefixIndex) Forget(id fleet.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reset(id, 0)
	delete(p.endpoints, id)
}

// reset replaces the recorded cache of an endpoint by an empty one; the caller holds the lock.
func (p *PrefixIndex) reset(id fleet.EndpointID, incarnation fleet.Incarnation) *prefixCache {
	if p.endpoints == nil {
		p.endpoints = make(map[fleet.EndpointID]*prefixCache)
		p.holders = make(map[string][]fleet.EndpointID)
	}
	if old := p.endpoints[id]; old != nil {
		for digest := range old.stored {
			p.removeHolder(id, digest)
		}
	}
	c := &prefixCache{incarnation: incarnation, stored: make(map[string]bool)}
	p.endpoints[id] = c
	return c
}

// add records that an endpoint holds a prefix, unless maxHolders endpoints are recorded for it. Beyond maxPrefixes it
// drops the endpoint's oldest prefix. The caller holds the lock.
func (p *PrefixIndex) add(id fleet.EndpointID, c *prefixCache, digest string) {
	if c.stored[digest] || len(p.holders[digest]) >= maxHolders {
		return
	}
	c.stored[digest] = true
	c.order = append(c.order, digest)
	p.holders[digest] = append(p.holders[digest], id)
	if len(c.order) > maxPrefixes {
		oldest := c.order[0]
		c.order = c.order[1:]
		p.remove(id, c, oldest)
	}
}

// remove records that an endpoint no longer holds a prefix; the caller holds the lock.
func (p *PrefixIndex) remove(id fleet.EndpointID, c *prefixCache, digest string) {
	if !c.stored[digest] {
		return
	}
	delete(c.stored, digest)
	p.removeHolder(id, digest)
}

// removeHolder removes an endpoint from the holders of a prefix; the caller holds the lock.
func (p *PrefixIndex) removeHolder(id fleet.EndpointID, digest string) {
	holders := p.holders[digest]
	position := slices.Index(holders, id)
	if position < 0 {
		return
	}
	if len(holders) == 1 {
		delete(p.holders, digest)
		return
	}
	p.holders[digest] = slices.Delete(holders, position, position+1)
}

// Cached returns the length of a prompt's longest prefix that an endpoint may hold together with all shorter ones.
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
		if !c.stored[prefix.Digest] {
			break
		}
		longest = prefix.Tokens
	}
	return longest
}

// Holders appends at most limit endpoints to a slice and returns it: those that may hold the longest prefix of a prompt
// for which any endpoint is recorded.
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
