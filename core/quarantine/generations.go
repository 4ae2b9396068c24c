package quarantine

import "time"

// generations maps keys to values that are kept for at least a lifetime after they were set, or less if there are too
// many, and at most twice as long. Its zero value is not usable; the fields must be set. It is not safe for concurrent
// use.
type generations[K comparable, V any] struct {
	// lifetime is how long a value is kept.
	lifetime time.Duration
	// capacity bounds the number of keys set within one lifetime.
	capacity int

	current, previous map[K]V
	startedAt         time.Time
}

// set stores a value.
func (g *generations[K, V]) set(key K, value V, now time.Time) {
	if g.current == nil || now.Sub(g.startedAt) >= g.lifetime || len(g.current) >= g.capacity {
		g.previous, g.current, g.startedAt = g.current, make(map[K]V), now
	}
	g.current[key] = value
}

// get returns the value of a key and whether there is one.
func (g *generations[K, V]) get(key K) (V, bool) {
	if value, found := g.current[key]; found {
		return value, true
	}
	value, found := g.previous[key]
	return value, found
}
