package sharedload

import (
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// followerCountTTL is how long a count of followers is used; it is well below peerTTL.
	followerCountTTL = 50 * time.Millisecond
	// handoverTime is how long the previous chooser of an entry may count it after the entry has turned to another one: its
	// last message may arrive after reportTimeout.
	handoverTime = peerTTL + followerCountTTL + reportTimeout
	// handoverWeight is the part of a follower that counts in ColdShare during its handoverTime. Four choosers may fail in
	// turn within that time before the sum of all shares exceeds two.
	handoverWeight = 0.25
)

// followers holds in which role this entry chooses for each entry, itself included, by the latest message of that entry.
// Its zero value is ready to use; it is safe for concurrent use.
type followers struct {
	mu      sync.Mutex
	entries map[fleet.EntryID]follower
	// counts holds the followers by role, as of countedAt.
	counts    map[Role]followerCount
	countedAt time.Time
}

// follower is the role in which this entry chooses for another one, as reported at a time, and since when.
type follower struct {
	role  Role
	since time.Time
	at    time.Time
}

// followerCount is the number of followers of a role, and of those among them that turned to this entry within
// handoverTime.
type followerCount struct {
	all, recent int
}

// record records the role in which this entry chooses for another one; RoleAlone means that it doesn't.
func (f *followers) record(entry fleet.EntryID, role Role, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries == nil {
		f.entries = make(map[fleet.EntryID]follower)
	}
	since := now
	if previous, found := f.entries[entry]; found && previous.role == role && now.Sub(previous.at) <= peerTTL {
		since = previous.since
	} else {
		f.counts = nil
	}
	f.entries[entry] = follower{role: role, since: since, at: now}
}

// count returns the entries that were recorded with a role within peerTTL.
func (f *followers) count(role Role, now time.Time) followerCount {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil || now.Sub(f.countedAt) > followerCountTTL {
		f.counts, f.countedAt = make(map[Role]followerCount), now
		for id, e := range f.entries {
			if now.Sub(e.at) > peerTTL {
				delete(f.entries, id)
				continue
			}
			count := f.counts[e.role]
			count.all++
			if now.Sub(e.since) < handoverTime {
				count.recent++
			}
			f.counts[e.role] = count
		}
	}
	return f.counts[role]
}

// Share returns the share of all entries for which this one chooses in a role: of those that follow it, and of itself if
// that is its own role. An entry follows one leader and one chooser of its zone, so that the shares of several leaders add
// up to one, however the entries are cut off from each other. For at most handoverTime after an entry has turned to another
// leader, both count it. Before any entry is known, the share is 0, since others may start at the same time.
func (p *ChooserSet) Share(role Role, now time.Time) float64 {
	return p.share(role, func(c followerCount) float64 { return float64(c.all) }, now)
}

// ColdShare is Share for endpoints that crash if the sum of all shares is exceeded: an entry counts with handoverWeight
// during its handoverTime.
//
// Load pattern: the leader and its successors fail one after the other while endpoints are cold.
func (p *ChooserSet) ColdShare(role Role, now time.Time) float64 {
	return p.share(role, func(c followerCount) float64 {
		return float64(c.all-c.recent) + handoverWeight*float64(c.recent)
	}, now)
}

// share returns the share of all entries of which this one counts a weight by those that follow it in a role.
func (p *ChooserSet) share(role Role, weigh func(followerCount) float64, now time.Time) float64 {
	known := len(p.State.Entries.Snapshot().Rows)
	if known == 0 {
		return 0
	}
	if role == RoleAlone {
		return 1 / float64(known)
	}
	p.recordOwnRole(now)
	weight := weigh(p.followers.count(role, now))
	return weight / max(weight, float64(known))
}

// recordOwnRole records in which role this entry chooses for itself.
func (p *ChooserSet) recordOwnRole(now time.Time) {
	p.followers.record(p.Self.ID, p.ownRole(), now)
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
