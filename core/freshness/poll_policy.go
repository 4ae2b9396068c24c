package freshness

import "time"

const (
	// shortWait is the longest wait of a poll by an entry with dependents, or with a stale confirmation. The age that
	// such an entry reports is up to twice this wait, since it counts from the start of the previous poll.
	shortWait = 500 * time.Millisecond
	// longWait is the longest wait of a poll by any other entry; a change ends the wait at once.
	longWait = 10 * time.Second
	// shortRetryDelay and longRetryDelay are the mean delays between polls while the store does not answer: the short one
	// for entries that use shortWait, the long one for all others.
	shortRetryDelay = 400 * time.Millisecond
	longRetryDelay  = 1200 * time.Millisecond
	// staleAge is the age of the latest confirmation beyond which an entry polls at once. A healthy entry with
	// dependents has reported a newer confirmation by then, and a failed call of the store still fits into the time for
	// which a revoked key may be accepted.
	staleAge = 2400 * time.Millisecond
)

// PollPolicy decides how long an entry lets the store hold its long poll for a newer configuration. The limits on store
// calls apply to all entries together. Therefore only entries with dependents poll often, and the others receive
// freshness from them.
type PollPolicy struct {
	// Tracker is the tracker of this entry.
	Tracker *Tracker
	// MaxShortWait bounds the wait of a poll by an entry with dependents further than shortWait; 0 means that it doesn't.
	MaxShortWait time.Duration
	// HasDependents reports whether other entries rely on this one's freshness.
	HasDependents func() bool
}

// MaxWait returns the longest time for which the store may hold the next poll.
func (p *PollPolicy) MaxWait() time.Duration {
	switch {
	case !p.HasDependents() && !p.Stale():
		return longWait
	case p.MaxShortWait > 0:
		return min(shortWait, p.MaxShortWait)
	}
	return shortWait
}

// RetryDelay returns the mean delay between polls while the store does not answer.
func (p *PollPolicy) RetryDelay() time.Duration {
	if p.HasDependents() || p.Stale() {
		return shortRetryDelay
	}
	return longRetryDelay
}

// Stale reports whether the latest confirmation is older than staleAge, or there is none, so that this entry has to
// poll at once.
func (p *PollPolicy) Stale() bool {
	return !p.Tracker.Within(staleAge)
}
