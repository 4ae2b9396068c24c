package membership

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// SuspicionTimeout is how long a suspect may refute before it counts as dead.
	SuspicionTimeout = 5 * time.Second
	// LeaseDuration is how long an entry acts for its zone after the last probe that another entry answered.
	LeaseDuration = 3 * time.Second
	// MinorityTimeout is how long an entry without the majority of its zone waits for it before it goes on with those
	// that it reaches.
	MinorityTimeout = 30 * time.Second
	// settleTime is how long a dead entry still counts in the majority.
	settleTime = 10 * time.Second
	// leaveTime is how long an entry that has left is still shown, since it finishes what it runs.
	leaveTime = time.Minute
	// forgetTime is how long a dead or departed entry is remembered.
	forgetTime = 10 * time.Minute
	// surveyShare is the part of the zone whose silence starts a survey, as one in so many.
	surveyShare = 5
	// surveyInterval is the time between two surveys.
	surveyInterval = 3 * time.Second
	// maxSync bounds the members that one answer carries to an entry with another view.
	maxSync = 16
	// maxJoin bounds the members that one answer carries to a joining entry.
	maxJoin = 256
)

// member is what is believed of one other entry of the zone.
type member struct {
	update Update
	// since is when the status was taken.
	since time.Time
	// known counts the entry in the majority.
	known bool
	// excused takes it out of the majority as long as it doesn't answer, since someone else missed it too.
	excused bool
	// listed tells that the instance list has shown it.
	listed bool
	// gone tells that it left long ago.
	gone bool
}

// Members is the state machine of one entry's view of its zone. It takes times as arguments, does no input or
// output and is not safe for concurrent use.
type Members struct {
	// Self is this entry; its incarnation grows when it refutes a suspicion.
	Self fleet.Entry
	// Lease is renewed as long as the entry reaches the majority of its zone.
	Lease *Lease
	// Random chooses whom to probe.
	Random *rand.Rand

	rows     map[fleet.EntryID]*member
	rumors   rumors
	order    []fleet.EntryID
	acked    time.Time
	majority time.Time
	surveyed time.Time
	minority bool
	ready    bool
	left     bool
	version  uint64
}

// Start begins a life of the entry, which has not yet heard of others.
func (m *Members) Start(now time.Time) {
	m.rows = make(map[fleet.EntryID]*member)
	m.Self.Incarnation = fleet.Incarnation(now.UnixMicro())
	m.majority = now
	m.version = 1
	m.rumors.add(m.self())
}

// EnableLease tells that the entry has looked for others; only from then on it may hold the lease.
func (m *Members) EnableLease(now time.Time) {
	m.ready = true
	m.renew(now)
}

// Version grows with every change of the live entries.
func (m *Members) Version() uint64 {
	return m.version
}

