// Package outlier keeps requests away from endpoints that failed, with a back-off that grows with each failure, and from
// those that asked for a pause.
package outlier

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// initialBackoff is the back-off after the first failure; it leaves time for a probe before it ends.
	initialBackoff = 600 * time.Millisecond
	// maxBackoff bounds the back-off; a crashed endpoint restarts within a few seconds.
	maxBackoff = 3 * time.Second
	// maxPauseSpread bounds the random time that is added to the pause of an endpoint, so that the entries do not return
	// to it together.
	maxPauseSpread = 500 * time.Millisecond
	// pauseSpreadShare is the share of a pause that is added at most.
	pauseSpreadShare = 0.25
)

// record holds the failures of one incarnation of an endpoint since its last success; until is the end of the
// back-off, and unreachable reports whether the latest failure was that no connection could be opened.
type record struct {
	incarnation fleet.Incarnation
	failures    int
	until       time.Time
	unreachable bool
}

// pause is the time until which an incarnation of an endpoint asked to receive no requests from this entry.
type pause struct {
	incarnation fleet.Incarnation
	until       time.Time
}

// Detector records the endpoints that recently failed or asked for a pause. Its zero value is ready to use; it is safe
// for concurrent use.
type Detector struct {
	mu               sync.Mutex
	records          map[fleet.EndpointID]record
	pauses           map[fleet.EndpointID]pause
	unreachableZones map[fleet.Zone]bool
	// requestedProbes holds the endpoints that RequestProbe names.
	requestedProbes map[fleet.EndpointID]bool
}

// RecordPause records that an endpoint asked this entry to send no requests for a time. Unlike a back-off, a pause does
// not end with a success, since answers to earlier requests may still arrive. It returns the end of the pause, which is
// later than asked by a small random time.
//
// Load pattern: a burst fills the queue of an endpoint, which turns requests away with a time to return. All entries
// stay away at once for that time, and return one after the other.
func (d *Detector) RecordPause(endpoint fleet.EndpointID, incarnation fleet.Incarnation, asked time.Duration, now time.Time) time.Time {
	spread := min(time.Duration(float64(asked)*pauseSpreadShare), maxPauseSpread)
	until := now.Add(asked + rand.N(spread+1))
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.pauses[endpoint]; known.incarnation > incarnation || known.incarnation == incarnation && known.until.After(until) {
		return known.until
	}
	if d.pauses == nil {
		d.pauses = make(map[fleet.EndpointID]pause)
	}
	d.pauses[endpoint] = pause{incarnation: incarnation, until: until}
	return until
}

// PausedUntil returns the end of the pause of an endpoint; it reports false if the current incarnation is in none.
func (d *Detector) PausedUntil(endpoint fleet.Endpoint, now time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, found := d.pauses[endpoint.ID]
	return p.until, found && p.incarnation >= endpoint.Incarnation && now.Before(p.until)
}

// RecordUnreachable records that no connection to an endpoint could be opened. This counts as a failure, and the Prober
// then probes all endpoints of the zone, since the whole zone may be unreachable; see Prober.probeDue for contended pools.
func (d *Detector) RecordUnreachable(endpoint fleet.Endpoint, now time.Time) {
	d.RecordFailure(endpoint, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markUnreachable(endpoint)
	if d.unreachableZones == nil {
		d.unreachableZones = make(map[fleet.Zone]bool)
	}
	d.unreachableZones[endpoint.Zone] = true
}

// RequestProbe makes the Prober probe an endpoint once. Unlike RecordUnreachable, it counts no failure.
//
// Load pattern: an entry that is throttled for most of the connect timeout of quick requests misses connections that
// sound endpoints accepted.
func (d *Detector) RequestProbe(endpoint fleet.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.requestedProbes == nil {
		d.requestedProbes = make(map[fleet.EndpointID]bool)
	}
	d.requestedProbes[endpoint] = true
}

// takeRequestedProbes returns and clears the endpoints that RequestProbe named.
func (d *Detector) takeRequestedProbes() map[fleet.EndpointID]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	requested := d.requestedProbes
	d.requestedProbes = nil
	return requested
}

