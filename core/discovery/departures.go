package discovery

import (
	"maps"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// leavingTTL is how long it is remembered that an endpoint was leaving, far longer than such an endpoint serves.
	leavingTTL = 10 * time.Minute
	// removedTTL is how long the removal of an endpoint is remembered, far longer than the age of a copy of the registry.
	removedTTL = time.Minute
	// announcementTTL is how long other entries are told that an endpoint has announced that it leaves. By then the
	// registry lists the endpoint as leaving, or no longer.
	announcementTTL = 5 * time.Second
)

// departure is the end of an incarnation of an endpoint.
type departure struct {
	incarnation fleet.Incarnation
	// at is when this entry learned of it.
	at time.Time
	// own reports whether this entry learned that the endpoint leaves by a response of it.
	own bool
}

// departures holds which endpoints leave or have been removed, by their latest incarnation. An incarnation never comes
// back, whatever the registry lists. Its zero value is ready to use; it is not safe for concurrent use.
type departures struct {
	leaving map[fleet.EndpointID]departure
	gone    map[fleet.EndpointID]departure
}

// apply returns a listed endpoint, as leaving if it is listed so or if this or a later incarnation is known to leave.
func (d *departures) apply(endpoint fleet.Endpoint, now time.Time) fleet.Endpoint {
	delete(d.gone, endpoint.ID)
	known, found := d.leaving[endpoint.ID]
	switch {
	case found && endpoint.Incarnation <= known.incarnation:
		endpoint.State = fleet.StateLeaving
	case endpoint.State == fleet.StateLeaving:
		d.setLeaving(endpoint.ID, departure{incarnation: endpoint.Incarnation, at: now})
	case found:
		delete(d.leaving, endpoint.ID)
	}
	return endpoint
}

// announce records that an incarnation has announced in a response that it leaves, to this entry if own is set. It
// reports false if that was known.
func (d *departures) announce(id fleet.EndpointID, incarnation fleet.Incarnation, own bool, now time.Time) bool {
	known, found := d.leaving[id]
	if found && known.incarnation >= incarnation && (known.own || !own) {
		return false
	}
	d.setLeaving(id, departure{incarnation: max(incarnation, known.incarnation), at: now, own: own})
	return true
}

// announced returns the incarnations that announced to this entry within announcementTTL that they leave.
func (d *departures) announced(now time.Time) map[fleet.EndpointID]fleet.Incarnation {
	var announced map[fleet.EndpointID]fleet.Incarnation
	for id, known := range d.leaving {
		if !known.own || now.Sub(known.at) > announcementTTL {
			continue
		}
		if announced == nil {
			announced = make(map[fleet.EndpointID]fleet.Incarnation)
		}
		announced[id] = known.incarnation
	}
	return announced
}

// remove records that the registry has removed an endpoint. It also forgets that the endpoint was leaving if its
// incarnations are not numbered, since the next row under its ID is that of another incarnation.
func (d *departures) remove(endpoint fleet.Endpoint, now time.Time) {
	if endpoint.Incarnation == 0 {
		delete(d.leaving, endpoint.ID)
		return
	}
	if d.gone == nil {
		d.gone = make(map[fleet.EndpointID]departure)
	}
	d.gone[endpoint.ID] = departure{incarnation: endpoint.Incarnation, at: now}
}

// restarted reports whether the registry has removed an endpoint of which this is a later incarnation.
func (d *departures) restarted(endpoint fleet.Endpoint) bool {
	known, found := d.gone[endpoint.ID]
	return found && endpoint.Incarnation > known.incarnation
}

// setLeaving stores the departure of an endpoint that leaves.
func (d *departures) setLeaving(id fleet.EndpointID, known departure) {
	if d.leaving == nil {
		d.leaving = make(map[fleet.EndpointID]departure)
	}
	d.leaving[id] = known
}

// dropOld forgets the departures that are older than leavingTTL and removedTTL.
func (d *departures) dropOld(now time.Time) {
	maps.DeleteFunc(d.leaving, func(_ fleet.EndpointID, known departure) bool { return now.Sub(known.at) > leavingTTL })
	maps.DeleteFunc(d.gone, func(_ fleet.EndpointID, known departure) bool { return now.Sub(known.at) > removedTTL })
}
