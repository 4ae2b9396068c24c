package soak

import (
	"sync"
	"time"
)

// kind is a kind of request.
type kind string

// The kinds of requests, each with its own route.
const (
	kindSafe   kind = "safe"
	kindOnce   kind = "once"
	kindStream kind = "stream"
)

// attempt is one attempt of a caller, with its outcome and what endpoints received of it.
type attempt struct {
	id      string
	kind    kind
	entry   int
	key     string
	account string
	path    string
	body    string
	// from is the id of the last event that the caller of a stream has already, sent as Last-Event-Id.
	from int

	sentAt  time.Time
	endedAt time.Time
	outcome

	deliveries []delivery
}

// outcome is what a caller received.
type outcome struct {
	// cancelled reports whether the caller cancelled the attempt early.
	cancelled bool
	// status is the HTTP status, or 0 if no response header was received.
	status int
	seal   string
	answer string
	// complete reports whether the body was read to the end according to its HTTP framing.
	complete bool
}

// delivery is one request that reached an endpoint.
type delivery struct {
	at       time.Time
	endpoint string
	// ran reports whether the endpoint started to run it.
	ran     bool
	from    int
	account string
	key     string
	path    string
	body    string
}

// attemptLog holds all attempts by their ids.
type attemptLog struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// unsolicited are requests that reached an endpoint though no caller had sent them.
	unsolicited []delivery
}

// recordSent adds a new attempt.
func (l *attemptLog) recordSent(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = make(map[string]*attempt)
	}
	l.attempts[a.id] = a
}

// recordOutcome records what a caller received and when.
func (l *attemptLog) recordOutcome(a *attempt, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.endedAt, a.outcome = time.Now(), o
}

// recordDelivery records a request that reached an endpoint.
func (l *attemptLog) recordDelivery(id string, s delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, found := l.attempts[id]; found {
		a.deliveries = append(a.deliveries, s)
		return
	}
	l.unsolicited = append(l.unsolicited, s)
}

// span is an interval of time.
type span struct {
	from, to time.Time
}

// overlaps reports whether the span overlaps the time between from and to.
func (s *span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && from.Before(s.to)
}
