package ratelimit

import (
	"maps"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

// ownTTL is how long an entry reports what an endpoint stated to it. Endpoints in use state it anew with each response.
const ownTTL = 5 * time.Second

// Statement is what an incarnation of an endpoint said of its limit.
type Statement struct {
	// Incarnation is the incarnation of the endpoint.
	Incarnation fleet.Incarnation
	// PerSecond is the number of requests per second that the endpoint takes from all entries; 0 means that there is no
	// limit.
	PerSecond float64
	// At is a time at which the statement held or after which it was made: when the response that states a limit arrived,
	// or when the request was sent whose response states none.
	At time.Time
}

// later reports whether the statement replaces another one. A response that states no limit thus doesn't replace a limit
// that was stated while the request was on its way, however late it is read.
func (s Statement) later(known Statement) bool {
	if s.Incarnation != known.Incarnation {
		return s.Incarnation > known.Incarnation
	}
	return s.At.After(known.At)
}

// Limits tracks the limits that endpoints state. Its fields must be set before use; it is safe for concurrent use.
type Limits struct {
	// Listed reports whether an endpoint is listed; statements of others are dropped.
	Listed func(id fleet.EndpointID) bool

	mu    sync.Mutex
	known map[fleet.EndpointID]Statement
	// ownAt holds when an endpoint last made the known statement to this entry.
	ownAt map[fleet.EndpointID]time.Time
}

// Record records a statement that an endpoint made to this entry at now. It reports whether the limit changed.
func (l *Limits) Record(id fleet.EndpointID, statement Statement, now time.Time) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.known[id]
	if !l.merge(id, statement) {
		return false
	}
	l.ownAt[id] = now
	return before.Incarnation != statement.Incarnation || before.PerSecond != statement.PerSecond
}

// Merge applies a statement that another entry knows.
func (l *Limits) Merge(id fleet.EndpointID, statement Statement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge(id, statement)
}

// merge applies a statement if it replaces the known one and reports whether it did. That an endpoint has no limit
// matters only after a limit of the same incarnation. The caller holds the lock.
func (l *Limits) merge(id fleet.EndpointID, statement Statement) bool {
	known, found := l.known[id]
	switch {
	case found && !statement.later(known):
		return false
	case statement.PerSecond <= 0 && (!found || known.Incarnation != statement.Incarnation):
		return false
	case !found:
		l.dropUnlisted()
	}
	if l.known == nil {
		l.known = make(map[fleet.EndpointID]Statement)
		l.ownAt = make(map[fleet.EndpointID]time.Time)
	}
	l.known[id] = statement
	return true
}

// dropUnlisted drops the statements of endpoints that are no longer listed; the caller holds the lock.
func (l *Limits) dropUnlisted() {
	maps.DeleteFunc(l.known, func(id fleet.EndpointID, _ Statement) bool { return !l.Listed(id) })
	maps.DeleteFunc(l.ownAt, func(id fleet.EndpointID, _ time.Time) bool { return !l.Listed(id) })
}

// Limit returns the requests per second that an endpoint takes from all entries; it reports false if it states no limit.
func (l *Limits) Limit(endpoint fleet.Endpoint) (perSecond float64, limited bool) {
	statement, found := l.Known(endpoint.ID)
	limited = found && statement.PerSecond > 0 && statement.Incarnation >= endpoint.Incarnation
	return statement.PerSecond, limited
}

// Known returns the latest statement of an endpoint, and whether there is one.
func (l *Limits) Known(id fleet.EndpointID) (Statement, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	statement, found := l.known[id]
	return statement, found
}

// Own returns the statements that endpoints made to this entry within ownTTL.
func (l *Limits) Own(now time.Time) map[fleet.EndpointID]Statement {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := make(map[fleet.EndpointID]Statement)
	for id, at := range l.ownAt {
		if now.Sub(at) > ownTTL {
			delete(l.ownAt, id)
			continue
		}
		own[id] = l.known[id]
	}
	return own
}
