// Package discovery maintains the list of endpoints and retains it through outages of the registry.
package discovery

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// retention is that of an endpoint that has disappeared from the registry.
type retention struct {
	// expiresAt is its end.
	expiresAt time.Time
	// source is that of the disappearance, which became known at since.
	source Source
	since  time.Time
}

// doubtedEndpoint is an endpoint that a restored registry lists although it was not in the table before.
type doubtedEndpoint struct {
	endpoint fleet.Endpoint
	// listedFrom is the time from which the endpoint counts as listed.
	listedFrom time.Time
}

// outageTolerance is the difference up to which two ends of an outage are taken for the same, since the time is converted
// between clocks at each answer.
const outageTolerance = 50 * time.Millisecond

// metricDepartureDelay times how late this entry learns that an endpoint leaves or was removed: from the store's answer that
// held it, to this entry or another one, until it is in the list.
const metricDepartureDelay = "discovery.departure_delay"

// Source is where what is known of an endpoint came from, for the log and the metrics.
type Source struct {
	// Version is the version of the store at the change, or 0 if it is not known.
	Version int64
	// StoreTime is the time of the store's first answer with the change, on the store's clock.
	StoreTime time.Duration
	// Age is the time since that answer arrived at the entry that asked the store.
	Age time.Duration
	// Via is the entry through which this one learned of the change, or "" for the store.
	Via fleet.EntryID
}

// log adds the source to a line of the log.
func (s Source) log(line *zerolog.Event) *zerolog.Event {
	return line.Int64("store_version", s.Version).Dur("store_time_ms", s.StoreTime).Dur("age_ms", s.Age).Str("via", string(s.Via))
}

// EndpointList applies the endpoints of the registry to the cluster state. Endpoints that disappear from the registry
// during its outage, or shortly after, are retained until they have had time to register again. An endpoint that is
// known to leave remains so until the registry lists a later incarnation, whatever it lists before. The fields must be
// set before the first call of a method.
type EndpointList struct {
	// State holds the Endpoints table, which the list writes.
	State *clusterstate.State
	// ReconnectGrace is how long after the end of an outage an endpoint is retained that disappeared during the outage. It
	// is the time within which the registry guarantees that endpoints are registered again.
	ReconnectGrace time.Duration
	// LapseTime is the time after which the registry removes an endpoint that is silent.
	LapseTime time.Duration
	// RemovalGrace is how long an endpoint is retained that disappears within ReconnectGrace after an outage: it may not
	// have registered again yet, or may be leaving.
	RemovalGrace time.Duration
	// Metrics receives how late departures become known; nil disables that.
	Metrics metrics.Registry
	// Log receives messages about endpoints that are listed, change state or are removed.
	Log zerolog.Logger

	mu sync.Mutex
	// outageEndedAt is the end of the last outage; it is zero before the first one ends. firstAnswer reports whether the rows
	// that are applied are those of the first answer after it.
	outageEndedAt time.Time
	firstAnswer   bool
	retained      map[fleet.EndpointID]retention
	departures    departures
	// doubted holds the endpoints that a restored registry lists although they were not in the table before, with the time
	// from which they count as listed.
	doubted map[fleet.EndpointID]doubtedEndpoint
}

// Replace replaces the rows of the table by a complete list of the registry. It removes endpoints that are not in the
// list if the registry is stable, and retains them otherwise.
func (l *EndpointList) Replace(listed map[fleet.EndpointID]fleet.Endpoint, source Source, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(listed, source, now)
}

// Restore replaces the rows of the table by a complete list of a registry that came back from a copy some seconds old.
// Endpoints that the copy lacks are retained for ReconnectGrace, so that they can register again. Endpoints that are in the
// copy but not in the table were removed after the copy, even if this entry never knew them. They are left out for
// LapseTime: by then, the registry has removed them again unless they live.
func (l *EndpointList) Restore(listed map[fleet.EndpointID]fleet.Endpoint, source Source, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.firstAnswer || now.Sub(l.outageEndedAt) >= l.ReconnectGrace {
		l.outageEndedAt, l.firstAnswer = now, true
	}
	l.doubted = make(map[fleet.EndpointID]doubtedEndpoint)
	believed := make(map[fleet.EndpointID]fleet.Endpoint, len(listed))
	for id, endpoint := range listed {
		_, known := l.State.Endpoints.Get(id)
		if !known && !l.departures.restarted(endpoint) {
			l.doubted[id] = doubtedEndpoint{endpoint: endpoint, listedFrom: l.outageEndedAt.Add(l.LapseTime)}
			l.Log.Info().Str("endpoint", string(id)).Uint64("incarnation", uint64(endpoint.Incarnation)).
				Msg("discovery: restored registry lists a removed endpoint; leaving it out")
			continue
		}
		believed[id] = endpoint
	}
	l.replace(believed, source, now)
}

