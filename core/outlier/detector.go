// Package outlier keeps requests away from endpoints that failed, with a back-off that grows with each failure.
package outlier

import (
	"maps"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// initialBackoff is the back-off after the first failure; it leaves time for a probe before it ends.
	initialBackoff = 600 * time.Millisecond
	// maxBackoff bounds the back-off; a crashed endpoint restarts within a few seconds.
	maxBackoff = 3 * time.Second
)

// record holds the failures of one incarnation of an endpoint since its last success; until is the end of the
// back-off.
type record struct {
	incarnation fleet.Incarnation
	failures    int
	until       time.Time
}

// Detector records the endpoints that recently failed. Its zero value is ready to use; it is safe for concurrent use.
type Detector struct {
	mu               sync.Mutex
	records          map[fleet.EndpointID]record
	unreachableZones map[fleet.Zone]bool
}

// RecordUnreachable records that no connection to an endpoint could be opened. This counts as a failure, and the Prober
// then probes all endpoints of the zone, since the whole zone may be unreachable.
func (d *Detector) RecordUnreachable(endpoint fleet.Endpoint, now time.Time) {
	d.RecordFailure(endpoint, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unreachableZones == nil {
		d.unreachableZones = make(map[fleet.Zone]bool)
	}
	d.unreachableZones[endpoint.Zone] = true
}

// dropUnlisted drops the records of endpoints that are no longer listed.
func (d *Detector) dropUnlisted(listed map[fleet.EndpointID]fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.records, func(id fleet.EndpointID, _ record) bool {
		_, found := listed[id]
		return !found
	})
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
	r.until = now.Add(min(initialBackoff<<min(r.failures-1, 8), maxBackoff))
	d.records[endpoint.ID] = r
}

// RecordSuccess records that an endpoint answered, which ends its back-off and clears its failures.
func (d *Detector) RecordSuccess(endpoint fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.records, endpoint.ID)
}

// Usable reports whether requests may be sent to an endpoint: whether its current incarnation is in no back-off.
func (d *Detector) Usable(endpoint fleet.Endpoint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.records[endpoint.ID]
	return !found || r.incarnation != endpoint.Incarnation || !now.Before(r.until)
}
