// Package retry bounds what is run again: by a budget, and by what is known of requests that crash endpoints.
package retry

import "sync"

// Budget lets retries be a bounded share of requests; a failing fleet then sees little more than its first load.
type Budget struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Burst is the number of retries that can be saved up.
	Burst float64
	// EntryCount returns the number of entries that share Burst; nil stands for one.
	EntryCount func() int

	mu    sync.Mutex
	spent float64
}

// AddRequest counts one request.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// TryRetry takes one retry from the budget, if it holds one.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.Burst
	if b.EntryCount != nil {
		burst /= float64(max(1, b.EntryCount()))
	}
	if b.spent+1 > max(1, burst) {
		return false
	}
	b.spent++
	return true
}
