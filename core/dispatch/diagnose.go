package dispatch

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// diagnoseTimeout limits the queries for the incarnations of endpoints: the one after an attempt broke, or together
	// all that verify recorded deaths.
	diagnoseTimeout = 500 * time.Millisecond
	// contactTimeout is the time after which a zone counts as unreachable if none of its entries was seen.
	contactTimeout = 5 * time.Second
)

// diagnosis is the state of an endpoint whose attempt broke.
type diagnosis string

const (
	// diagnosisAlive means that the endpoint still runs with the same incarnation.
	diagnosisAlive diagnosis = "alive"
	// diagnosisDied means that this incarnation of the endpoint has ended.
	diagnosisDied diagnosis = "died"
	// diagnosisZoneUnreachable means that the endpoint's whole zone is unreachable.
	diagnosisZoneUnreachable diagnosis = "zone_unreachable"
	// diagnosisPathBroken means that another entry reaches the endpoint and this one doesn't.
	diagnosisPathBroken diagnosis = "path_broken"
	// diagnosisUnknown means that no entry that reaches other endpoints can tell.
	diagnosisUnknown diagnosis = "unknown"
)

// mayHaveCrashed reports whether the connection to the endpoint broke, or the attempt was ended since another copy of the
// request crashed an endpoint. The endpoint may accept connections for a moment longer.
func (r *attemptResult) mayHaveCrashed() bool {
	for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errSuspected} {
		if errors.Is(r.cause, err) {
			return true
		}
	}
	return false
}

// reached reports whether an entry reached the endpoint.
func (d diagnosis) reached() bool {
	return d == diagnosisAlive || d == diagnosisPathBroken
}

// diagnose checks whether the endpoint still runs with the given incarnation; 0 matches any. An endpoint that does not
// answer counts as dead, unless another entry reaches it or what this entry sees says nothing about it: its whole
// availability zone is unreachable, or this entry reaches no other endpoint either.
func (d *Dispatcher) diagnose(ctx context.Context, endpoint fleet.Endpoint, incarnation fleet.Incarnation) diagnosis {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), diagnoseTimeout)
	defer cancel()
	current, err := d.Engines.Incarnation(ctx, endpoint)
	switch {
	case err == nil && (incarnation == 0 || current == incarnation):
		return diagnosisAlive
	case err == nil:
		return diagnosisDied
	}
	reached, failed := 0, 0
	if d.AskOthers != nil {
		reached, failed = d.AskOthers(ctx, endpoint)
	}
	switch {
	case reached > 0:
		return diagnosisPathBroken
	case !d.zoneReachable(endpoint.Zone) && (d.EndedAlone == nil || !d.EndedAlone(ctx, endpoint)):
		return diagnosisZoneUnreachable
	case failed == 0 && d.CanTell != nil && !d.CanTell(ctx, endpoint):
		return diagnosisUnknown
	default:
		return diagnosisDied
	}
}

// zoneReachable reports whether a zone is reachable. If Dispatcher.Reachable is set, its result is returned. Otherwise
// this entry's own zone counts as reachable, and another zone does if one of its entries was seen within
// contactTimeout.
func (d *Dispatcher) zoneReachable(zone fleet.Zone) bool {
	if d.Reachable != nil {
		return d.Reachable(zone)
	}
	if zone == d.Zone {
		return true
	}
	for _, entry := range d.State.Entries.Snapshot().Rows {
		if entry.Zone == zone && time.Since(entry.LastSeenAt) < contactTimeout {
			return true
		}
	}
	return false
}
