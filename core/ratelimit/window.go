// Package ratelimit limits the requests within a sliding window: one second, or longer for rates below one per second.
package ratelimit

import "time"

// maxInterval bounds the time between two requests of the lowest rates.
const maxInterval = time.Hour

// Window holds the times of the latest allowed requests. Its zero value is ready to use; it is not safe for concurrent
// use.
type Window struct {
	allowedAt []time.Time
}

// NewWindow returns a window for one of many senders that share a rate and may begin at the same time. If its own rate is
// below one request per second, its first request is allowed after a part of the time between two requests, in [0, 1).
func NewWindow(rate, phase float64, now time.Time) *Window {
	if rate <= 0 || rate >= 1 {
		return &Window{}
	}
	return &Window{allowedAt: []time.Time{now.Add(-Elapsed(rate, phase))}}
}

// Elapsed returns how long before its begin a sender would have sent a request, so that the next one is due after the part
// phase of the time between two.
func Elapsed(rate, phase float64) time.Duration {
	return time.Duration((1 - phase) * float64(Interval(rate)))
}

// Allow reports whether a request at time now is within the rate, in requests per second, and records it if so. The
// fractional part of a rate above one is ignored. A rate below one allows one request per 1/rate seconds; a rate of
// zero or less allows none.
func (w *Window) Allow(rate float64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	interval := Interval(rate)
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

// Interval returns the length of the window of a positive rate: one second, or the time between two requests of a rate
// below one.
func Interval(rate float64) time.Duration {
	return time.Duration(max(1, min(1/rate, maxInterval.Seconds())) * float64(time.Second))
}
