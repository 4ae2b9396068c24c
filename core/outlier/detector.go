// Package outlier keeps requests away from endpoints that fail them, for a time that grows with each failure.
package outlier

import (
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// firstPause is how long an endpoint is left alone after one failure; connections are tried again well within the
	// time that a caller waits.
	firstPause = 400 * time.Millisecond
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
}

// Failed notes that an attempt could not be sent to an endpoint or that it broke off there.
func (d *Detector) Failed(endpoint fleet.Endpoint, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.records == nil {
		d.records = make(map[fleet.EndpointID]record)
	}
	r := d.records[endpoint.ID]
	if r.incarnation != endpoint.Incarnation {
		r = record{incarnation: endpoint.Incarnation}
	}
	if now.Before(r.until) {
		// Attempts that were under way when the endpoint failed tell nothing new.
		return
	}
	r.failures++
	r.until = now.Add(min(firstPause<<min(r.failures-1, 8), lastPause))
	d.records[endpoint.ID] = r
}

// Succeeded notes that an endpoint answered.
func (d *Detector) Succeeded(endpoint fleet.Endpoint) {
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
