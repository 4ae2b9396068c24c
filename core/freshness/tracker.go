// Package freshness tracks how long ago the current configuration was confirmed to be the newest one.
package freshness

import (
	"sync"
	"time"
)

// Tracker holds the time of the latest request to the platform's store, by this or another entry, that confirmed the
// current configuration to be the newest. It is safe for concurrent use.
type Tracker struct {
	// Clock returns a monotonic time, from any start, that advances while the instance is suspended.
	Clock func() time.Duration

	mu          sync.Mutex
	confirmed   bool
	confirmedAt time.Duration
}

// Now returns the time of Clock. Callers read it before they send a request and pass it to Confirm after the
// answer.
func (e *Tracker) Now() time.Duration {
	return e.Clock()
}

// Confirm records that the current configuration contains every change accepted before requestedAt, the time at which
// the confirming request was sent. An earlier time than the latest confirmation has no effect.
func (e *Tracker) Confirm(requestedAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.confirmed || requestedAt > e.confirmedAt {
		e.confirmed, e.confirmedAt = true, requestedAt
	}
}

// Age returns the time since the latest confirmation; it reports false if there is none.
func (e *Tracker) Age() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock() - e.confirmedAt, e.confirmed
}

// Within reports whether the latest confirmation is at most limit old.
func (e *Tracker) Within(limit time.Duration) bool {
	age, confirmed := e.Age()
	return confirmed && age <= limit
}
