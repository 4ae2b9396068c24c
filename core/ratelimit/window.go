// Package ratelimit limits the requests within a sliding window of one second.
package ratelimit

import "time"

// Window holds the times of the latest requests. Its zero value is ready to use; it is not safe for concurrent use.
type Window struct {
	sentAt []time.Time
}

// Allow reports whether a request at time now is within the rate, in requests per second, and records it if so. A rate
// below one allows one request per 1/rate seconds; a rate of zero or less allows none.
func (w *Window) Allow(rate float64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	interval := max(time.Second, time.Duration(float64(time.Second)/rate))
	expired := 0
	for expired < len(w.sentAt) && now.Sub(w.sentAt[expired]) >= interval {
		expired++
	}
	w.sentAt = w.sentAt[expired:]
	if len(w.sentAt) >= max(1, int(rate)) {
		return false
	}
	w.sentAt = append(w.sentAt, now)
	return true
}
