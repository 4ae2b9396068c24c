package membership

import (
	"time"

	"wisteriadyke/core/fleet"
)

// RecordAck tells that an entry of the zone answered the probe sent at sentAt.
func (m *Members) RecordAck(now, sentAt time.Time) {
	if sentAt.After(m.acked) {
		m.acked = sentAt
	}
	m.renew(now)
}

// RecordFailure tells that neither the entry nor anyone asked about it answered for it; confirmed means that an entry of
// another zone was asked, answered, and missed it too.
func (m *Members) RecordFailure(now time.Time, id fleet.EntryID, confirmed bool) {
	row, found := m.rows[id]
	if !found || row.update.Status > StatusSuspect {
		return
	}
	row.excused = row.excused || confirmed
	if row.update.Status == StatusAlive {
		suspect := row.update
		suspect.Status = StatusSuspect
		m.apply(now, suspect)
	}
	m.renew(now)
}

// UpdateListed takes the entries of the zone that the instance list shows. Before Ready they count in the majority, so that
// a new entry that reaches none of them doesn't act alone at once. A silent entry that leaves the list is excused.
func (m *Members) UpdateListed(now time.Time, entries []fleet.Entry) {
	shown := make(map[fleet.EntryID]bool, len(entries))
	for _, entry := range entries {
		shown[entry.ID] = true
		m.hintOne(now, entry)
	}
	for id, row := range m.rows {
		if row.listed && !shown[id] && row.update.Status != StatusAlive {
			row.excused = true
		}
	}
	m.renew(now)
}

// hintOne takes one entry of the instance list.
func (m *Members) hintOne(now time.Time, entry fleet.Entry) {
	if entry.ID == m.Self.ID || entry.Zone != m.Self.Zone {
		return
	}
	if row, found := m.rows[entry.ID]; found {
		row.listed = true
		return
	}
	if m.ready || entry.State != fleet.StateLive {
		return
	}
	entry.Incarnation = 0
	suspect := Update{Entry: entry, Status: StatusSuspect}
	m.rows[entry.ID] = &member{update: suspect, since: now, known: true, listed: true}
}

// Tick ends suspicions, renews the lease and forgets what is long gone.
func (m *Members) Tick(now time.Time) {
	for id, row := range m.rows {
		age := now.Sub(row.since)
		switch {
		case row.update.Status == StatusSuspect && age >= SuspicionTimeout:
			dead := row.update
			dead.Status = StatusDead
			m.apply(now, dead)
		case row.update.Status >= StatusDead && age >= forgetTime:
			delete(m.rows, id)
		case row.update.Status == StatusLeft && age >= leaveTime && !row.gone:
			row.gone = true
			m.version++
		}
	}
	m.renew(now)
}

// renew extends the lease if the entry reaches the majority of its zone, and then forgets those in the count
// who have been dead for the settle time. Without that delay a minority would forget the majority one by one.
func (m *Members) renew(now time.Time) {
	if !m.ready {
		return
	}
	switch {
	case !m.hasMajority() && now.Sub(m.majority) < MinorityTimeout:
		m.minority = true
		return
	case !m.hasMajority():
		m.excuseSilent()
	case m.minority:
		m.doubtAnew(now)
	}
	m.minority = false
	m.majority = now
	others := 0
	for _, row := range m.rows {
		switch {
		case row.update.Status == StatusDead && now.Sub(row.since) >= settleTime:
			row.known = false
		case row.known && !row.excused:
			others++
		}
	}
	if others == 0 {
		m.Lease.extend(now, now.Add(LeaseDuration))
		return
	}
	m.Lease.extend(now, m.acked.Add(LeaseDuration))
}

// doubtAnew makes suspects of all that this entry took for dead while it had no majority: it may itself have been cut off.
func (m *Members) doubtAnew(now time.Time) {
	for _, row := range m.rows {
		if row.update.Status == StatusDead && row.known {
			row.update.Status = StatusSuspect
			row.since = now
			m.version++
		}
	}
}

// SurveyTargets returns all entries believed alive if so many others are silent at once that this entry may be in a minority.
// It does so once in surveyInterval.
func (m *Members) SurveyTargets(now time.Time) []fleet.Entry {
	silent, total := 0, 1
	for _, row := range m.rows {
		if !row.known || row.excused {
			continue
		}
		total++
		if row.update.Status != StatusAlive {
			silent++
		}
	}
	if silent*surveyShare <= total || now.Sub(m.surveyed) < surveyInterval {
		return nil
	}
	m.surveyed = now
	return m.Helpers("", total)
}

// hasMajority tells whether the entry reaches more than half of the known entries that nobody excused.
func (m *Members) hasMajority() bool {
	reached, total := 1, 1
	for _, row := range m.rows {
		if !row.known || row.excused {
			continue
		}
		total++
		if row.update.Status == StatusAlive {
			reached++
		}
	}
	return 2*reached > total
}

// excuseSilent takes all entries that don't answer out of the majority.
func (m *Members) excuseSilent() {
	for _, row := range m.rows {
		if row.update.Status != StatusAlive {
			row.excused = true
		}
	}
}
