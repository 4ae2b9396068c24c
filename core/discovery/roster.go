// Package discovery keeps the list of endpoints over outages of the registry that it comes from.
package discovery

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// EndpointList writes the endpoints of the blackboard. Entries that vanish while the registry is away, or shortly after, are
// kept until their endpoints have had time to register again. Its fields are set before the first change.
type EndpointList struct {
	// State takes the endpoints.
	State *clusterstate.State
	// ReconnectGrace is how long after the registry's return an entry is kept that vanished meanwhile; it comes from the
	// registry's own promise on how soon entries are back.
	ReconnectGrace time.Duration
	// RemovalGrace is how long an entry is kept that vanishes within Grace after the return: its endpoint may not have
	// registered again yet, or may be leaving.
	RemovalGrace time.Duration
	// Log takes messages about endpoints that come, leave and go.
	Log zerolog.Logger

	mu       sync.Mutex
	away     bool
	returned time.Time
	vanished map[fleet.EndpointID]time.Time
}

// Replace takes the whole list.
func (r *EndpointList) Replace(listed map[fleet.EndpointID]fleet.Endpoint, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rows := maps.Clone(listed)
	for id, endpoint := range r.State.Endpoints.Snapshot().Rows {
		if _, found := listed[id]; found {
			delete(r.vanished, id)
			continue
		}
		if r.settled(now) {
			r.gone(endpoint)
			continue
		}
		r.keep(id, now)
		rows[id] = endpoint
	}
	for id, endpoint := range listed {
		r.seen(id, endpoint)
	}
	r.State.Endpoints.Replace(rows)
}

// Put takes one entry that is new or has changed.
func (r *EndpointList) Put(endpoint fleet.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen(endpoint.ID, endpoint)
	delete(r.vanished, endpoint.ID)
	r.State.Endpoints.Set(endpoint.ID, endpoint)
}

// Remove takes away one entry.
func (r *EndpointList) Remove(id fleet.EndpointID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoint, found := r.State.Endpoints.Get(id)
	if !found {
		return
	}
	if !r.settled(now) {
		r.keep(id, now)
		return
	}
	r.gone(endpoint)
	r.State.Endpoints.Delete(id)
}

// MarkUnreachable notes that the registry can't be reached.
func (r *EndpointList) MarkUnreachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = true
}

// MarkReachable notes that the registry has answered, and drops the entries that are not back in time.
func (r *EndpointList) MarkReachable(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.away {
		r.away = false
		r.returned = now
	}
	for id, until := range r.vanished {
		if until.IsZero() {
			r.vanished[id] = r.returned.Add(r.ReconnectGrace)
			continue
		}
		if now.Before(until) {
			continue
		}
		if endpoint, found := r.State.Endpoints.Get(id); found {
			r.gone(endpoint)
			r.State.Endpoints.Delete(id)
		}
		delete(r.vanished, id)
	}
}

// NextExpiry returns the time until the first of the entries that have vanished is to be dropped; it reports false if none
// is kept.
func (r *EndpointList) NextExpiry(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.vanished) == 0 {
		return 0, false
	}
	first := r.ReconnectGrace
	for _, until := range r.vanished {
		if !until.IsZero() {
			first = min(first, until.Sub(now))
		}
	}
	return max(0, first), true
}

// settled tells whether an entry that vanishes means that its endpoint has left; the caller holds the lock.
func (r *EndpointList) settled(now time.Time) bool {
	return !r.away && (r.returned.IsZero() || now.Sub(r.returned) >= r.ReconnectGrace)
}

// keep holds an entry that has vanished; the caller holds the lock.
func (r *EndpointList) keep(id fleet.EndpointID, now time.Time) {
	if _, found := r.vanished[id]; found {
		return
	}
	if r.vanished == nil {
		r.vanished = make(map[fleet.EndpointID]time.Time)
	}
	if r.away {
		// The time runs from the registry's return, which Reached notes.
		r.vanished[id] = time.Time{}
		return
	}
	r.vanished[id] = now.Add(r.RemovalGrace)
}

// seen logs an entry that is new, lives anew or leaves; the caller holds the lock.
func (r *EndpointList) seen(id fleet.EndpointID, endpoint fleet.Endpoint) {
	known, found := r.State.Endpoints.Get(id)
	if found && known.Incarnation == endpoint.Incarnation && known.State == endpoint.State {
		return
	}
	r.Log.Info().
		Str("endpoint", string(id)).
		Str("pool", string(endpoint.Pool)).
		Str("zone", string(endpoint.Zone)).
		Str("state", string(endpoint.State)).
		Uint64("incarnation", uint64(endpoint.Incarnation)).
		Msg("roster: endpoint listed")
}

// gone logs an entry that is dropped.
func (r *EndpointList) gone(endpoint fleet.Endpoint) {
	r.Log.Info().Str("endpoint", string(endpoint.ID)).Msg("roster: endpoint gone")
}
