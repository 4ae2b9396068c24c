package engine

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// maxCacheEvents bounds the number of retained cache events.
const maxCacheEvents = 4096

// cachedPrefix is a cached prompt prefix.
type cachedPrefix struct {
	prefix engine.Prefix
	// ownTokens is the memory use in tokens beyond that of the next shorter prefix of the same prompt.
	ownTokens fleet.Tokens
	// lastUse is the cache's useCount at the last use.
	lastUse uint64
}

// timedEvent is a cache event and its time.
type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

// prefixCache caches prompt prefixes and evicts the least recently used ones first.
type prefixCache struct {
	prefixes map[engine.Digest]*cachedPrefix
	// tokens is the memory use of all prefixes in tokens.
	tokens fleet.Tokens
	// useCount is the number of calls of match and store.
	useCount uint64
	// sequence is the sequence number of the latest event.
	sequence uint64
	// events are the latest events, oldest first.
	events []timedEvent
}

// newPrefixCache returns an empty cache.
func newPrefixCache() *prefixCache {
	return &prefixCache{prefixes: make(map[engine.Digest]*cachedPrefix)}
}

// match returns the length in tokens of the longest cached prefix, and marks it and the shorter ones as used. The
// prefixes must be sorted by length, shortest first.
func (c *prefixCache) match(prefixes []engine.Prefix) fleet.Tokens {
	c.useCount++
	var longest fleet.Tokens
	for _, prefix := range prefixes {
		cached, found := c.prefixes[prefix.Digest]
		if !found {
			break
		}
		cached.lastUse = c.useCount
		longest = prefix.Tokens
	}
	return longest
}

// store caches prefixes, which must be sorted by length, shortest first. There is room for them, since the memory of
// the attempt that prefilled them has just been freed.
func (c *prefixCache) store(now time.Time, prefixes []engine.Prefix) {
	c.useCount++
	var shorter fleet.Tokens
	for _, prefix := range prefixes {
		added := prefix.Tokens - shorter
		shorter = prefix.Tokens
		if cached, found := c.prefixes[prefix.Digest]; found {
			cached.lastUse = c.useCount
			continue
		}
		c.tokens += added
		c.prefixes[prefix.Digest] = &cachedPrefix{prefix: prefix, ownTokens: added, lastUse: c.useCount}
		c.appendEvent(now, engine.CacheStored, prefix)
	}
}

// evict evicts prefixes until it has freed the given number of tokens or the cache is empty: the least recently used
// ones first, and of those with the same last use the longest first.
func (c *prefixCache) evict(now time.Time, tokens fleet.Tokens) {
	for tokens > 0 && len(c.prefixes) > 0 {
		oldest := c.nextToEvict()
		delete(c.prefixes, oldest.prefix.Digest)
		c.tokens -= oldest.ownTokens
		tokens -= oldest.ownTokens
		c.appendEvent(now, engine.CacheEvicted, oldest.prefix)
	}
}

// nextToEvict returns the prefix to evict next, or nil if the cache is empty.
func (c *prefixCache) nextToEvict() *cachedPrefix {
	var oldest *cachedPrefix
	for _, candidate := range c.prefixes {
		if oldest == nil || candidate.evictedBefore(oldest) {
			oldest = candidate
		}
	}
	return oldest
}

// evictedBefore reports whether p is evicted before other.
func (p *cachedPrefix) evictedBefore(other *cachedPrefix) bool {
	if p.lastUse != other.lastUse {
		return p.lastUse < other.lastUse
	}
	return p.prefix.Tokens > other.prefix.Tokens
}

// appendEvent appends an event with the next sequence number, and drops the oldest event if there are more than
// maxCacheEvents.
func (c *prefixCache) appendEvent(now time.Time, kind engine.CacheEventKind, prefix engine.Prefix) {
	c.sequence++
	event := engine.CacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix}
	c.events = append(c.events, timedEvent{at: now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// eventsAfter returns the events that occurred no later than the time until and whose sequence number is greater than
// the value of after. If gap is positive, it leaves out the events whose sequence number is a multiple of gap.
func (c *prefixCache) eventsAfter(after uint64, until time.Time, gap uint64) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, timed := range c.events {
		if timed.event.Sequence <= after || timed.at.After(until) {
			continue
		}
		if gap > 0 && timed.event.Sequence%gap == 0 {
			continue
		}
		events = append(events, timed.event)
	}
	return events
}
