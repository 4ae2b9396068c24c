// Package gossip replicates small versioned items to every entry by anti-entropy: the highest revision of a key wins.
package gossip

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"
)

// digestBuckets is the number of buckets that keys are divided into; two entries first compare the hashes of the
// buckets.
const digestBuckets = 16

// Item is one versioned value; its payload must not be modified once the item is in a store.
type Item struct {
	// Key names the item.
	Key string
	// Revision orders the values of one key; it is positive.
	Revision uint64
	// Urgent requests that the item is offered to other entries at once instead of waiting for the next comparison.
	Urgent bool
	// Payload is the value.
	Payload []byte
}

// Version identifies one version of an item.
type Version struct {
	// Key names the item.
	Key string
	// Revision is the item's revision.
	Revision uint64
}

// Difference describes how a store differs from a digest.
type Difference struct {
	// Buckets has bit i set if bucket i differs.
	Buckets uint64
	// Versions holds the versions of the store's items in these buckets, in key order.
	Versions []Version
}

// Digest holds one hash for each bucket of keys; two stores with the same versions have equal digests.
type Digest [digestBuckets]uint64

// Store holds the item with the highest known revision of every key. Its zero value is ready to use; it is safe for
// concurrent use.
type Store struct {
	mu     sync.Mutex
	items  map[string]Item
	digest Digest
	// pendingOffers holds the revisions, by key, of the urgent items that have not been offered yet.
	pendingOffers map[string]uint64
	changed       chan struct{}
}

// Put stores the item unless the store has the key at the same or a higher revision, and reports whether it stored the
// item.
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
	s.toggleDigest(old, found)
	s.toggleDigest(item, true)
	if item.Urgent {
		s.addPendingOffer(item)
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return true
}

// Get returns the item of a key and whether it exists.
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

// NextRevision returns a revision for a new value of key: the wall clock in microseconds, but at least one more than
// the stored revision.
func (s *Store) NextRevision(key string, now time.Time) uint64 {
	item, _ := s.Get(key)
	return max(uint64(now.UnixMicro()), item.Revision+1)
}

// Digest returns the digest of the store.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.digest
}

// Difference returns the buckets in which the store's digest differs from other, and the store's versions in them.
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
		if difference.Buckets&(1<<bucketOf(key)) != 0 {
			difference.Versions = append(difference.Versions, Version{Key: key, Revision: item.Revision})
		}
	}
	slices.SortFunc(difference.Versions, func(a, b Version) int { return strings.Compare(a.Key, b.Key) })
	return difference
}

// missingItems returns the items that are newer than in another store, up to maxExchangeBytes; other is that store's
// difference from this store's digest.
func (s *Store) missingItems(other Difference) []Item {
	revisions := make(map[string]uint64, len(other.Versions))
	for _, version := range other.Versions {
		revisions[version.Key] = version.Revision
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key, item := range s.items {
		if other.Buckets&(1<<bucketOf(key)) != 0 && item.Revision > revisions[key] {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return s.collectLocked(keys)
}

// collect returns the items of keys, up to maxExchangeBytes.
func (s *Store) collect(keys []string) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.collectLocked(keys)
}

// collectLocked does the work of collect; the caller holds the lock.
func (s *Store) collectLocked(keys []string) []Item {
	var items []Item
	size := 0
	for _, key := range keys {
		item, found := s.items[key]
		if !found {
			continue
		}
		size += len(item.Payload)
		if size > maxExchangeBytes && len(items) > 0 {
			break
		}
		items = append(items, item)
	}
	return items
}

// addPendingOffer adds an urgent item to those that have to be offered; the caller holds the lock.
func (s *Store) addPendingOffer(item Item) {
	if s.pendingOffers == nil {
		s.pendingOffers = make(map[string]uint64)
	}
	s.pendingOffers[item.Key] = item.Revision
}

// takePendingOffers returns and clears the versions of the urgent items that were stored since the last call, in key
// order.
func (s *Store) takePendingOffers() []Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make([]Version, 0, len(s.pendingOffers))
	for key, revision := range s.pendingOffers {
		versions = append(versions, Version{Key: key, Revision: revision})
	}
	clear(s.pendingOffers)
	slices.SortFunc(versions, func(a, b Version) int { return strings.Compare(a.Key, b.Key) })
	return versions
}

// toggleDigest XORs the hash of an item into the digest if present is true. The first call for a version adds it to the
// digest, the second removes it. The caller holds the lock.
func (s *Store) toggleDigest(item Item, present bool) {
	if present {
		s.digest[bucketOf(item.Key)] ^= versionHash(item.Key, item.Revision)
	}
}

// bucketOf returns the bucket of a key.
func bucketOf(key string) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum64() % digestBuckets)
}

// versionHash returns the hash of one version of an item.
func versionHash(key string, revision uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	var buffer [8]byte
	for i := range buffer {
		buffer[i] = byte(revision >> (8 * i))
	}
	_, _ = h.Write(buffer[:])
	return h.Sum64()
}
