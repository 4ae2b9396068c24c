package outlier

import (
	"maps"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
)

// pathRecord holds what is known of the path to one incarnation of an endpoint.
type pathRecord struct {
	incarnation fleet.Incarnation
	// endpointZone is the zone of the endpoint.
	endpointZone fleet.Zone
	// lost holds the latest report of each witness that lost the path.
	lost map[fleet.EntryID]PathReport
	// reached is the latest report of an entry that reached the endpoint after it was lost.
	reached PathReport
	// contradictedAt holds when each witness that lost the path was last contradicted by another entry that reached the
	// endpoint.
	contradictedAt map[fleet.EntryID]time.Time
	// lostSince is when the reports took effect; zero means that they are not in force.
	lostSince time.Time
	// probedAt is when this entry last probed the endpoint.
	probedAt time.Time
	// recheckedAt is when this entry last probed the endpoint because another one reached it.
	recheckedAt time.Time
}

// dropOldest drops the oldest report if there are more than maxPathWitnesses.
func (r *pathRecord) dropOldest() {
	if len(r.lost) <= maxPathWitnesses {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(r.lost)), func(a, b PathReport) int { return a.At.Compare(b.At) })
	delete(r.lost, oldest.Witness)
}

// contradict records that another entry reached the endpoint that a witness lost.
func (r *pathRecord) contradict(witness fleet.EntryID, now time.Time) {
	if r.contradictedAt == nil {
		r.contradictedAt = make(map[fleet.EntryID]time.Time)
	}
	r.contradictedAt[witness] = now
}

// doubts reports whether a witness was contradicted within doubtTime and has not reached the endpoint since.
//
// Load pattern: the path of one entry to a sound endpoint is at fault for long. Its reports must not keep the zone from
// the endpoint each time that the contradiction of another entry has expired.
func (r *pathRecord) doubts(witness fleet.EntryID, now time.Time) bool {
	at, found := r.contradictedAt[witness]
	return found && now.Sub(at) < doubtTime
}

// inForce reports whether the reports of a lost path are in force: two witnesses made one within lostPathTTL, or one
// whose report is corroborated. The latter is not enough if another entry reached the endpoint lately or contradicted the
// witness before, since the fault is then probably the witness's own.
func (r *pathRecord) inForce(now time.Time) bool {
	valid, corroborated := 0, false
	for _, report := range r.lost {
		if now.Sub(report.At) < lostPathTTL && report.At.After(r.reached.At) {
			valid++
			corroborated = corroborated || report.Corroborated && !r.doubts(report.Witness, now)
		}
	}
	contradicted := now.Sub(r.reached.At) < lostPathTTL
	return valid >= 2 || corroborated && !contradicted
}
