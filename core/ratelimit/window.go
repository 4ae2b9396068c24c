// Package ratelimit bounds what is sent within a sliding second.
package ratelimit

import "time"

// Window remembers when the latest requests were sent. Its zero value is ready to use; it is not safe for concurrent
// use.
type Window struct {
	at []time.Time
}

// Allow notes one request unless it exceeds the rate, in requests a second. A rate below one allows one request in the
// time that it gives for each.
func (w *Window) Allow(rate float64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	span := max(time.Second, time.Duration(float64(time.Second)/rate))
	first := 0
	for first < len(w.at) && now.Sub(w.at[first]) >= span {
		first++
	}
	w.at = w.at[first:]
	if len(w.at) >= max(1, int(rate)) {
		return false
	}
	w.at = append(w.at, now)
	return true
}
