package soak

import (
	"sync"
	"time"
)

// kind is a kind of request.
type kind string

// The kinds of requests, each with a route of its own.
const (
	kindSafe   kind = "safe"
	kindOnce   kind = "once"
	kindStream kind = "stream"
)

// attempt is one attempt of a caller, with all that both ends have seen of it.
type attempt struct {
	id      string
	kind    kind
	entry   int
	key     string
	account string
	path    string
	body    string
	// from is the event behind which a stream is wanted.
	from int

	sentAt  time.Time
	endedAt time.Time
	outcome

	runs []sighting
}

// outcome is what a caller got.
type outcome struct {
	// left tells that the caller gave up first.
	left bool
	// status is 0 if no head of an answer came.
	status int
	seal   string
	answer string
	// whole tells that the answer ended as its framing says.
	whole bool
}

// sighting is one request that reached an endpoint.
type sighting struct {
	at       time.Time
	endpoint string
	// ran tells that the endpoint began to work on it.
	ran     bool
	from    int
	account string
	key     string
	path    string
	body    string
}

// ledger holds all attempts by their names.
type ledger struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// strays are requests that reached an endpoint and that no caller has sent.
	strays []sighting
}

// sent notes a new attempt.
func (l *ledger) sent(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = make(map[string]*attempt)
	}
	l.attempts[a.id] = a
}

// ended notes what a caller got.
func (l *ledger) ended(a *attempt, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.endedAt, a.outcome = time.Now(), o
}

// reached notes a request at an endpoint.
func (l *ledger) reached(id string, s sighting) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, found := l.attempts[id]; found {
		a.runs = append(a.runs, s)
		return
	}
	l.strays = append(l.strays, s)
}

// span is a stretch of time.
type span struct {
	from, to time.Time
}

// overlaps tells whether two stretches share a moment.
func (s *span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && from.Before(s.to)
}
