package sharedload

import (
	"slices"
	"time"

	"wisteriadyke/core/fleet"
)

// roleChooser is an entry that chooses for this entry, and the role in which it does.
type roleChooser struct {
	entry fleet.Entry
	role  Role
}

// roleChoosers returns the entries that choose for this one, in order of preference. If this entry is one of them, it
// is the last.
func (p *ChooserSet) roleChoosers() []roleChooser {
	return p.choosersExcept(nil)
}

// choosersExcept returns the entries that would choose for this one without those that were asked already. After a chooser
// has failed, its successor is among them, also while the failed one is not known to be down.
//
// Load pattern: a chooser fails while requests wait. An entry that chooses for itself knows nothing of the attempts of
// others, so that it would place its waiting requests at once, at engines without free slots.
func (p *ChooserSet) choosersExcept(asked []roleChooser) []roleChooser {
	ranked := p.rankedEntries()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	isLeft := func(entry fleet.Entry) bool {
		return !slices.ContainsFunc(asked, func(a roleChooser) bool { return a.entry.ID == entry.ID })
	}
	isLeftInZone := func(entry fleet.Entry) bool { return p.inZone(entry) && isLeft(entry) }
	var choosers []roleChooser
	if leader, found := p.firstChooser(ranked, isLeft, now); found {
		choosers = append(choosers, roleChooser{entry: leader, role: RoleLeader})
	}
	if local, found := p.firstChooser(ranked, isLeftInZone, now); found && local.ID != choosers[0].entry.ID {
		choosers = append(choosers, roleChooser{entry: local, role: RoleZone})
	}
	return choosers
}

// ownRole returns the role in which this entry chooses for itself: RoleAlone if it is not a chooser for others.
func (p *ChooserSet) ownRole() Role {
	return p.roleOf(p.Self.ID)
}

// Leads reports whether this entry is the leader, or considers itself to be.
func (p *ChooserSet) Leads() bool {
	return p.ownRole() == RoleLeader
}

// inZone reports whether an entry is in the zone of this one.
func (p *ChooserSet) inZone(entry fleet.Entry) bool {
	return entry.Zone == p.Self.Zone
}

// firstChooser returns the first eligible entry that chooses at now, which may be this one, and whether there is one; the
// caller holds the lock.
func (p *ChooserSet) firstChooser(
	ranked []fleet.Entry, eligible func(fleet.Entry) bool, now time.Time,
) (fleet.Entry, bool) {
	for _, entry := range ranked {
		if eligible(entry) && p.chooses(entry.ID, now) {
			return entry, true
		}
	}
	return fleet.Entry{}, false
}

// chooses reports whether an entry chooses for others at now: for this entry by the time since its start, for another one by
// its latest reply, or false if it did not answer. The caller holds the lock.
func (p *ChooserSet) chooses(id fleet.EntryID, now time.Time) bool {
	if id == p.Self.ID {
		return now.Sub(p.Started) >= startupDelay
	}
	l, found := p.peers[id]
	return found && l.chooses
}

// rankedEntries returns all entries in the order of preference as choosers, which all entries agree on.
func (p *ChooserSet) rankedEntries() []fleet.Entry {
	return p.ranking.Entries(&p.State.Entries)
}
