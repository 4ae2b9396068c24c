package membership

import (
	"sync"
	"time"
)

// Term numbers the periods during which an entry holds its membership lease without interruption. It only increases.
type Term uint64

// Lease is the membership lease of an entry, without which it may not act for its availability zone. The zero value is
// not held. It is safe for concurrent use, so that it can be checked when a reservation is granted.
type Lease struct {
	mu        sync.Mutex
	expiresAt time.Time
	term      Term
	changed   chan struct{}
}

// Held returns the current term and reports whether the lease is held at now. The lease must be unexpired by both the
// monotonic and the wall clock, since the monotonic clock may stop while an instance is paused.
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

// extend moves the expiry to the time until. It does nothing unless that is after both now and the current expiry. A
// new term begins if the lease was not held at now.
func (l *Lease) extend(now, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !until.After(now) || !until.After(l.expiresAt) {
		return
	}
	if !l.held(now) {
		l.term++
		if l.changed != nil {
			close(l.changed)
			l.changed = nil
		}
	}
	l.expiresAt = until
}

// held reports whether the lease is held at now; the caller holds the lock.
func (l *Lease) held(now time.Time) bool {
	return now.Before(l.expiresAt) && now.Round(0).Before(l.expiresAt.Round(0))
}
