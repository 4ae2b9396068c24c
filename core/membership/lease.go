package membership

import (
	"sync"
	"time"
)

// Term numbers the unbroken spans of an entry's membership lease; a larger one is later.
type Term uint64

// Lease tells whether the entry may act for its availability zone; its zero value is not held. It may be read
// from any goroutine, so that a grant can be checked at the moment it is given.
type Lease struct {
	mu      sync.Mutex
	until   time.Time
	term    Term
	changed chan struct{}
}

// Held returns the present term and whether the lease is held at now. Both the monotonic and the wall clock
// must agree, since the monotonic clock may stop while an instance is paused.
func (l *Lease) Held(now time.Time) (Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.held(now)
}

// Changed returns a channel that is closed when the next term begins.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

// extend keeps the lease until a later time; a new term begins if it had lapsed.
func (l *Lease) extend(now, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !until.After(now) || !until.After(l.until) {
		return
	}
	if !l.held(now) {
		l.term++
		if l.changed != nil {
			close(l.changed)
			l.changed = nil
		}
	}
	l.until = until
}

// held tells whether the lease is held at now; the caller holds the lock.
func (l *Lease) held(now time.Time) bool {
	return now.Before(l.until) && now.Round(0).Before(l.until.Round(0))
}
