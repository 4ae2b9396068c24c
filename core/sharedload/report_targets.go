package sharedload

import (
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// reportRenewal is the interval between reports of unchanged usage; it is well within peerTTL.
	reportRenewal = 400 * time.Millisecond
	// unansweredBackoff is the back-off after an entry has not answered.
	unansweredBackoff = time.Second
	// notChoosingBackoff is the back-off after an entry has answered that it doesn't choose yet.
	notChoosingBackoff = 150 * time.Millisecond
	// maxProbes bounds the reports per reportPeriod to entries that are not known to choose.
	maxProbes = 3
)

// peerState holds whether another entry chooses, and the reports sent to it.
type peerState struct {
	// chooses reports whether the entry answers and chooses for others.
	chooses bool
	// reportedVersion is the version of the usage last sent to the entry, at reportedAt.
	reportedVersion uint64
	reportedAt      time.Time
	// inFlight reports whether a report to the entry is in flight; none is sent before backoffUntil.
	inFlight     bool
	backoffUntil time.Time
	// unanswered counts the choose requests in a row that the entry did not answer.
	unanswered int
}

// reportTargets returns the entries to report to now and marks their reports as in flight. The leader is due on each
// change of the usage and every reportRenewal, the chooser that ranks next and the first chooser of the zone every
// reportRenewal. Up to maxProbes entries that rank before these and are not known to choose are due like the leader.
func (p *ChooserSet) reportTargets(version uint64, now time.Time) []fleet.Entry {
	ranked := p.rankedEntries()
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []fleet.Entry
	add := func(entry fleet.Entry) {
		l := p.peer(entry.ID)
		l.inFlight, l.reportedVersion, l.reportedAt = true, version, now
		due = append(due, entry)
	}
	// The search ends with the leader and its successor, and with the first chooser of the zone.
	choosersLeft, zoneChoosersLeft, probesLeft := 2, 1, maxProbes
	for _, entry := range ranked {
		sameZone := p.inZone(entry)
		if choosersLeft == 0 && (zoneChoosersLeft == 0 || !sameZone) {
			continue
		}
		l := p.peer(entry.ID)
		switch {
		case p.chooses(entry.ID, now):
			if entry.ID != p.Self.ID && l.due(version, now, choosersLeft == 2) {
				add(entry)
			}
			choosersLeft = max(0, choosersLeft-1)
			if sameZone {
				zoneChoosersLeft = 0
			}
		case entry.ID != p.Self.ID && probesLeft > 0 && l.due(version, now, true):
			probesLeft--
			add(entry)
		}
	}
	return due
}

// peer returns the state of another entry and creates it if necessary; the caller holds the lock.
func (p *ChooserSet) peer(id fleet.EntryID) *peerState {
	l, found := p.peers[id]
	if !found {
		if p.peers == nil {
			p.peers = make(map[fleet.EntryID]*peerState)
		}
		l = &peerState{}
		p.peers[id] = l
	}
	return l
}

// due reports whether a report is due: after reportRenewal, or at once on a new version if immediately is set. No
// report is due while one is in flight or during a back-off.
func (l *peerState) due(version uint64, now time.Time, immediately bool) bool {
	if l.inFlight || now.Before(l.backoffUntil) {
		return false
	}
	return immediately && l.reportedVersion != version || now.Sub(l.reportedAt) >= reportRenewal
}

// recordReply records the reply of an entry to a usage report, or that it did not answer.
func (p *ChooserSet) recordReply(entry fleet.Entry, reply UsageReply, err error) {
	now := time.Now()
	p.mergePaths(reply.LostPaths, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.peer(entry.ID)
	l.inFlight = false
	if err != nil {
		p.markUnreachable(entry, l, now, err)
		return
	}
	if l.chooses != reply.Chooses {
		l.chooses = reply.Chooses
		p.Log.Info().Str("peer", string(entry.ID)).Bool("chooses", reply.Chooses).
			Msg("sharedload: entry started or stopped choosing")
	}
	if !reply.Chooses {
		l.backoffUntil = now.Add(notChoosingBackoff)
		return
	}
	if p.alternates == nil {
		p.alternates = make(map[fleet.EntryID]namedAlternates)
	}
	p.alternates[entry.ID] = namedAlternates{entries: reply.Alternates, at: now}
	if p.zonesReachedAt == nil {
		p.zonesReachedAt = make(map[fleet.Zone]time.Time)
	}
	for _, zone := range reply.Zones {
		p.zonesReachedAt[zone] = now
	}
}

// maxHeldFailures is the number of choose requests in a row that an entry leaves unanswered before it counts as not
// choosing, if it may hold them. A held reply that is late once does not tell that the entry is down, and entries that
// disagree on the leader split the queue between two choosers.
const maxHeldFailures = 2

// recordFailure records that an entry did not answer a choose request, which it may have held.
func (p *ChooserSet) recordFailure(entry fleet.Entry, mayWait bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.peer(entry.ID)
	l.unanswered++
	if mayWait && l.unanswered < maxHeldFailures {
		return
	}
	p.markUnreachable(entry, l, time.Now(), err)
}

// recordAnswer records that an entry answered a choose request.
func (p *ChooserSet) recordAnswer(entry fleet.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peer(entry.ID).unanswered = 0
}

// markUnreachable backs off from an entry that did not answer; the caller holds the lock.
func (p *ChooserSet) markUnreachable(entry fleet.Entry, l *peerState, now time.Time, err error) {
	if l.chooses {
		p.Log.Warn().Str("peer", string(entry.ID)).Err(err).Msg("sharedload: entry does not answer")
	}
	l.chooses = false
	l.unanswered = 0
	l.backoffUntil = now.Add(unansweredBackoff)
}
