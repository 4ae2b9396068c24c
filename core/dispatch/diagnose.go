package dispatch

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// diagnoseTimeout bounds the look at an endpoint whose attempt broke.
	diagnoseTimeout = 500 * time.Millisecond
	// contactTime is how long ago an entry may have been heard of to show that its zone can be reached.
	contactTime = 5 * time.Second
)

// verdict tells what became of an endpoint whose attempt broke.
type verdict int

const (
	// verdictAlive means that the same life of the endpoint goes on.
	verdictAlive verdict = iota
	// verdictDied means that this life of the endpoint has ended.
	verdictDied
	// verdictCut means that the endpoint's whole zone can't be reached.
	verdictCut
)

// diagnose finds out what became of the endpoint. An endpoint that does not answer counts as dead, unless its whole
// availability zone seems to be cut off, which is no sign of a request that crashes endpoints.
func (r *run) diagnose(ctx context.Context, endpoint fleet.Endpoint, incarnation fleet.Incarnation) verdict {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), diagnoseTimeout)
	defer cancel()
	now, err := r.Engines.Incarnation(ctx, endpoint)
	switch {
	case err == nil && (incarnation == 0 || now == incarnation):
		return verdictAlive
	case err == nil:
		return verdictDied
	case r.reachable(endpoint.Zone):
		return verdictDied
	default:
		return verdictCut
	}
}

// reachable tells whether any entry of the zone was heard of lately; the own zone is.
func (r *run) reachable(zone fleet.Zone) bool {
	if r.Reachable != nil {
		return r.Reachable(zone)
	}
	if zone == r.Zone {
		return true
	}
	for _, entry := range r.State.Entries.Snapshot().Rows {
		if entry.Zone == zone && time.Since(entry.LastSeenAt) < contactTime {
			return true
		}
	}
	return false
}
