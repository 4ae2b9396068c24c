// Package ratelimit bounds what is sent within any span of a given length.
package ratelimit

import "time"

// Window remembers the latest events within a span. It is not safe for concurrent use.
type Window struct {
	// Span is the length of the sliding window.
	Span time.Duration

	at []time.Time
}

// Count returns the number of events within the span before now.
func (w *Window) Count(now time.Time) int {
	first := 0
	for first < len(w.at) && now.Sub(w.at[first]) >= w.Span {
		first++
	}
	w.at = w.at[first:]
	return len(w.at)
}

// Add notes one event.
func (w *Window) Add(now time.Time) {
	w.at = append(w.at, now)
}
