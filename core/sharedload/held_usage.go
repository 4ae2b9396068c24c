package sharedload

import (
	"math"
	"time"

	"wisteriadyke/core/fleet"
)

// HeldUsage specifies how the usage of entries counts that fell silent with their whole zone. The endpoints that this
// side of a partition reaches go on with the attempts of the other side.
type HeldUsage struct {
	// Own is the zone of this entry, which is never silent.
	Own fleet.Zone
	// Time returns the mean duration of an answer at an endpoint, after which an attempt has ended; 0 means that the usage
	// at the endpoint does not count.
	Time func(fleet.EndpointID) time.Duration
	// Zone returns the zone of an entry; it reports false if the entry is not listed.
	Zone func(fleet.EntryID) (fleet.Zone, bool)
}

// addHeldUsages adds to totals what is left of the usage in the expired reports of entries whose whole zone is silent, and
// drops the reports of which nothing is left. A single silent entry has probably ended, and its attempts with it. The
// caller holds the lock.
//
// Load pattern: a zone is partitioned while it holds slots of endpoints in other zones. The choosers there would place
// quick requests on endpoints that are full.
func (b *UsageTable) addHeldUsages(totals map[fleet.EndpointID]Usage, expired []fleet.EntryID, now time.Time) {
	reporting := b.reportingZones(now)
	for _, entry := range expired {
		if !b.addHeld(totals, entry, reporting, now) {
			delete(b.peers, entry)
		}
	}
}

// addHeld adds to totals what is left of the usage in the expired report of one entry, and reports whether anything is;
// the caller holds the lock.
func (b *UsageTable) addHeld(
	totals map[fleet.EndpointID]Usage, entry fleet.EntryID, reporting map[fleet.Zone]bool, now time.Time,
) bool {
	if b.Held == nil {
		return false
	}
	if zone, found := b.Held.Zone(entry); !found || reporting[zone] {
		return false
	}
	kept := false
	report := b.peers[entry]
	for id, u := range report.usages {
		held, age := b.Held.Time(id), now.Sub(report.at)
		if age >= held {
			continue
		}
		kept = true
		totals[id] = totals[id].add(u.after(age, held))
	}
	return kept
}

// reportingZones returns the zones of which an entry reported within peerTTL; the caller holds the lock.
func (b *UsageTable) reportingZones(now time.Time) map[fleet.Zone]bool {
	zones := make(map[fleet.Zone]bool)
	if b.Held == nil {
		return zones
	}
	zones[b.Held.Own] = true
	for id, t := range b.peers {
		if now.Sub(t.at) > peerTTL {
			continue
		}
		if zone, found := b.Held.Zone(id); found {
			zones[zone] = true
		}
	}
	return zones
}

// after returns the usage that is left after a time if the attempts end at a constant rate within held.
func (u Usage) after(age, held time.Duration) Usage {
	share := 1 - float64(age)/float64(held)
	scale := func(n int) int { return int(math.Ceil(share * float64(n))) }
	left := Usage{
		Running:     scale(u.Running),
		Quick:       min(scale(u.Quick), scale(u.Running)),
		PrefillTime: max(0, u.PrefillTime-age),
		Memory:      fleet.Tokens(math.Ceil(share * float64(u.Memory))),
	}
	for i, value := range u.ValueByPause {
		left.ValueByPause[i] = scale(value)
	}
	return left
}
