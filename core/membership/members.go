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
	// SuspicionTimeout is how long an entry stays suspect before it is declared dead.
	SuspicionTimeout = 5 * time.Second
	// LeaseDuration is how long the lease lasts, from the sending of the last probe that another entry answered.
	LeaseDuration = 3 * time.Second
	// MinorityTimeout is how long an entry without a majority waits before it counts only the entries that are alive.
	MinorityTimeout = 30 * time.Second
	// deadCountTime is how long, at least, hasMajority counts a dead entry.
	deadCountTime = 10 * time.Second
	// leftVisibleTime is how long Live still returns an entry that has left, since it is still finishing its requests.
	leftVisibleTime = time.Minute
	// deadMemberTTL is how long the record of an entry that is dead or has left is retained.
	deadMemberTTL = 10 * time.Minute
	// surveyDivisor sets when a survey starts: when more than one in surveyDivisor entries of the zone is not alive.
	surveyDivisor = 5
	// surveyInterval is the minimum time between two surveys.
	surveyInterval = 3 * time.Second
	// maxSyncUpdates bounds the additional updates in a reply to an entry whose ViewHash differs.
	maxSyncUpdates = 16
	// maxJoinUpdates bounds the additional updates in a reply to a joining entry.
	maxJoinUpdates = 256
)

// member is what this entry knows about one other entry of the zone.
type member struct {
	update Update
	// statusSince is when the status last changed.
	statusSince time.Time
	// counted reports whether hasMajority counts the entry, unless it is excluded.
	counted bool
	// excluded reports whether hasMajority does not count the entry until it is alive again: it is unreachable from
	// another zone too, is no longer listed, or was not alive when this entry had been without a majority for
	// MinorityTimeout.
	excluded bool
	// listed reports whether the instance list has contained the entry.
	listed bool
	// hidden reports whether the entry left longer than leftVisibleTime ago.
	hidden bool
}

// Members is the state machine of one entry's view of its zone. Its methods receive the time as an argument and do no
// I/O. Start must be called first. It is not safe for concurrent use.
type Members struct {
	// Self is this entry; its incarnation grows when it refutes an update about itself and when it leaves.
	Self fleet.Entry
	// Lease is renewed while the entry reaches the majority of its zone.
	Lease *Lease
	// Random orders the entries to probe, and selects the results of ReconnectTarget and RandomAlive and the additional
	// updates in the reply of HandleMessage.
	Random *rand.Rand

	members map[fleet.EntryID]*member
	gossip  gossipQueue
	// order holds the entries that are still to be probed in this round.
	order []fleet.EntryID
	// lastAckedProbe is when the latest of the probes that were answered was sent.
	lastAckedProbe time.Time
	// lastMajority is when this entry last had the majority, or gave up waiting for it.
	lastMajority time.Time
	lastSurvey   time.Time
	inMinority   bool
	leaseEnabled bool
	leaving      bool
	version      uint64
}

// Start begins a new incarnation of this entry, numbered by the Unix time in microseconds, and forgets all other
// entries.
func (m *Members) Start(now time.Time) {
	m.members = make(map[fleet.EntryID]*member)
	m.Self.Incarnation = fleet.Incarnation(now.UnixMicro())
	m.lastMajority = now
	m.version = 1
	m.gossip.add(m.selfUpdate())
}

// EnableLease ends the join phase, during which the lease is not held, and renews the lease.
func (m *Members) EnableLease(now time.Time) {
	m.leaseEnabled = true
	m.renewLease(now)
}

// Version increases whenever the result of Live may have changed.
func (m *Members) Version() uint64 {
	return m.version
}

