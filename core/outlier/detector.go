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
	// maxBackoff bounds the back-off; a crashed endpoint is back after a few seconds.
	maxBackoff = 3 * time.Second
)

// record holds the recent failures of one endpoint.
type record struct {
	incarnation fleet.Incarnation
	failures    int
	until       time.Time
}

// Detector records the endpoints that recently failed. Its zero value is ready to use.
type Detector struct {
	mu               sync.Mutex
	records          map[fleet.EndpointID]record
	unreachableZones map[fleet.Zone]bool
}

// RecordUnreachable records that no connection to an endpoint could be opened, which may affect its whole zone.
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

// takeUnreachableZones returns the zones of endpoints that were unreachable since the last call.
func (d *Detector) takeUnreachableZones() map[fleet.Zone]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	alarms := d.unreachableZones
	d.unreachableZones = nil
	return alarms
}

// probeDue reports whether the back-off of an endpoint ends within probeLead.
func (d *Detector) probeDue(endpoint fleet.Endpoint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.records[endpoint.ID]
	return found && r.incarnation == endpoint.Incarnation && now.Before(r.until) && r.until.Sub(now) <= probeLead
}

// extendBackoff extends the back-off of an endpoint that is still unreachable.
func (d *Detector) extendBackoff(endpoint fleet.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.addFailure(endpoint, now)
}

// RecordFailure records that an attempt could not be sent to an endpoint or broke off there.
func (d *Detector) RecordFailure(endpoint fleet.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.records[endpoint.ID]; r.incarnation == endpoint.Incarnation && now.Before(r.until) {
		// Other attempts in flight at the time of the failure fail for the same reason.
		return
	}
	d.addFailure(endpoint, now)
}

// addFailure records a failure and starts the back-off; the caller holds the lock.
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

// RecordSuccess records that an endpoint answered.
func (d *Detector) RecordSuccess(endpoint fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.records, endpoint.ID)
}

// Usable reports whether requests may be sent to an endpoint.
func (d *Detector) Usable(endpoint fleet.Endpoint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.records[endpoint.ID]
	return !found || r.incarnation != endpoint.Incarnation || !now.Before(r.until)
}
