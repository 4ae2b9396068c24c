package outlier

import (
	"cmp"
	"maps"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// correlationTime is the time within which minCorrelatedLosses endpoints of one zone must be lost to make the others of
	// the zone suspect.
	correlationTime = 300 * time.Millisecond
	// minCorrelatedLosses is more than fail by chance within correlationTime.
	minCorrelatedLosses = 3
	// sharedProbePeriod is the interval between the probes of a lost or suspect endpoint by one entry.
	sharedProbePeriod = 500 * time.Millisecond
	// lostPathProbers is the number of entries of a zone that probe a lost endpoint, as many as must agree to renew the
	// report if neither reaches another endpoint of the zone. One entry probes a suspect endpoint.
	lostPathProbers = 2
	// minOwnLosses is the number of paths that an entry that reaches nothing must lose before it probes a zone, since a single
	// failed connection is more often the fault of the endpoint.
	minOwnLosses = 2
)

// zonePair is a zone of entries and a zone of endpoints.
type zonePair struct {
	entries, endpoints fleet.Zone
}

// suspicion is the time during which endpoints of a zone are suspect, unless they are reached after since.
type suspicion struct {
	since, until time.Time
	// logged reports whether the start was logged, so that the end is.
	logged bool
}

// updateSuspicion makes the endpoints of a zone suspect if a report is the minCorrelatedLosses-th within
// correlationTime that is in force, and extends the suspicion with each such report; the caller holds the lock.
//
// Load pattern: a zone is partitioned, or a rack fails. The first few losses predict those of the endpoints that have not
// been tried yet.
func (p *PathTable) updateSuspicion(r *pathRecord, report PathReport, logged bool, now time.Time) {
	from := report.Zone
	pair := zonePair{from, r.endpointZone}
	until := report.At.Add(lostPathTTL)
	correlated := 0
	for key, other := range p.records {
		if key.zone == from && other.endpointZone == r.endpointZone && other.inForce(now) &&
			other.lostSince.Sub(r.lostSince).Abs() <= correlationTime {
			correlated++
		}
	}
	if correlated < minCorrelatedLosses {
		return
	}
	s, found := p.suspicions[pair]
	if found && now.Before(s.until) {
		if until.After(s.until) {
			s.until = until
			p.suspicions[pair] = s
		}
		return
	}
	if p.suspicions == nil {
		p.suspicions = make(map[zonePair]suspicion)
	}
	if found {
		p.logEnd(pair, s)
	}
	p.suspicions[pair] = suspicion{since: report.At, until: until, logged: logged}
	if !logged {
		return
	}
	p.Log.Warn().Str("endpoint_zone", string(r.endpointZone)).Str("from_zone", string(from)).Int("lost", correlated).
		Str("witness", string(report.Witness)).Dur("age_ms", now.Sub(report.At)).
		Msg("outlier: endpoints of a zone are suspect")
}

// logEnd logs the end of a suspicion whose start was logged.
func (p *PathTable) logEnd(pair zonePair, s suspicion) {
	if !s.logged {
		return
	}
	p.Log.Info().Str("endpoint_zone", string(pair.endpoints)).Str("from_zone", string(pair.entries)).
		Dur("lasted_ms", s.until.Sub(s.since)).Msg("outlier: endpoints of a zone are no longer suspect")
}

// suspect reports whether an endpoint is suspect for the entries of a zone: other endpoints of its zone were lost at about
// the same time, and no entry reached it since. The caller holds the lock.
func (p *PathTable) suspect(endpoint fleet.Endpoint, from fleet.Zone, now time.Time) bool {
	s, found := p.suspicions[zonePair{from, endpoint.Zone}]
	if !found || !now.Before(s.until) || !p.Contended(endpoint.Pool) {
		return false
	}
	r, found := p.records[pathKey{from, endpoint.ID}]
	return !found || r.incarnation != endpoint.Incarnation || !r.reached.At.After(s.since)
}

// PathView tells which endpoints are lost and suspect for the entries of one zone at one time. Its zero value says that
// none is.
type PathView struct {
	lost map[fleet.EndpointID]fleet.Incarnation
	// suspectZones holds the zones with suspect endpoints, and cleared their endpoints that were reached since.
	suspectZones map[fleet.Zone]bool
	cleared      map[fleet.EndpointID]fleet.Incarnation
	contended    func(fleet.PoolName) bool
}