// Live returns this entry and the other entries of the zone that are not known to be dead, in order of ID. Suspects are
// included, and so are entries that have left, for leftVisibleTime; entries that are known only from the instance list
// are not.
func (m *Members) Live() []fleet.Entry {
	entries := []fleet.Entry{m.Self}
	for _, peer := range m.members {
		switch {
		case peer.update.Entry.Incarnation == 0 || peer.update.Status == StatusDead || peer.hidden:
		default:
			entries = append(entries, peer.update.Entry)
		}
	}
	slices.SortFunc(entries, func(a, b fleet.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// NextTarget returns the entry to probe next, and whether there is one. Each entry that is alive or suspect is probed
// once a round, in an order that is shuffled for each round.
func (m *Members) NextTarget() (fleet.Entry, bool) {
	for range 2 {
		for len(m.order) > 0 {
			id := m.order[0]
			m.order = m.order[1:]
			if peer, found := m.members[id]; found && peer.update.Status <= StatusSuspect {
				return peer.update.Entry, true
			}
		}
		m.shuffleProbeOrder()
	}
	return fleet.Entry{}, false
}

// shuffleProbeOrder starts a new round of probes in random order.
func (m *Members) shuffleProbeOrder() {
	m.order = m.order[:0]
	for id, peer := range m.members {
		if peer.update.Status <= StatusSuspect {
			m.order = append(m.order, id)
		}
	}
	slices.Sort(m.order)
	m.Random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
}

// ReconnectTarget returns a random entry that is listed but not a member yet, or that is believed dead but may merely
// have been unreachable. It reports false if there is none.
func (m *Members) ReconnectTarget(listed []fleet.Entry) (fleet.Entry, bool) {
	var candidates []fleet.Entry
	for _, entry := range listed {
		if _, found := m.members[entry.ID]; !found && entry.ID != m.Self.ID {
			candidates = append(candidates, entry)
		}
	}
	for _, peer := range m.members {
		if peer.update.Status == StatusDead {
			candidates = append(candidates, peer.update.Entry)
		}
	}
	if len(candidates) == 0 {
		return fleet.Entry{}, false
	}
	slices.SortFunc(candidates, func(a, b fleet.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return candidates[m.Random.IntN(len(candidates))], true
}

// RandomAlive returns up to count random entries of the zone that are alive, other than target and this one. They probe
// target for this entry. With target "", they are the entries to survey or to tell that this entry leaves.
func (m *Members) RandomAlive(target fleet.EntryID, count int) []fleet.Entry {
	var entries []fleet.Entry
	for _, entry := range m.Live() {
		if entry.ID == target || entry.ID == m.Self.ID || m.members[entry.ID].update.Status != StatusAlive {
			continue
		}
		entries = append(entries, entry)
	}
	m.Random.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries[:min(count, len(entries))]
}

// NewMessage returns a message for an entry, without timestamp, and counts its updates as sent. Unless that entry is
// alive, the message always contains its status, so that the entry can refute a suspicion.
func (m *Members) NewMessage(to fleet.EntryID) Message {
	message := Message{From: m.Self, ViewHash: m.viewHash(), Updates: m.gossip.next(len(m.members) + 1)}
	peer, found := m.members[to]
	if found && peer.update.Status != StatusAlive && !slices.Contains(message.Updates, peer.update) {
		message.Updates = append(message.Updates, peer.update)
	}
	return message
}

// HandleMessage applies a message and returns the reply to it. The reply contains additional updates if the sender
// joins or its ViewHash differs.
func (m *Members) HandleMessage(now time.Time, message Message) Message {
	m.Receive(now, message)
	reply := m.NewMessage(message.From.ID)
	limit := maxSyncUpdates
	if message.Join {
		limit = maxJoinUpdates
	} else if message.ViewHash == reply.ViewHash {
		return reply
	}
	reply.Updates = append(reply.Updates, m.sampleUpdates(limit)...)
	return reply
}

// sampleUpdates returns up to limit random updates about members that are alive or have left.
func (m *Members) sampleUpdates(limit int) []Update {
	updates := make([]Update, 0, len(m.members))
	for _, peer := range m.members {
		if !peer.update.isSuspicion() {
			updates = append(updates, peer.update)
		}
	}
	slices.SortFunc(updates, func(a, b Update) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	m.Random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
	return updates[:min(limit, len(updates))]
}

// Receive applies a message: it marks the sender as alive unless it is leaving, and applies the updates. Entries of
// other zones are ignored.
func (m *Members) Receive(now time.Time, message Message) {
	if message.From.Zone == m.Self.Zone && message.From.State != fleet.StateLeaving {
		m.apply(now, Update{Entry: message.From, Status: StatusAlive})
	}
	for _, update := range message.Updates {
		// A reported death is only a suspicion here, which the entry can refute: the reports of an entry that was partitioned
		// are wrong after the partition has healed.
		if update.Status == StatusDead && update.Entry.ID != m.Self.ID {
			update.Status = StatusSuspect
		}
		m.apply(now, update)
	}
}

// Leave marks this entry as leaving in a new incarnation, so that it is assigned no further endpoints, and returns the
// update that announces it. The update is also queued for gossip.
func (m *Members) Leave() Update {
	m.leaving = true
	m.Self.State = fleet.StateLeaving
	m.Self.Incarnation++
	m.version++
	m.gossip.add(m.selfUpdate())
	return m.selfUpdate()
}

// selfUpdate returns this entry's update about itself.
func (m *Members) selfUpdate() Update {
	if m.leaving {
		return Update{Entry: m.Self, Status: StatusLeft}
	}
	return Update{Entry: m.Self, Status: StatusAlive}
}

// apply stores an update if it overrides the stored one, and queues it for gossip unless it declares the entry dead. An
// update about this entry may be refuted instead. Unknown entries that are dead or have left are not added.
func (m *Members) apply(now time.Time, update Update) {
	if update.Entry.Zone != m.Self.Zone || m.members == nil {
		return
	}
	if update.Entry.ID == m.Self.ID {
		m.refute(update)
		return
	}
	peer, found := m.members[update.Entry.ID]
	if !found {
		if update.Status >= StatusDead {
			return
		}
		peer = &member{}
		m.members[update.Entry.ID] = peer
	} else if !update.overrides(peer.update) {
		return
	}
	peer.setUpdate(now, update)
	m.version++
	if update.Status != StatusDead {
		m.gossip.add(update)
	}
}

// setUpdate stores an update. From then on, hasMajority counts an entry that is alive, and no longer counts one that
// has left.
func (p *member) setUpdate(now time.Time, update Update) {
	if update.Status != p.update.Status || p.statusSince.IsZero() {
		p.statusSince = now
	}
	p.update = update
	switch update.Status {
	case StatusAlive:
		p.counted = true
		p.excluded = false
		p.hidden = false
	case StatusLeft:
		p.counted = false
	}
}

// refute applies an update about this entry. If the update would override the entry's own, as a suspicion does, refute
// raises the entry's incarnation above that of the update and queues its own update for gossip again.
func (m *Members) refute(update Update) {
	self := m.selfUpdate()
	if !update.overrides(self) {
		return
	}
	m.Self.Incarnation = update.Entry.Incarnation + 1
	m.gossip.add(m.selfUpdate())
	m.version++
}

// viewHash returns a hash of this entry and all members that are alive or suspect, except those known only from the
// instance list. It does not depend on their order.
func (m *Members) viewHash() uint64 {
	hash := updateHash(m.selfUpdate())
	for _, peer := range m.members {
		if peer.update.Status <= StatusSuspect && peer.update.Entry.Incarnation > 0 {
			hash ^= updateHash(peer.update)
		}
	}
	return hash
}

// updateHash returns the hash of one update.
func updateHash(u Update) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(u.Entry.ID))
	for shift := 0; shift < 64; shift += 8 {
		_, _ = h.Write([]byte{byte(u.Entry.Incarnation >> shift)})
	}
	_, _ = h.Write([]byte{byte(u.Status)})
	return h.Sum64()
}
