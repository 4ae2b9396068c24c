package outlier

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

const (
	// lostPathTTL is how long a report of a lost path is valid unless it is renewed.
	lostPathTTL = 1500 * time.Millisecond
	// maxPathReports bounds the reports of paths in one message.
	maxPathReports = 32
	// maxPathWitnesses bounds the witnesses that are kept for one path; two of them are enough for a report to take effect.
	maxPathWitnesses = 4
	// doubtTime is how long a witness that was contradicted is not enough alone, unless it reaches the endpoint. A faulty path
	// of one entry then keeps its zone from the endpoint for a few hundredths of the time.
	doubtTime = 10 * time.Second
	// corroborationTime is how recently a witness must have reached another endpoint of a zone for its report to take
	// effect alone.
	corroborationTime = time.Second
)

// PathReport is the report of one entry that it could not connect to an endpoint, or that it reached it again.
type PathReport struct {
	// Endpoint and Incarnation identify the endpoint.
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	// Zone is the zone of Witness, the entry that made the report.
	Zone    fleet.Zone
	Witness fleet.EntryID
	// At is when the witness last failed to connect, or reached the endpoint again.
	At time.Time
	// Corroborated reports whether the witness reached another endpoint of the endpoint's zone within corroborationTime
	// before.
	Corroborated bool
	// Reached reports that the witness reached the endpoint again, which ends all earlier reports of its zone.
	Reached bool
}

// pathKey identifies a path: the zone of the entries and the endpoint.
type pathKey struct {
	zone     fleet.Zone
	endpoint fleet.EndpointID
}

// PathTable holds which paths are lost from which zones, as this entry and others report. Its fields must be set before
// use; it is safe for concurrent use.
//
// Load pattern: a zone is partitioned from the others, and each entry would find out by itself, endpoint by endpoint, at
// the cost of a connection timeout for each.
type PathTable struct {
	// Self is this entry.
	Self fleet.Entry
	// State holds the listed endpoints and entries.
	State *clusterstate.State
	// Contended reports whether a pool is contended; paths to endpoints of other pools are not recorded.
	Contended func(fleet.PoolName) bool
	// CutOff reports whether this entry is cut off from a pool, in which case it reports no lost paths to its endpoints.
	CutOff func(fleet.PoolName) bool
	// Log receives a message when the endpoints of a zone become suspect and when that ends, and at debug level one for each
	// path that this entry loses or reaches again.
	Log zerolog.Logger

	// avoids reports whether there is a lost path or a suspicion, so that choices take no lock while there is none.
	avoids atomic.Bool

	mu      sync.Mutex
	records map[pathKey]*pathRecord
	// changed receives a value when this entry has a report about another path than before.
	changed chan struct{}
	// reachedAt holds when this entry last reached each endpoint of a contended pool.
	reachedAt map[fleet.EndpointID]time.Time
	// suspicions holds the zones whose endpoints are suspect from a zone of entries.
	suspicions map[zonePair]suspicion
	// recheck holds the endpoints that another entry reached, and when this one heard of it.
	recheck map[fleet.EndpointID]time.Time
	// replies holds the latest results of ForZone.
	replies map[fleet.Zone]cachedReply
	// probers holds how many entries rank before this one as probers of each endpoint, as of proberVersion of the entries.
	probers       map[fleet.EndpointID]int
	proberVersion uint64
}

// RecordLost records that this entry could not connect to an endpoint.
func (p *PathTable) RecordLost(endpoint fleet.Endpoint, now time.Time) {
	if !p.Contended(endpoint.Pool) || p.CutOff(endpoint.Pool) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLost(endpoint, p.reachesZone(endpoint, now), now)
}

// RecordConnectTimeout is RecordLost for a connect timeout so short that this entry may have missed the connection for
// lack of processor time: the report takes effect only with that of a second witness.
func (p *PathTable) RecordConnectTimeout(endpoint fleet.Endpoint, now time.Time) {
	if !p.Contended(endpoint.Pool) || p.CutOff(endpoint.Pool) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyLost(endpoint, false, now)
}

