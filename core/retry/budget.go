// Package retry limits retries by a budget, and records the requests that may crash endpoints, so that they can be
// isolated, quarantined or cleared.
package retry

import "sync"

// Budget limits retries to a share of all requests, so that retries add little to the load of a failing fleet. It is
// safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the number of retries that can accumulate across all entries. Each entry can accumulate its equal share,
	// and at least one.
	Burst float64
	// EntryCount returns the number of entries that share Burst, or 0 if it is not known yet; nil means one.
	EntryCount func() int

	mu sync.Mutex
	// spent is the number of retries that were allowed and not yet earned back by requests; it is never negative.
	spent float64
}

// AddRequest counts a request, which adds Ratio retries to the budget.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// TryRetry reports whether the budget allows a retry, and charges it if so.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entries := 1
	if b.EntryCount != nil {
		entries = b.EntryCount()
	}
	if b.spent+1 > Capacity(b.Burst, entries) {
		return false
	}
	b.spent++
	return true
}

// Capacity returns the number of retries that can accumulate at each of the given number of entries: one if that is not
// known, so that entries that start at the same time don't each use the whole burst.
func Capacity(burst float64, entries int) float64 {
	if entries <= 0 {
		return 1
	}
	return max(1, burst/float64(entries))
}
