// Package freshness tracks how long ago the configuration in force was surely the newest one.
package freshness

import (
	"sync"
	"time"
)

// Tracker holds the latest moment at which the platform's store was asked and told all that had changed.
type Tracker struct {
	// Clock returns a steady time that goes on while the instance is suspended.
	Clock func() time.Duration

	mu    sync.Mutex
	known bool
	at    time.Duration
}

// Now returns the time of the evidence's clock, to be passed to Confirm once an answer has come.
func (e *Tracker) Now() time.Duration {
	return e.Clock()
}

// Confirm notes that everything accepted before the moment at which the store was asked is in force.
func (e *Tracker) Confirm(asked time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || asked > e.at {
		e.known, e.at = true, asked
	}
}

// Age returns how old the evidence is; it reports false if there is none.
func (e *Tracker) Age() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Clock() - e.at, e.known
}

// Within tells whether the evidence is at most as old as limit.
func (e *Tracker) Within(limit time.Duration) bool {
	age, known := e.Age()
	return known && age <= limit
}