// Live returns the entries of the zone that are not known to be dead, this one included. A suspect is live, and one that
// has left is shown as leaving for a while.
func (m *Members) Live() []fleet.Entry {
	entries := []fleet.Entry{m.Self}
	for _, row := range m.rows {
		switch {
		case row.update.Entry.Incarnation == 0 || row.update.Status == StatusDead || row.gone:
		default:
			entries = append(entries, row.update.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b fleet.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// NextTarget returns the entry to probe in this period: each in turn, in an order that is shuffled anew every round.
func (m *Members) NextTarget() (fleet.Entry, bool) {
	for range 2 {
		for len(m.order) > 0 {
			id := m.order[0]
			m.order = m.order[1:]
			if row, found := m.rows[id]; found && row.update.Status <= StatusSuspect {
				return row.update.Entry, true
			}
		}
		m.shuffle()
	}
	return fleet.Entry{}, false
}

// shuffle draws a new order of the members that are probed.
func (m *Members) shuffle() {
	m.order = m.order[:0]
	for id, row := range m.rows {
		if row.update.Status <= StatusSuspect {
			m.order = append(m.order, id)
		}
	}
	slices.Sort(m.order)
	m.Random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
}

// ReconnectTarget returns one entry that is listed but not met yet, or one believed dead that may only have been cut off.
func (m *Members) ReconnectTarget(listed []fleet.Entry) (fleet.Entry, bool) {
	var strays []fleet.Entry
	for _, entry := range listed {
		if _, found := m.rows[entry.ID]; !found && entry.ID != m.Self.ID {
			strays = append(strays, entry)
		}
	}
	for _, row := range m.rows {
		if row.update.Status == StatusDead {
			strays = append(strays, row.update.Entry)
		}
	}
	if len(strays) == 0 {
		return fleet.Entry{}, false
	}
	slices.SortFunc(strays, func(a, b fleet.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return strays[m.Random.IntN(len(strays))], true
}

// Helpers returns up to count live entries of the zone other than target, to be asked for an indirect probe.
func (m *Members) Helpers(target fleet.EntryID, count int) []fleet.Entry {
	var helpers []fleet.Entry
	for _, entry := range m.Live() {
		if entry.ID == target || entry.ID == m.Self.ID || m.rows[entry.ID].update.Status != StatusAlive {
			continue
		}
		helpers = append(helpers, entry)
	}
	m.Random.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	return helpers[:min(count, len(helpers))]
}

// NewMessage returns the message for an entry; a target that is believed suspect or worse is always told so.
func (m *Members) NewMessage(to fleet.EntryID) Message {
	message := Message{From: m.Self, ViewHash: m.viewHash(), Updates: m.rumors.take(len(m.rows) + 1)}
	row, found := m.rows[to]
	if found && row.update.Status != StatusAlive && !slices.Contains(message.Updates, row.update) {
		message.Updates = append(message.Updates, row.update)
	}
	return message
}

// HandleMessage takes a message and returns the answer to it.
func (m *Members) HandleMessage(now time.Time, message Message) Message {
	m.Receive(now, message)
	answer := m.NewMessage(message.From.ID)
	limit := maxSync
	if message.Join {
		limit = maxJoin
	} else if message.ViewHash == answer.ViewHash {
		return answer
	}
	answer.Updates = append(answer.Updates, m.sample(limit)...)
	return answer
}

// sample returns up to limit beliefs that are no doubts, chosen at random.
func (m *Members) sample(limit int) []Update {
	updates := make([]Update, 0, len(m.rows))
	for _, row := range m.rows {
		if !row.update.doubts() {
			updates = append(updates, row.update)
		}
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	m.Random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
	return updates[:min(limit, len(updates))]
}

// Receive takes in a message; beliefs about other zones are ignored.
func (m *Members) Receive(now time.Time, message Message) {
	if message.From.Zone == m.Self.Zone && message.From.State != fleet.StateLeaving {
		m.apply(now, Update{Entry: message.From, Status: StatusAlive})
	}
	for _, update := range message.Updates {
		// Each entry waits for the refutation itself: what an entry says that was cut off is wrong when the cut heals.
		if update.Status == StatusDead && update.Entry.ID != m.Self.ID {
			update.Status = StatusSuspect
		}
		m.apply(now, update)
	}
}

// Leave tells the others that this entry takes no new ownership.
func (m *Members) Leave() Update {
	m.left = true
	m.Self.State = fleet.StateLeaving
	m.Self.Incarnation++
	m.version++
	m.rumors.add(m.self())
	return m.self()
}

// self returns the belief about this entry that it spreads itself.
func (m *Members) self() Update {
	if m.left {
		return Update{Entry: m.Self, Status: StatusLeft}
	}
	return Update{Entry: m.Self, Status: StatusAlive}
}

// apply takes one belief if it overrides the one held.
func (m *Members) apply(now time.Time, update Update) {
	if update.Entry.Zone != m.Self.Zone || m.rows == nil {
		return
	}
	if update.Entry.ID == m.Self.ID {
		m.refute(update)
		return
	}
	row, found := m.rows[update.Entry.ID]
	if !found {
		if update.Status >= StatusDead {
			return
		}
		row = &member{}
		m.rows[update.Entry.ID] = row
	} else if !update.overrides(row.update) {
		return
	}
	row.set(now, update)
	m.version++
	if update.Status != StatusDead {
		m.rumors.add(update)
	}
}

// set takes a belief into the row.
func (r *member) set(now time.Time, update Update) {
	if update.Status != r.update.Status || r.since.IsZero() {
		r.since = now
	}
	r.update = update
	switch update.Status {
	case StatusAlive:
		r.known = true
		r.excused = false
		r.gone = false
	case StatusLeft:
		r.known = false
	}
}

// refute answers a belief that this entry is suspect, dead or of a later life.
func (m *Members) refute(update Update) {
	mine := m.self()
	if !update.overrides(mine) {
		return
	}
	m.Self.Incarnation = update.Entry.Incarnation + 1
	m.rumors.add(m.self())
	m.version++
}

// viewHash hashes the beliefs without regard to their order.
func (m *Members) viewHash() uint64 {
	hash := updateHash(m.self())
	for _, row := range m.rows {
		if row.update.Status <= StatusSuspect && row.update.Entry.Incarnation > 0 {
			hash ^= updateHash(row.update)
		}
	}
	return hash
}

// updateHash hashes one belief.
func updateHash(u Update) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(u.Entry.ID))
	for shift := 0; shift < 64; shift += 8 {
		_, _ = h.Write([]byte{byte(u.Entry.Incarnation >> shift)})
	}
	_, _ = h.Write([]byte{byte(u.Status)})
	return h.Sum64()
}
