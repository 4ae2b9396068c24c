package freshness

import "time"

const (
	// shortWait is how long a witness lets the store hold a question back. What it testifies is up to twice as old, since
	// it counts from the question before.
	shortWait = 800 * time.Millisecond
	// longWait is how long the other entries do; a change ends the wait at once.
	longWait = 10 * time.Second
	// shortRetry and longRetry are the mean pauses between calls while the store gives no answer, of those that have to ask
	// by themselves and of those to which others tell that nothing has changed.
	shortRetry = 400 * time.Millisecond
	longRetry  = 1200 * time.Millisecond
	// staleAge is the age of the evidence from which on an entry asks by itself: a witness that is well has told of a newer
	// one by then, and a failed call of the store still fits into the time for which a removed key may be accepted.
	staleAge = 2400 * time.Millisecond
)

// PollPolicy decides how long an entry lets the store hold back its question for a newer configuration. Calls of the store
// are paid for by all entries, so that only witnesses ask often; the others learn from them that nothing has changed.
type PollPolicy struct {
	// Tracker is that of this entry.
	Tracker *Tracker
	// HasDependents tells whether other entries rely on what this one testifies.
	HasDependents func() bool
}

// MaxWait returns how long the store may hold the next question back.
func (p *PollPolicy) MaxWait() time.Duration {
	if p.HasDependents() || p.Stale() {
		return shortWait
	}
	return longWait
}

// RetryDelay returns the mean pause between calls while the store gives no answer.
func (p *PollPolicy) RetryDelay() time.Duration {
	if p.HasDependents() || p.Stale() {
		return shortRetry
	}
	return longRetry
}

// Stale tells that no witness has been heard of for too long, so that this entry has to ask by itself at once.
func (p *PollPolicy) Stale() bool {
	return !p.Tracker.Within(staleAge)
}
