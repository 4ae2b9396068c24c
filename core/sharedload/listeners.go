package sharedload

import (
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// tellAgain is how long unchanged figures are not told again; it is well within peerTTL.
	tellAgain = 400 * time.Millisecond
	// silentPause is how long an entry that gave no answer is left alone.
	silentPause = time.Second
	// tryPeriod is the least time between two messages to an entry that answers and does not choose yet.
	tryPeriod = 150 * time.Millisecond
	// triesAtOnce bounds the entries that are tried at each look because nothing is known of them.
	triesAtOnce = 3
)

// listener is what is known of another entry.
type listener struct {
	// chooses tells that it answers and chooses for others.
	chooses bool
	// version is that of the figures that it was told last, at a time.
	version uint64
	at      time.Time
	// busy tells that it is being told, and pausedUntil when it is tried again.
	busy        bool
	pausedUntil time.Time
}

// listeners returns the entries to tell now and notes that they are being told: the leader when something has changed,
// the next leader and the first of the zone from time to time, and some that rank before them and don't choose yet.
func (p *ChooserSet) listeners(version uint64, now time.Time) []fleet.Entry {
	ranked := p.ranked()
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []fleet.Entry
	add := func(entry fleet.Entry) {
		l := p.listener(entry.ID)
		l.busy, l.version, l.at = true, version, now
		due = append(due, entry)
	}
	// wanted counts the entries still looked for: the leader and the one that would follow it, and the first of the zone.
	wanted, wantedHere, tries := 2, 1, triesAtOnce
	for _, entry := range ranked {
		here := p.inZone(entry)
		if wanted == 0 && (wantedHere == 0 || !here) {
			continue
		}
		l := p.listener(entry.ID)
		switch {
		case p.chooses(entry.ID):
			if entry.ID != p.Self.ID && l.due(version, now, wanted == 2) {
				add(entry)
			}
			wanted = max(0, wanted-1)
			if here {
				wantedHere = 0
			}
		case entry.ID != p.Self.ID && tries > 0 && l.due(version, now, true):
			tries--
			add(entry)
		}
	}
	return due
}

// listener returns what is known of an entry; the caller holds the lock.
func (p *ChooserSet) listener(id fleet.EntryID) *listener {
	l, found := p.peers[id]
	if !found {
		if p.peers == nil {
			p.peers = make(map[fleet.EntryID]*listener)
		}
		l = &listener{}
		p.peers[id] = l
	}
	return l
}

// due tells whether an entry needs figures of a version, at once if it chooses by them.
func (l *listener) due(version uint64, now time.Time, atOnce bool) bool {
	if l.busy || now.Before(l.pausedUntil) {
		return false
	}
	return atOnce && l.version != version || now.Sub(l.at) >= tellAgain
}

// answered notes what an entry has answered to being told, or that it gave no answer.
func (p *ChooserSet) answered(entry fleet.Entry, reply UsageReply, err error) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.listener(entry.ID)
	l.busy = false
	if err != nil {
		p.silent(entry, l, now, err)
		return
	}
	if l.chooses != reply.Chooses {
		l.chooses = reply.Chooses
		p.Log.Info().Str("peer", string(entry.ID)).Bool("chooses", reply.Chooses).Msg("placers: entry answers")
	}
	if !reply.Chooses {
		l.pausedUntil = now.Add(tryPeriod)
		return
	}
	if p.zones == nil {
		p.zones = make(map[fleet.Zone]time.Time)
	}
	for _, zone := range reply.Zones {
		p.zones[zone] = now
	}
}

// failed notes that an entry gave no answer to a question.
func (p *ChooserSet) failed(entry fleet.Entry, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent(entry, p.listener(entry.ID), time.Now(), err)
}

// silent notes that an entry gave no answer; the caller holds the lock.
func (p *ChooserSet) silent(entry fleet.Entry, l *listener, now time.Time, err error) {
	if l.chooses {
		p.Log.Warn().Str("peer", string(entry.ID)).Err(err).Msg("placers: entry is silent")
	}
	l.chooses = false
	l.pausedUntil = now.Add(silentPause)
}