// replace replaces the rows of the table by listed. It retains endpoints that are not in the list if the registry is not
// stable; the caller holds the lock.
func (l *EndpointList) replace(listed map[fleet.EndpointID]fleet.Endpoint, source Source, now time.Time) {
	endpoints := make(map[fleet.EndpointID]fleet.Endpoint, len(listed))
	for id, endpoint := range listed {
		endpoints[id] = l.departures.apply(endpoint, now)
	}
	for id, endpoint := range l.State.Endpoints.Snapshot().Rows {
		if _, found := listed[id]; found {
			delete(l.retained, id)
			continue
		}
		if l.registryStable(now) {
			l.recordRemoval(endpoint, source, now)
			continue
		}
		l.retain(id, source, now)
		endpoints[id] = endpoint
	}
	for id, endpoint := range endpoints {
		l.logListed(id, endpoint, source)
	}
	l.State.Endpoints.Replace(endpoints)
}

// Put adds or replaces one endpoint that the registry has listed.
func (l *EndpointList) Put(endpoint fleet.Endpoint, source Source, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	endpoint = l.departures.apply(endpoint, now)
	l.logListed(endpoint.ID, endpoint, source)
	delete(l.doubted, endpoint.ID)
	delete(l.retained, endpoint.ID)
	l.State.Endpoints.Set(endpoint.ID, endpoint)
}

// Remove removes an endpoint that the registry has removed. If the registry is not stable, it retains the endpoint
// until it expires.
func (l *EndpointList) Remove(id fleet.EndpointID, source Source, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.doubted, id)
	endpoint, found := l.State.Endpoints.Get(id)
	if !found {
		return
	}
	if !l.registryStable(now) {
		l.retain(id, source, now)
		return
	}
	l.recordRemoval(endpoint, source, now)
	l.State.Endpoints.Delete(id)
}

// MarkLeaving records that an incarnation of an endpoint has announced in a response that it leaves: to this entry if
// own is set, else to another one.
//
// Load pattern: a rack of endpoints is emptied while the store is away, so that only their responses tell. Nothing more
// is placed on them from the first such response on, well before their drain time is over.
func (l *EndpointList) MarkLeaving(id fleet.EndpointID, incarnation fleet.Incarnation, own bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.departures.announce(id, incarnation, own, now) {
		return
	}
	l.Log.Info().Str("endpoint", string(id)).Uint64("incarnation", uint64(incarnation)).Bool("own_response", own).
		Msg("discovery: endpoint announced that it leaves")
	endpoint, listed := l.State.Endpoints.Get(id)
	if listed && endpoint.State != fleet.StateLeaving && endpoint.Incarnation <= incarnation {
		endpoint.State = fleet.StateLeaving
		l.State.Endpoints.Set(id, endpoint)
	}
}

// Announced returns the incarnations of the endpoints that recently announced to this entry that they leave.
func (l *EndpointList) Announced(now time.Time) map[fleet.EndpointID]fleet.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.departures.announced(now)
}

// RecordOutage records the end of an outage of the registry, as far as any entry knows it. It is called before the rows of
// each answer are applied; an earlier end than the one that is known has no effect.
func (l *EndpointList) RecordOutage(endedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if endedAt.Sub(l.outageEndedAt) > outageTolerance {
		l.outageEndedAt, l.firstAnswer = endedAt, true
	}
}

