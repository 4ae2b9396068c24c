package membership

import (
	"time"

	"wisteriadyke/core/fleet"
)

// RecordAck records that an entry of the zone answered the probe sent at sentAt, and renews the lease.
func (m *Members) RecordAck(now, sentAt time.Time) {
	if sentAt.After(m.lastAckedProbe) {
		m.lastAckedProbe = sentAt
	}
	m.renewLease(now)
}

// RecordFailure records that an entry answered neither a direct nor an indirect probe. An entry that was alive becomes
// suspect; one that is unknown, dead or has left is ignored. confirmed reports whether a relay of another zone could
// not reach the entry either; hasMajority then does not count it until it is alive again.
func (m *Members) RecordFailure(now time.Time, id fleet.EntryID, confirmed bool) {
	peer, found := m.members[id]
	if !found || peer.update.Status > StatusSuspect {
		return
	}
	peer.excluded = peer.excluded || confirmed
	if peer.update.Status == StatusAlive {
		suspect := peer.update
		suspect.Status = StatusSuspect
		m.apply(now, suspect)
	}
	m.renewLease(now)
}

// UpdateListed applies the entries of the zone in the instance list. Before EnableLease, unknown live ones are added as
// suspects that hasMajority counts, so that a new entry that reaches none of them does not hold the lease at once. Once
// the list no longer contains an entry that was listed and is not alive, hasMajority does not count that entry.
func (m *Members) UpdateListed(now time.Time, entries []fleet.Entry) {
	listedIDs := make(map[fleet.EntryID]bool, len(entries))
	for _, entry := range entries {
		listedIDs[entry.ID] = true
		m.updateListedEntry(now, entry)
	}
	for id, peer := range m.members {
		if peer.listed && !listedIDs[id] && peer.update.Status != StatusAlive {
			peer.excluded = true
		}
	}
	m.renewLease(now)
}

// updateListedEntry applies one entry of the instance list; see UpdateListed.
func (m *Members) updateListedEntry(now time.Time, entry fleet.Entry) {
	if entry.ID == m.Self.ID || entry.Zone != m.Self.Zone {
		return
	}
	if peer, found := m.members[entry.ID]; found {
		peer.listed = true
		return
	}
	if m.leaseEnabled || entry.State != fleet.StateLive {
		return
	}
	entry.Incarnation = 0
	suspect := Update{Entry: entry, Status: StatusSuspect}
	m.members[entry.ID] = &member{update: suspect, statusSince: now, counted: true, listed: true}
}

// Tick turns suspects into dead entries after SuspicionTimeout, hides members that left leftVisibleTime ago, deletes
// those that have left or been dead for deadMemberTTL, and renews the lease.
func (m *Members) Tick(now time.Time) {
	for id, peer := range m.members {
		age := now.Sub(peer.statusSince)
		switch {
		case peer.update.Status == StatusSuspect && age >= SuspicionTimeout:
			dead := peer.update
			dead.Status = StatusDead
			m.apply(now, dead)
		case peer.update.Status >= StatusDead && age >= deadMemberTTL:
			delete(m.members, id)
		case peer.update.Status == StatusLeft && age >= leftVisibleTime && !peer.hidden:
			peer.hidden = true
			m.version++
		}
	}
	m.renewLease(now)
}

// renewLease extends the lease, once it is enabled, if this entry has the majority of its zone: to LeaseDuration after
// the last answered probe was sent, or after now if no other entry counts. An entry that has had no majority for
// MinorityTimeout excludes those that are not alive and extends the lease too. Whenever renewLease extends the lease,
// it also stops counting the entries that have been dead for deadCountTime. If it stopped counting them as soon as they
// are dead, a minority could drop the other entries one by one until it is a majority of the rest.
func (m *Members) renewLease(now time.Time) {
	if !m.leaseEnabled {
		return
	}
	switch {
	case !m.hasMajority() && now.Sub(m.lastMajority) < MinorityTimeout:
		m.inMinority = true
		return
	case !m.hasMajority():
		m.excludeUnreachable()
	case m.inMinority:
		m.resuspectDead(now)
	}
	m.inMinority = false
	m.lastMajority = now
	peers := 0
	for _, peer := range m.members {
		switch {
		case peer.update.Status == StatusDead && now.Sub(peer.statusSince) >= deadCountTime:
			peer.counted = false
		case peer.counted && !peer.excluded:
			peers++
		}
	}
	if peers == 0 {
		m.Lease.extend(now, now.Add(LeaseDuration))
		return
	}
	m.Lease.extend(now, m.lastAckedProbe.Add(LeaseDuration))
}

// resuspectDead turns the counted dead entries back into suspects when this entry has a majority again, since it may
// itself have been partitioned when they stopped answering.
func (m *Members) resuspectDead(now time.Time) {
	for _, peer := range m.members {
		if peer.update.Status == StatusDead && peer.counted {
			peer.update.Status = StatusSuspect
			peer.statusSince = now
			m.version++
		}
	}
}

// SurveyTargets returns all entries believed alive if a survey is due: more than one in surveyDivisor of the entries
// that hasMajority counts is not alive, so that this entry may be in a minority, and the last survey was at least
// surveyInterval ago.
func (m *Members) SurveyTargets(now time.Time) []fleet.Entry {
	unreachable, total := 0, 1
	for _, peer := range m.members {
		if !peer.counted || peer.excluded {
			continue
		}
		total++
		if peer.update.Status != StatusAlive {
			unreachable++
		}
	}
	if unreachable*surveyDivisor <= total || now.Sub(m.lastSurvey) < surveyInterval {
		return nil
	}
	m.lastSurvey = now
	return m.RandomAlive("", total)
}

// hasMajority reports whether more than half of the entries that are counted and not excluded, this one included, are
// alive.
func (m *Members) hasMajority() bool {
	reached, total := 1, 1
	for _, peer := range m.members {
		if !peer.counted || peer.excluded {
			continue
		}
		total++
		if peer.update.Status == StatusAlive {
			reached++
		}
	}
	return 2*reached > total
}

// excludeUnreachable makes hasMajority count no entry that is not alive, until it is alive again.
func (m *Members) excludeUnreachable() {
	for _, peer := range m.members {
		if peer.update.Status != StatusAlive {
			peer.excluded = true
		}
	}
}
