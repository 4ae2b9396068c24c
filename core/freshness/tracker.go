// Package freshness tracks how long ago the current configuration was confirmed to be the newest one.
package freshness

import (
	"sync"
	"time"
)

// Tracker holds the time of the latest request to the platform's store, its own or another entry's, that confirmed the
// current configuration to be the newest.
type Tracker struct {
	// Clock returns a monotonic time that advances while the instance is suspended.
	Clock func() time.Duration

	mu          sync.Mutex
	confirmed   bool
	confirmedAt time.Duration
}

// Now returns the time of Clock, to be passed to Confirm after the answer.
func (e *Tracker) Now() time.Duration {
	return e.Clock()
}

// Confirm records that the current configuration contains every change accepted before the request, which was sent at
// asked.
func (e *Tracker) Confirm(asked time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.confirmed || asked > e.confirmedAt {
		e.confirmed, e.confirmedAt = true, asked
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
