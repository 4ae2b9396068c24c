// Package discovery maintains the list of endpoints and retains it through outages of the registry.
package discovery

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// EndpointList applies the endpoints of the registry to the cluster state. Endpoints that disappear from the registry
// during its outage, or shortly after, are retained until they have had time to register again. The fields must be set
// before the first call of a method.
type EndpointList struct {
	// State holds the Endpoints table, which the list writes.
	State *clusterstate.State
	// ReconnectGrace is how long after the end of an outage an endpoint is retained that disappeared during the outage. It
	// is the time within which the registry guarantees that endpoints are registered again.
	ReconnectGrace time.Duration
	// RemovalGrace is how long an endpoint is retained that disappears within ReconnectGrace after an outage: it may not
	// have registered again yet, or may be leaving.
	RemovalGrace time.Duration
	// Log receives messages about endpoints that are listed, change state or are removed.
	Log zerolog.Logger

	mu          sync.Mutex
	unreachable bool
	// outageEndedAt is the end of the last outage; it is zero before the first one ends.
	outageEndedAt time.Time
	// retained holds when the endpoints that have disappeared expire. The zero time means that MarkReachable sets the
	// expiry when the outage ends.
	retained map[fleet.EndpointID]time.Time
}

// Replace replaces the rows of the table by a complete list of the registry. It removes endpoints that are not in the
// list if the registry is stable, and retains them otherwise.
func (l *EndpointList) Replace(listed map[fleet.EndpointID]fleet.Endpoint, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endpoints := maps.Clone(listed)
	for id, endpoint := range l.State.Endpoints.Snapshot().Rows {
		if _, found := listed[id]; found {
			delete(l.retained, id)
			continue
		}
		if l.registryStable(now) {
			l.logRemoved(endpoint)
			continue
		}
		l.retain(id, now)
		endpoints[id] = endpoint
	}
	for id, endpoint := range listed {
		l.logListed(id, endpoint)
	}
	l.State.Endpoints.Replace(endpoints)
}

// Put adds or replaces one endpoint that the registry has listed.
func (l *EndpointList) Put(endpoint fleet.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logListed(endpoint.ID, endpoint)
	delete(l.retained, endpoint.ID)
	l.State.Endpoints.Set(endpoint.ID, endpoint)
}

// Remove removes an endpoint that the registry has removed. If the registry is not stable, it retains the endpoint
// until it expires.
func (l *EndpointList) Remove(id fleet.EndpointID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endpoint, found := l.State.Endpoints.Get(id)
	if !found {
		return
	}
	if !l.registryStable(now) {
		l.retain(id, now)
		return
	}
	l.logRemoved(endpoint)
	l.State.Endpoints.Delete(id)
}

// MarkUnreachable records that the registry cannot be reached, so that endpoints that disappear are retained.
func (l *EndpointList) MarkUnreachable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = true
}

// MarkReachable records that the registry has answered, sets the expiry of the endpoints that disappeared during an
// outage, and removes the retained endpoints that have expired.
func (l *EndpointList) MarkReachable(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		l.unreachable = false
		l.outageEndedAt = now
	}
	for id, expiresAt := range l.retained {
		if expiresAt.IsZero() {
			l.retained[id] = l.outageEndedAt.Add(l.ReconnectGrace)
			continue
		}
		if now.Before(expiresAt) {
			continue
		}
		if endpoint, found := l.State.Endpoints.Get(id); found {
			l.logRemoved(endpoint)
			l.State.Endpoints.Delete(id)
		}
		delete(l.retained, id)
	}
}

// NextExpiry returns the time until the first retained endpoint expires, ReconnectGrace at most; it reports false if
// none is retained.
func (l *EndpointList) NextExpiry(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.retained) == 0 {
		return 0, false
	}
	earliest := l.ReconnectGrace
	for _, expiresAt := range l.retained {
		if !expiresAt.IsZero() {
			earliest = min(earliest, expiresAt.Sub(now))
		}
	}
	return max(0, earliest), true
}

// registryStable reports whether the registry is reachable and no outage ended within ReconnectGrace, so that an
// endpoint that disappears has left; the caller holds the lock.
func (l *EndpointList) registryStable(now time.Time) bool {
	return !l.unreachable && (l.outageEndedAt.IsZero() || now.Sub(l.outageEndedAt) >= l.ReconnectGrace)
}

// retain sets the expiry of an endpoint that has disappeared, unless it is set already; the caller holds the lock.
func (l *EndpointList) retain(id fleet.EndpointID, now time.Time) {
	if _, found := l.retained[id]; found {
		return
	}
	if l.retained == nil {
		l.retained = make(map[fleet.EndpointID]time.Time)
	}
	if l.unreachable {
		// The zero time means that MarkReachable sets the expiry when the outage ends.
		l.retained[id] = time.Time{}
		return
	}
	l.retained[id] = now.Add(l.RemovalGrace)
}

// logListed logs an endpoint that is new or has another incarnation or state; the caller holds the lock.
func (l *EndpointList) logListed(id fleet.EndpointID, endpoint fleet.Endpoint) {
	known, found := l.State.Endpoints.Get(id)
	if found && known.Incarnation == endpoint.Incarnation && known.State == endpoint.State {
		return
	}
	l.Log.Info().
		Str("endpoint", string(id)).
		Str("pool", string(endpoint.Pool)).
		Str("zone", string(endpoint.Zone)).
		Str("state", string(endpoint.State)).
		Uint64("incarnation", uint64(endpoint.Incarnation)).
		Msg("discovery: endpoint listed")
}

// logRemoved logs the removal of an endpoint from the table; retained endpoints are logged once they expire.
func (l *EndpointList) logRemoved(endpoint fleet.Endpoint) {
	l.Log.Info().Str("endpoint", string(endpoint.ID)).Msg("discovery: endpoint removed")
}