// applyLost applies this entry's report of a lost path; the caller holds the lock.
func (p *PathTable) applyLost(endpoint fleet.Endpoint, corroborated bool, now time.Time) {
	p.apply(endpoint, PathReport{
		Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Zone: p.Self.Zone, Witness: p.Self.ID, At: now,
		Corroborated: corroborated,
	}, true, now)
}

// RecordReached records that an endpoint answered this entry or accepted a connection.
func (p *PathTable) RecordReached(endpoint fleet.Endpoint, now time.Time) {
	if !p.Contended(endpoint.Pool) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reachedAt == nil {
		p.reachedAt = make(map[fleet.EndpointID]time.Time)
	}
	p.reachedAt[endpoint.ID] = now
	delete(p.recheck, endpoint.ID)
	if r, found := p.records[pathKey{p.Self.Zone, endpoint.ID}]; found || p.suspect(endpoint, p.Self.Zone, now) {
		// A report that another entry has made already would only make the entries of the zone report in turn.
		if found && len(r.lost) == 0 && now.Sub(r.reached.At) < lostPathTTL && !r.doubts(p.Self.ID, now) {
			return
		}
		p.apply(endpoint, PathReport{
			Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Zone: p.Self.Zone, Witness: p.Self.ID, At: now,
			Reached: true,
		}, true, now)
	}
}

// Merge applies the reports in a reply of a chooser. A report of an incarnation that is not the listed one has no effect.
// Nothing is logged, since all entries of a zone receive the same reports.
func (p *PathTable) Merge(reports []PathReport, now time.Time) {
	p.merge(reports, false, now)
}

// MergeReported is Merge for reports that this entry receives from their witness, so that it may choose for others.
func (p *PathTable) MergeReported(reports []PathReport, now time.Time) {
	p.merge(reports, true, now)
}

// merge applies the reports of other entries; logged reports whether suspicions are logged.
func (p *PathTable) merge(reports []PathReport, logged bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports[:min(len(reports), maxPathReports)] {
		endpoint, found := p.State.Endpoints.Get(r.Endpoint)
		if !found || endpoint.Incarnation != r.Incarnation || r.Witness == p.Self.ID || !p.Contended(endpoint.Pool) ||
			now.Sub(r.At) >= lostPathTTL {
			continue
		}
		p.apply(endpoint, r, logged, now)
	}
}

// Withdraw drops the reports of an entry of lost paths to endpoints of pools that it is cut off from.
func (p *PathTable) Withdraw(witness fleet.EntryID, pools []fleet.PoolName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, r := range p.records {
		if endpoint, found := p.State.Endpoints.Get(key.endpoint); found && slices.Contains(pools, endpoint.Pool) {
			delete(r.lost, witness)
		}
	}
}

// Changed returns a channel that receives a value when Own has a report about another path than before.
func (p *PathTable) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changes()
}

// changes returns the channel of Changed; the caller holds the lock.
func (p *PathTable) changes() chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{}, 1)
	}
	return p.changed
}

// notify announces a new report if it is this entry's own; the caller holds the lock.
func (p *PathTable) notify(report PathReport) {
	if report.Witness != p.Self.ID {
		return
	}
	select {
	case p.changes() <- struct{}{}:
	default:
	}
}

// apply applies one report; logged reports whether a suspicion that it causes is logged. The caller holds the lock.
func (p *PathTable) apply(endpoint fleet.Endpoint, report PathReport, logged bool, now time.Time) {
	r, found := p.record(endpoint, report.Zone)
	if !found {
		return
	}
	if report.Reached {
		p.applyReached(r, report, now)
		return
	}
	known, found := r.lost[report.Witness]
	if found && !report.At.After(known.At) {
		return
	}
	if !found {
		p.notify(report)
	}
	r.lost[report.Witness] = report
	p.avoids.Store(true)
	if r.reached.Witness != report.Witness && now.Sub(r.reached.At) < lostPathTTL {
		r.contradict(report.Witness, now)
	}
	r.dropOldest()
	if !r.inForce(now) {
		r.lostSince = time.Time{}
		return
	}
	if r.lostSince.IsZero() {
		r.lostSince = report.At
		p.logReport(r, report, now, "outlier: path to an endpoint is lost")
	}
	p.updateSuspicion(r, report, logged, now)
}

