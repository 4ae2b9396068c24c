// Package outlier keeps requests away from endpoints that fail them, for a time that grows with each failure.
package outlier

import (
	"maps"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// firstPause is how long an endpoint is left alone after one failure; it leaves time for a probe before it ends.
	firstPause = 600 * time.Millisecond
	// lastPause bounds the pause; a crashed endpoint is back after some seconds.
	lastPause = 3 * time.Second
)

// record is what is known of one endpoint's failures.
type record struct {
	incarnation fleet.Incarnation
	failures    int
	until       time.Time
}

// Detector knows the endpoints that failed lately. Its zero value is ready to use.
type Detector struct {
	mu      sync.Mutex
	records map[fleet.EndpointID]record
	alarms  map[fleet.Zone]bool
}

// RecordUnreachable notes that no connection to an endpoint could be opened, which may hold for all of its zone.
func (d *Detector) RecordUnreachable(endpoint fleet.Endpoint, now time.Time) {
	d.RecordFailure(endpoint, now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.alarms == nil {
		d.alarms = make(map[fleet.Zone]bool)
	}
	d.alarms[endpoint.Zone] = true
}

// forgetGone drops what is known of endpoints that are listed no more.
func (d *Detector) forgetGone(listed map[fleet.EndpointID]fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.records, func(id fleet.EndpointID, _ record) bool {
		_, found := listed[id]
		return !found
	})
}

// takeAlarms returns the zones with endpoints that could not be reached since the last call.
func (d *Detector) takeAlarms() map[fleet.Zone]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	alarms := d.alarms
	d.alarms = nil
	return alarms
}

// due tells whether the pause of an endpoint is about to end.
func (d *Detector) due(endpoint fleet.Endpoint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.records[endpoint.ID]
	return found && r.incarnation == endpoint.Incarnation && now.Before(r.until) && r.until.Sub(now) <= probeLead
}

// extend prolongs the pause of an endpoint that could not be reached again.
func (d *Detector) extend(endpoint fleet.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fail(endpoint, now)
}

// RecordFailure notes that an attempt could not be sent to an endpoint or that it broke off there.
func (d *Detector) RecordFailure(endpoint fleet.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r := d.records[endpoint.ID]; r.incarnation == endpoint.Incarnation && now.Before(r.until) {
		// Attempts that were under way when the endpoint failed tell nothing new.
		return
	}
	d.fail(endpoint, now)
}

// fail notes one more failure; the caller holds the lock.
func (d *Detector) fail(endpoint fleet.Endpoint, now time.Time) {
	if d.records == nil {
		d.records = make(map[fleet.EndpointID]record)
	}
	r := d.records[endpoint.ID]
	if r.incarnation != endpoint.Incarnation {
		r = record{incarnation: endpoint.Incarnation}
	}
	r.failures++
	r.until = now.Add(min(firstPause<<min(r.failures-1, 8), lastPause))
	d.records[endpoint.ID] = r
}

// RecordSuccess notes that an endpoint answered.
func (d *Detector) RecordSuccess(endpoint fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.records, endpoint.ID)
}

// Usable tells whether an endpoint may be given work.
func (d *Detector) Usable(endpoint fleet.Endpoint, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	r, found := d.records[endpoint.ID]
	return !found || r.incarnation != endpoint.Incarnation || !now.Before(r.until)
}