// View returns the view of the entries of a zone. It takes no lock while there is neither a lost path nor a suspicion.
//
// Load pattern: each choice looks at all endpoints of its pool, nearly always while no path is lost.
func (p *PathTable) View(from fleet.Zone, now time.Time) PathView {
	if !p.avoids.Load() {
		return PathView{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := PathView{
		lost: make(map[fleet.EndpointID]fleet.Incarnation), suspectZones: make(map[fleet.Zone]bool),
		cleared: make(map[fleet.EndpointID]fleet.Incarnation), contended: p.Contended,
	}
	for pair, s := range p.suspicions {
		if pair.entries == from && now.Before(s.until) {
			v.suspectZones[pair.endpoints] = true
		}
	}
	for key, r := range p.records {
		switch {
		case key.zone != from:
		case r.inForce(now):
			v.lost[key.endpoint] = r.incarnation
		case r.reached.At.After(p.suspicions[zonePair{from, r.endpointZone}].since):
			v.cleared[key.endpoint] = r.incarnation
		}
	}
	return v
}

// Lost reports whether an endpoint is lost.
func (v PathView) Lost(endpoint fleet.Endpoint) bool {
	incarnation, found := v.lost[endpoint.ID]
	return found && incarnation == endpoint.Incarnation
}

// Suspect reports whether an endpoint is suspect and not lost.
func (v PathView) Suspect(endpoint fleet.Endpoint) bool {
	if !v.suspectZones[endpoint.Zone] || v.Lost(endpoint) || !v.contended(endpoint.Pool) {
		return false
	}
	incarnation, found := v.cleared[endpoint.ID]
	return !found || incarnation != endpoint.Incarnation
}

// Counts returns the number of live endpoints that are lost and of those that are suspect for the entries of this
// entry's zone.
func (p *PathTable) Counts(now time.Time) (lost, suspect int) {
	view := p.View(p.Self.Zone, now)
	for _, endpoint := range p.State.Endpoints.Snapshot().Rows {
		switch {
		case endpoint.State != fleet.StateLive:
		case view.Lost(endpoint):
			lost++
		case view.Suspect(endpoint):
			suspect++
		}
	}
	return lost, suspect
}

// probeDue reports whether this entry should probe an endpoint: another one reached it while it is unreachable for this
// one, or it is lost or suspect for the zone and this entry is among those that probe it for the others.
func (p *PathTable) probeDue(endpoint fleet.Endpoint, unreachable bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recheckDue(endpoint, unreachable, now) {
		return true
	}
	if len(p.records) == 0 || endpoint.State != fleet.StateLive {
		return false
	}
	probers := 1
	switch {
	case p.lost(endpoint, p.Self.Zone, now):
		probers = lostPathProbers
	case !p.suspect(endpoint, p.Self.Zone, now):
		return false
	}
	r, found := p.record(endpoint, p.Self.Zone)
	if !found || now.Sub(r.probedAt) < sharedProbePeriod {
		return false
	}
	r.probedAt = now
	return p.isProber(endpoint.ID, probers)
}

// recheckDue reports whether another entry reached an endpoint lately that is unreachable for this one. The probe is
// repeated, since one that was in flight when the path worked again still fails. The caller holds the lock.
func (p *PathTable) recheckDue(endpoint fleet.Endpoint, unreachable bool, now time.Time) bool {
	since, found := p.recheck[endpoint.ID]
	if !found {
		return false
	}
	if !unreachable || now.Sub(since) >= lostPathTTL {
		delete(p.recheck, endpoint.ID)
		return false
	}
	r, found := p.record(endpoint, p.Self.Zone)
	if !found || now.Sub(r.recheckedAt) < sharedProbePeriod {
		return false
	}
	r.recheckedAt = now
	return true
}

// avoided reports whether an endpoint is lost or suspect for this entry's zone, in which case the entries that isProber
// selects probe it for the others.
func (p *PathTable) avoided(endpoint fleet.Endpoint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost(endpoint, p.Self.Zone, now) || p.suspect(endpoint, p.Self.Zone, now)
}

// reachesNothing reports whether this entry lost minOwnLosses paths and has reached no endpoint of a contended pool within
// corroborationTime. It may then be cut off, which Reach can tell only after the other endpoints were probed too.
func (p *PathTable) reachesNothing(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.reachedAt {
		if now.Sub(at) <= corroborationTime {
			return false
		}
	}
	losses := 0
	for _, r := range p.records {
		if report, found := r.lost[p.Self.ID]; found && now.Sub(report.At) < lostPathTTL {
			losses++
		}
	}
	return losses >= minOwnLosses
}

// isProber reports whether this entry is among the given number of entries that probe an endpoint for their zone. The
// entries are ranked by rendezvous hashing, so that all entries agree on them; the rank is cached until the entries change.
// The caller holds the lock.
func (p *PathTable) isProber(endpoint fleet.EndpointID, probers int) bool {
	entries := p.State.Entries.Snapshot()
	if p.probers == nil || p.proberVersion != entries.Version {
		p.probers, p.proberVersion = make(map[fleet.EndpointID]int), entries.Version
	}
	if before, found := p.probers[endpoint]; found {
		return before < probers
	}
	rank := func(entry fleet.EntryID) uint32 { return fleet.Rank(string(endpoint) + "/" + string(entry)) }
	own, before := rank(p.Self.ID), 0
	for id, entry := range entries.Rows {
		if id == p.Self.ID || entry.Zone != p.Self.Zone {
			continue
		}
		if cmp.Or(cmp.Compare(rank(id), own), cmp.Compare(id, p.Self.ID)) < 0 {
			before++
		}
	}
	p.probers[endpoint] = before
	return before < probers
}

// dropExpired drops the records and suspicions that have no effect any more.
func (p *PathTable) dropExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.records, func(key pathKey, r *pathRecord) bool {
		maps.DeleteFunc(r.lost, func(_ fleet.EntryID, report PathReport) bool { return now.Sub(report.At) >= lostPathTTL })
		if !r.inForce(now) {
			r.lostSince = time.Time{}
		}
		maps.DeleteFunc(r.contradictedAt, func(_ fleet.EntryID, at time.Time) bool { return now.Sub(at) >= doubtTime })
		if s, found := p.suspicions[zonePair{key.zone, r.endpointZone}]; found && now.Before(s.until) && r.reached.At.After(s.since) {
			// Without the record, the endpoint would be suspect again.
			return false
		}
		return len(r.lost) == 0 && len(r.contradictedAt) == 0 && now.Sub(r.reached.At) >= lostPathTTL && now.Sub(r.probedAt) >= lostPathTTL
	})
	maps.DeleteFunc(p.suspicions, func(pair zonePair, s suspicion) bool {
		ended := !now.Before(s.until)
		if ended {
			p.logEnd(pair, s)
		}
		return ended
	})
	avoids := len(p.suspicions) > 0
	for _, r := range p.records {
		avoids = avoids || len(r.lost) > 0
	}
	p.avoids.Store(avoids)
	maps.DeleteFunc(p.reachedAt, func(_ fleet.EndpointID, at time.Time) bool { return now.Sub(at) > corroborationTime })
	maps.DeleteFunc(p.recheck, func(id fleet.EndpointID, _ time.Time) bool {
		_, listed := p.State.Endpoints.Get(id)
		return !listed
	})
}

// SamePaths reports whether the reports of one entry are about the same paths, whatever their times.
func SamePaths(a, b []PathReport) bool {
	return maps.Equal(reportKinds(a), reportKinds(b))
}

// reportKind identifies a report of one entry without its time.
type reportKind struct {
	endpoint    fleet.EndpointID
	incarnation fleet.Incarnation
	reached     bool
}

// reportKinds returns the set of the kinds of reports.
func reportKinds(reports []PathReport) map[reportKind]bool {
	kinds := make(map[reportKind]bool, len(reports))
	for _, r := range reports {
		kinds[reportKind{r.Endpoint, r.Incarnation, r.Reached}] = true
	}
	return kinds
}