// record returns the record of the path from a zone to an endpoint and creates it if necessary. It reports false for an
// incarnation that has ended, since an attempt at it may end after its successor was recorded. The caller holds the lock.
func (p *PathTable) record(endpoint fleet.Endpoint, from fleet.Zone) (*pathRecord, bool) {
	key := pathKey{from, endpoint.ID}
	r, found := p.records[key]
	if listed, known := p.State.Endpoints.Get(endpoint.ID); known && listed.Incarnation > endpoint.Incarnation ||
		found && r.incarnation > endpoint.Incarnation {
		return nil, false
	}
	if found && r.incarnation == endpoint.Incarnation {
		return r, true
	}
	if p.records == nil {
		p.records = make(map[pathKey]*pathRecord)
	}
	r = &pathRecord{
		incarnation: endpoint.Incarnation, endpointZone: endpoint.Zone, lost: make(map[fleet.EntryID]PathReport),
	}
	p.records[key] = r
	return r, true
}

// applyReached records that an endpoint was reached; the caller holds the lock.
func (p *PathTable) applyReached(r *pathRecord, report PathReport, now time.Time) {
	if !report.At.After(r.reached.At) {
		return
	}
	p.notify(report)
	wasLost := r.inForce(now)
	r.reached = report
	delete(r.contradictedAt, report.Witness)
	for witness := range r.lost {
		if witness != report.Witness {
			r.contradict(witness, now)
		}
	}
	maps.DeleteFunc(r.lost, func(_ fleet.EntryID, lost PathReport) bool { return !lost.At.After(report.At) })
	if report.Zone == p.Self.Zone && report.Witness != p.Self.ID {
		if p.recheck == nil {
			p.recheck = make(map[fleet.EndpointID]time.Time)
		}
		p.recheck[report.Endpoint] = now
	}
	if wasLost && !r.inForce(now) {
		r.lostSince = time.Time{}
		p.logReport(r, report, now, "outlier: path to an endpoint works again")
	}
}

// logReport logs this entry's own report because of which a path is lost or works again. Reports of others are not logged:
// logging costs processor time, and each entry receives hundreds within seconds when a zone is partitioned.
func (p *PathTable) logReport(r *pathRecord, report PathReport, now time.Time, message string) {
	if report.Witness != p.Self.ID {
		return
	}
	p.Log.Debug().Str("endpoint", string(report.Endpoint)).Uint64("incarnation", uint64(report.Incarnation)).
		Str("endpoint_zone", string(r.endpointZone)).Str("from_zone", string(report.Zone)).
		Str("witness", string(report.Witness)).Dur("age_ms", now.Sub(report.At)).
		Bool("corroborated", report.Corroborated).Int("witnesses", len(r.lost)).Msg(message)
}

// reachesZone reports whether this entry reached another endpoint in the zone of the given one within corroborationTime;
// the caller holds the lock.
func (p *PathTable) reachesZone(than fleet.Endpoint, now time.Time) bool {
	for id, at := range p.reachedAt {
		if id == than.ID || now.Sub(at) > corroborationTime {
			continue
		}
		if endpoint, found := p.State.Endpoints.Get(id); found && endpoint.Zone == than.Zone {
			return true
		}
	}
	return false
}

// Lost reports whether an endpoint counts as lost for the entries of a zone.
func (p *PathTable) Lost(endpoint fleet.Endpoint, from fleet.Zone, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost(endpoint, from, now)
}

// lost is Lost; the caller holds the lock.
func (p *PathTable) lost(endpoint fleet.Endpoint, from fleet.Zone, now time.Time) bool {
	r, found := p.records[pathKey{from, endpoint.ID}]
	return found && r.incarnation == endpoint.Incarnation && r.inForce(now)
}