// dropUnlisted drops the records of endpoints that are no longer listed, and the pauses that are over.
func (d *Detector) dropUnlisted(listed map[fleet.EndpointID]fleet.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.records, func(id fleet.EndpointID, _ record) bool {
		_, found := listed[id]
		return !found
	})
	maps.DeleteFunc(d.pauses, func(_ fleet.EndpointID, p pause) bool { return !now.Before(p.until) })
}

// takeUnreachableZones returns and clears the zones of endpoints that were unreachable since the last call.
func (d *Detector) takeUnreachableZones() map[fleet.Zone]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	zones := d.unreachableZones
	d.unreachableZones = nil
	return zones
}

// probeDue reports whether the current incarnation of an endpoint is in a back-off that ends within probeLead.
func (d *Detector) probeDue(endpoint fleet.Endpoint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.records[endpoint.ID]
	return found && r.incarnation == endpoint.Incarnation && now.Before(r.until) && r.until.Sub(now) <= probeLead
}

// extendBackoff starts or extends the back-off of an endpoint that a probe could not connect to.
func (d *Detector) extendBackoff(endpoint fleet.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addFailure(endpoint, now)
	d.markUnreachable(endpoint)
}

// markUnreachable marks the latest failure of an endpoint as one to open a connection; the caller holds the lock.
func (d *Detector) markUnreachable(endpoint fleet.Endpoint) {
	r := d.records[endpoint.ID]
	r.unreachable = true
	d.records[endpoint.ID] = r
}

// Unreachable reports whether the current incarnation of an endpoint is in a back-off because no connection to it could
// be opened.
func (d *Detector) Unreachable(endpoint fleet.Endpoint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.records[endpoint.ID]
	return found && r.unreachable && r.incarnation == endpoint.Incarnation && now.Before(r.until)
}

// RecordFailure records that an attempt could not be sent to an endpoint or broke off there; it has no effect
// during a back-off.
func (d *Detector) RecordFailure(endpoint fleet.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.records[endpoint.ID]; r.incarnation == endpoint.Incarnation && now.Before(r.until) {
		// Other attempts in flight at the time of the failure fail for the same reason.
		return
	}
	d.addFailure(endpoint, now)
}

// addFailure counts a failure and starts a back-off of initialBackoff, which doubles with each further failure up to
// maxBackoff. The caller holds the lock.
func (d *Detector) addFailure(endpoint fleet.Endpoint, now time.Time) {
	if d.records == nil {
		d.records = make(map[fleet.EndpointID]record)
	}
	r := d.records[endpoint.ID]
	if r.incarnation != endpoint.Incarnation {
		r = record{incarnation: endpoint.Incarnation}
	}
	r.failures++
	r.unreachable = false
	r.until = now.Add(min(initialBackoff<<min(r.failures-1, 8), maxBackoff))
	d.records[endpoint.ID] = r
}

// RecordSuccess records that an endpoint answered, which ends its back-off and clears its failures.
func (d *Detector) RecordSuccess(endpoint fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.records, endpoint.ID)
}

// RecordReachable ends the back-off of an endpoint that is in one because no connection to it could be opened.
func (d *Detector) RecordReachable(endpoint fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.records[endpoint.ID]; r.unreachable && r.incarnation == endpoint.Incarnation {
		delete(d.records, endpoint.ID)
	}
}

// Usable reports whether requests may be sent to an endpoint: whether its current incarnation is in no back-off and no
// pause.
func (d *Detector) Usable(endpoint fleet.Endpoint, now time.Time) bool {
	if _, paused := d.PausedUntil(endpoint, now); paused {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.records[endpoint.ID]
	return !found || r.incarnation != endpoint.Incarnation || !now.Before(r.until)
}
