// Package timeline records typed events of one process and merges the events of several processes.
package timeline

import (
	"sync"
	"time"
)

// Timestamp is a hybrid logical timestamp, which orders events across processes whose clocks differ.
type Timestamp struct {
	// Wall is the largest wall-clock time that the process has seen, its own or a peer's.
	Wall time.Time
	// Logical orders events with the same wall-clock time.
	Logical uint32
}

// Compare returns a negative number if s is before other, a positive one if after, and 0 if they are equal.
func (s Timestamp) Compare(other Timestamp) int {
	if order := s.Wall.Compare(other.Wall); order != 0 {
		return order
	}
	return int(s.Logical) - int(other.Logical)
}

// Clock is a hybrid logical clock. Its zero value is ready to use; it is safe for concurrent use.
//
// Source: S. Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally Distributed
// Databases", OPODIS 2014.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns the timestamp of a local event.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = nextTimestamp(c.last, time.Now())
	return c.last
}

// Observe advances the clock to the timestamp of a received message, so that later local events are ordered after it.
func (c *Clock) Observe(stamp Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stamp.Compare(c.last) > 0 {
		c.last = stamp
	}
}

// nextTimestamp returns the first timestamp after last that is not before the wall-clock time.
func nextTimestamp(last Timestamp, wall time.Time) Timestamp {
	wall = wall.Round(0)
	if wall.After(last.Wall) {
		return Timestamp{Wall: wall}
	}
	return Timestamp{Wall: last.Wall, Logical: last.Logical + 1}
}
