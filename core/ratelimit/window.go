// Package ratelimit limits the requests within a sliding window: one second, or longer for rates below one per second.
package ratelimit

import "time"

// Window holds the times of the latest allowed requests. Its zero value is ready to use; it is not safe for concurrent
// use.
type Window struct {
	allowedAt []time.Time
}

// Allow reports whether a request at time now is within the rate, in requests per second, and records it if so. The
// fractional part of a rate above one is ignored. A rate below one allows one request per 1/rate seconds; a rate of
// zero or less allows none.
func (w *Window) Allow(rate float64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	interval := max(time.Second, time.Duration(float64(time.Second)/rate))
	expired := 0
	for expired < len(w.allowedAt) && now.Sub(w.allowedAt[expired]) >= interval {
		expired++
	}
	w.allowedAt = w.allowedAt[expired:]
	if len(w.allowedAt) >= max(1, int(rate)) {
		return false
	}
	w.allowedAt = append(w.allowedAt, now)
	return true
}