// DropExpired removes the retained endpoints that have expired. It is called after the rows of each answer were applied.
func (l *EndpointList) DropExpired(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstAnswer = false
	for id, r := range l.retained {
		if now.Before(r.expiresAt) {
			continue
		}
		if endpoint, found := l.State.Endpoints.Get(id); found {
			r.source.Age += now.Sub(r.since)
			l.recordRemoval(endpoint, r.source, now)
			l.State.Endpoints.Delete(id)
		}
		delete(l.retained, id)
	}
	l.listDoubted(now)
	l.departures.dropOld(now)
}

// listDoubted lists the doubted endpoints that the registry still lists after LapseTime; the caller holds the lock.
func (l *EndpointList) listDoubted(now time.Time) {
	for id, d := range l.doubted {
		if now.Before(d.listedFrom) {
			continue
		}
		delete(l.doubted, id)
		endpoint := l.departures.apply(d.endpoint, now)
		l.logListed(id, endpoint, Source{})
		l.State.Endpoints.Set(id, endpoint)
	}
}

// NextExpiry returns the time until the first retained endpoint expires, ReconnectGrace at most, or until the first
// doubted one is listed; it reports false if there is neither.
func (l *EndpointList) NextExpiry(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.retained) == 0 && len(l.doubted) == 0 {
		return 0, false
	}
	earliest := max(l.ReconnectGrace, l.LapseTime)
	if len(l.retained) > 0 {
		earliest = l.ReconnectGrace
	}
	for _, d := range l.doubted {
		earliest = min(earliest, d.listedFrom.Sub(now))
	}
	for _, r := range l.retained {
		earliest = min(earliest, r.expiresAt.Sub(now))
	}
	return max(0, earliest), true
}

// registryStable reports whether no outage of the registry ended within ReconnectGrace, so that an endpoint that disappears
// has left; the caller holds the lock.
func (l *EndpointList) registryStable(now time.Time) bool {
	return l.outageEndedAt.IsZero() || now.Sub(l.outageEndedAt) >= l.ReconnectGrace
}

// retain sets the expiry of an endpoint that has disappeared, unless it is set already: ReconnectGrace after the outage if
// it may have lapsed in it, else RemovalGrace. The caller holds the lock.
func (l *EndpointList) retain(id fleet.EndpointID, source Source, now time.Time) {
	if _, found := l.retained[id]; found {
		return
	}
	if l.retained == nil {
		l.retained = make(map[fleet.EndpointID]retention)
	}
	expiresAt := now.Add(l.RemovalGrace)
	if l.firstAnswer {
		expiresAt = l.outageEndedAt.Add(l.ReconnectGrace)
	}
	l.retained[id] = retention{expiresAt: expiresAt, source: source, since: now}
	source.log(l.Log.Info()).Str("endpoint", string(id)).Dur("held_ms", expiresAt.Sub(now)).
		Msg("discovery: removed endpoint retained, since the registry may have lost it in an outage")
}

// logListed logs an endpoint that is new or has another incarnation or state; the caller holds the lock.
func (l *EndpointList) logListed(id fleet.EndpointID, endpoint fleet.Endpoint, source Source) {
	known, found := l.State.Endpoints.Get(id)
	if found && known.Incarnation == endpoint.Incarnation && known.State == endpoint.State {
		return
	}
	if found && endpoint.State == fleet.StateLeaving && known.State != fleet.StateLeaving {
		l.recordDelay(source)
	}
	source.log(l.Log.Info()).
		Str("endpoint", string(id)).
		Str("pool", string(endpoint.Pool)).
		Str("zone", string(endpoint.Zone)).
		Str("state", string(endpoint.State)).
		Uint64("incarnation", uint64(endpoint.Incarnation)).
		Msg("discovery: endpoint listed")
}

// recordRemoval remembers and logs that an endpoint was removed from the table; the caller holds the lock.
func (l *EndpointList) recordRemoval(endpoint fleet.Endpoint, source Source, now time.Time) {
	l.departures.remove(endpoint, now)
	if endpoint.State != fleet.StateLeaving {
		l.recordDelay(source)
	}
	source.log(l.Log.Info()).Str("endpoint", string(endpoint.ID)).Msg("discovery: endpoint removed")
}

// recordDelay adds how late a departure became known to the metrics.
func (l *EndpointList) recordDelay(source Source) {
	if l.Metrics != nil {
		metrics.GetOrRegisterTimer(metricDepartureDelay, l.Metrics).Update(source.Age)
	}
}
