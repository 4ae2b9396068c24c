package soak

import (
	"sync"
	"time"
)

// kind selects the route that a request is sent to.
type kind string

// The kinds of requests, each with its own route.
const (
	kindSafe   kind = "safe"
	kindOnce   kind = "once"
	kindStream kind = "stream"
)

// attempt is one request of a caller, with its outcome and its deliveries to endpoints.
type attempt struct {
	id      string
	kind    kind
	entry   int
	key     string
	account string
	path    string
	body    string
	// from is the id of the last event that the caller of a stream already has, sent as Last-Event-Id; 0 means none.
	from int
	// parts holds the shared parts of the prompt of a stream.
	parts string

	sentAt  time.Time
	endedAt time.Time
	outcome

	deliveries []delivery
}

// outcome is what a caller received.
type outcome struct {
	// cancelled reports whether the caller canceled the attempt early.
	cancelled bool
	// status is the HTTP status, or 0 if no response header was received.
	status int
	// seal is the header X-Response-Seal.
	seal string
	// answer is the body, as far as it was received.
	answer string
	// complete reports whether the body was read to the end according to its HTTP framing.
	complete bool
}

// delivery is one request that reached an endpoint.
type delivery struct {
	at       time.Time
	endpoint string
	// ran reports whether the endpoint started to run it.
	ran bool
	// from is the received Last-Event-Id, or 0.
	from int
	// account and key are the received headers X-Tenant and X-Credential.
	account string
	key     string
	path    string
	body    string
}

// attemptLog holds all attempts by their ids.
type attemptLog struct {
	// mu guards the fields below and the outcomes and deliveries of the attempts.
	mu       sync.Mutex
	attempts map[string]*attempt
	// unsolicited are requests that reached an endpoint though no caller had sent them.
	unsolicited []delivery
}

// recordSent adds an attempt to the log; it must be called before the attempt can reach an endpoint.
func (l *attemptLog) recordSent(a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.attempts == nil {
		l.attempts = make(map[string]*attempt)
	}
	l.attempts[a.id] = a
}

// recordOutcome records what a caller received, with the current time as the end of the attempt.
func (l *attemptLog) recordOutcome(a *attempt, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.endedAt, a.outcome = time.Now(), o
}

// recordDelivery records a request that reached an endpoint; it is unsolicited if no attempt has the id.
func (l *attemptLog) recordDelivery(id string, s delivery) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, found := l.attempts[id]; found {
		a.deliveries = append(a.deliveries, s)
		return
	}
	l.unsolicited = append(l.unsolicited, s)
}

// span is a time during which a part of the system was disturbed, such as an entry or the store.
type span struct {
	from, to time.Time
}

// overlaps reports whether the span overlaps the time between from and to.
func (s *span) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && from.Before(s.to)
}
