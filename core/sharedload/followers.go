package sharedload

import (
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

// followerCountTTL is how long a count of followers is used; it is well below peerTTL.
const followerCountTTL = 50 * time.Millisecond

// followers holds in which role this entry chooses for each other one, by the latest message of that entry. Its zero value
// is ready to use; it is safe for concurrent use.
type followers struct {
	mu      sync.Mutex
	entries map[fleet.EntryID]follower
	// counts holds the number of followers by role, as of countedAt.
	counts    map[Role]int
	countedAt time.Time
}

// follower is the role in which this entry chooses for another one, as reported at a time.
type follower struct {
	role Role
	at   time.Time
}

// record records the role in which this entry chooses for another one; RoleAlone means that it doesn't.
func (f *followers) record(entry fleet.EntryID, role Role, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries == nil {
		f.entries = make(map[fleet.EntryID]follower)
	}
	if previous, found := f.entries[entry]; !found || previous.role != role || now.Sub(previous.at) > peerTTL {
		f.counts = nil
	}
	f.entries[entry] = follower{role: role, at: now}
}

// count returns the number of entries that were recorded with a role within peerTTL.
func (f *followers) count(role Role, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil || now.Sub(f.countedAt) > followerCountTTL {
		f.counts, f.countedAt = make(map[Role]int), now
		for id, e := range f.entries {
			if now.Sub(e.at) > peerTTL {
				delete(f.entries, id)
				continue
			}
			f.counts[e.role]++
		}
	}
	return f.counts[role]
}

// Share returns the share of all entries for which this one chooses in a role: of those that follow it, and of itself if
// that is its own role. An entry follows one leader and one chooser of its zone, so that the shares of several leaders add
// up to one, however the entries are cut off from each other. For at most peerTTL after an entry has turned to another
// leader, both count it. Before any entry is known, the share is 0, since others may start at the same time.
func (p *ChooserSet) Share(role Role, now time.Time) float64 {
	known := len(p.State.Entries.Snapshot().Rows)
	if known == 0 {
		return 0
	}
	if role == RoleAlone {
		return 1 / float64(known)
	}
	count := p.followers.count(role, now)
	if p.roleOf(p.Self.ID) == role {
		count++
	}
	return float64(count) / float64(max(count, known))
}

// Phase returns the position of this entry among all known ones, in [0, 1).
func (p *ChooserSet) Phase() float64 {
	ranked := p.rankedEntries()
	for i, entry := range ranked {
		if entry.ID == p.Self.ID {
			return float64(i) / float64(len(ranked))
		}
	}
	return 0
}

// roleOf returns the role in which an entry, which may be this one, chooses for this one.
func (p *ChooserSet) roleOf(id fleet.EntryID) Role {
	for _, c := range p.roleChoosers() {
		if c.entry.ID == id {
			return c.role
		}
	}
	return RoleAlone
}

// reportTo returns a usage report for another entry: with the role in which that one chooses for this entry, and without
// the lost paths that were sent to it often enough.
func (p *ChooserSet) reportTo(id fleet.EntryID, report UsageReport) UsageReport {
	report.Role = p.roleOf(id)
	report.LostPaths = p.sentPaths.Select(id, report.LostPaths, time.Now())
	return report
}
