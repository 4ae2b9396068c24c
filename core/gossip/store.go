// Package gossip carries small versioned items to every entry by gossip: the highest revision of a key wins.
package gossip

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"
)

// digestBuckets is the number of key groups whose hashes two entries compare first.
const digestBuckets = 16

// Item is one versioned value; its payload must not be written once it is in a store.
type Item struct {
	// Key names the item.
	Key string
	// Revision orders the values of one key; it is positive.
	Revision uint64
	// Urgent asks for the item to be pushed at once rather than found by the next digest.
	Urgent bool
	// Payload is the value.
	Payload []byte
}

// Version names one version of an item.
type Version struct {
	// Key names the item.
	Key string
	// Revision is the version.
	Revision uint64
}

// Difference is what one store tells another whose digest differs from its own.
type Difference struct {
	// Buckets has a bit for each group of keys that differs.
	Buckets uint64
	// Versions holds the versions in these groups, in key order.
	Versions []Version
}

// Digest holds one hash for each group of keys; two stores with equal items have equal digests.
type Digest [digestBuckets]uint64

// Store holds the highest known revision of every item; its zero value is ready to use.
type Store struct {
	mu      sync.Mutex
	items   map[string]Item
	digest  Digest
	fresh   map[string]uint64
	changed chan struct{}
}

// Put takes the item unless the store has the key at the same or a higher revision; it reports whether it took it.
func (s *Store) Put(item Item) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.items[item.Key]
	if item.Revision <= old.Revision {
		return false
	}
	if s.items == nil {
		s.items = make(map[string]Item)
	}
	s.items[item.Key] = item
	s.fold(old, found)
	s.fold(item, true)
	if item.Urgent {
		s.note(item)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return true
}

// Get returns the item of a key.
func (s *Store) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[key]
	return item, found
}

// List returns the items whose keys have the prefix, in key order.
func (s *Store) List(prefix string) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// Changed returns a channel that is closed at the next change of the store.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// NextRevision returns a revision for a new value of key: the wall clock in microseconds, or one more than the
// known revision if that is ahead.
func (s *Store) NextRevision(key string, now time.Time) uint64 {
	item, _ := s.Get(key)
	return max(uint64(now.UnixMicro()), item.Revision+1)
}

// Digest returns the hashes of the store's items.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// Difference returns the versions of the items in the groups in which other differs from the store.
func (s *Store) Difference(other Digest) Difference {
	s.mu.Lock()
	defer s.mu.Unlock()
	var difference Difference
	for i := range s.digest {
		if s.digest[i] != other[i] {
			difference.Buckets |= 1 << i
		}
	}
	if difference.Buckets == 0 {
		return difference
	}
	for key, item := range s.items {
		if difference.Buckets&(1<<bucket(key)) != 0 {
			difference.Versions = append(difference.Versions, Version{Key: key, Revision: item.Revision})
		}
	}
	slices.SortFunc(difference.Versions, func(a, b Version) int { return strings.Compare(a.Key, b.Key) })
	return difference
}

// missing returns the items that another store lacks, as far as one exchange may carry them.
func (s *Store) missing(theirs Difference) []Item {
	revisions := make(map[string]uint64, len(theirs.Versions))
	for _, stamp := range theirs.Versions {
		revisions[stamp.Key] = stamp.Revision
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key, item := range s.items {
		if theirs.Buckets&(1<<bucket(key)) != 0 && item.Revision > revisions[key] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return s.bounded(keys)
}

// pick returns the items of keys, as far as one exchange may carry them.
func (s *Store) pick(keys []string) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bounded(keys)
}

// bounded returns the first items of keys that one exchange may carry; the caller holds the lock.
func (s *Store) bounded(keys []string) []Item {
	var items []Item
	size := 0
	for _, key := range keys {
		item, found := s.items[key]
		if !found {
			continue
		}
		size += len(item.Payload)
		if size > maxExchange && len(items) > 0 {
			break
		}
		items = append(items, item)
	}
	return items
}

// note remembers an urgent item until it is offered; the caller holds the lock.
func (s *Store) note(item Item) {
	if s.fresh == nil {
		s.fresh = make(map[string]uint64)
	}
	s.fresh[item.Key] = item.Revision
}

// takeFresh returns the stamps of the urgent items taken since its last call, in key order.
func (s *Store) takeFresh() []Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps := make([]Version, 0, len(s.fresh))
	for key, revision := range s.fresh {
		stamps = append(stamps, Version{Key: key, Revision: revision})
	}
	clear(s.fresh)
	slices.SortFunc(stamps, func(a, b Version) int { return strings.Compare(a.Key, b.Key) })
	return stamps
}

// fold adds the item's hash to the digest or takes it out again; the caller holds the lock.
func (s *Store) fold(item Item, present bool) {
	if present {
		s.digest[bucket(item.Key)] ^= stampHash(item.Key, item.Revision)
	}
}

// bucket returns the group of a key.
func bucket(key string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum64() % digestBuckets)
}

// stampHash hashes one version of an item.
func stampHash(key string, revision uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	var number [8]byte
	for i := range number {
		number[i] = byte(revision >> (8 * i))
	}
	_, _ = h.Write(number[:])
	return h.Sum64()
}
