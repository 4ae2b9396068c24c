package mirror

import (
	"sync"
	"time"
)

// Contact tracks since when the store has answered without an outage, as far as this entry and those through which it reads
// can tell. That one entry loses its connection is no outage of the store: endpoints go on writing their rows. The fields must be
// set before the first call of a method; all times are on the clock of the tables.
type Contact struct {
	// MinOutage is the shortest time without an answer to this entry that counts as an outage: the interval at which
	// endpoints write to the store, since fewer missed writes make no row lapse.
	MinOutage time.Duration

	mu sync.Mutex
	// answered reports whether there was an answer, and since when there was no outage.
	answered bool
	since    time.Duration
	// outage reports whether since is the end of an outage, or else the first answer.
	outage bool
	// lost reports whether this entry has had no answer since lostAt.
	lost   bool
	lostAt time.Duration
	// era is the latest era of the store.
	era int64
}

// RecordLoss records that this entry got no answer from the store, or from an entry through which it reads, from a time on.
func (c *Contact) RecordLoss(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lost {
		c.lost, c.lostAt = true, at
	}
}

// RecordDirect records an answer of the store to this entry.
func (c *Contact) RecordDirect(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordAnswer(at, c.lost && at-c.lostAt > c.MinOutage)
}

// RecordRelayed records an answer of another entry, which knows that the store has answered without an outage since a time.
// If that began before this entry lost the store, there was no outage.
func (c *Contact) RecordRelayed(since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordAnswer(since, c.lost && since > c.lostAt)
}

// RecordRestored records that the store came back from a copy in a later era, since a time at the latest.
func (c *Contact) RecordRestored(era int64, since time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era <= c.era {
		return
	}
	c.era = era
	c.recordAnswer(since, true)
}

// Since returns since when the store has answered without an outage; it reports false if it has not answered yet.
func (c *Contact) Since() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.answered
}

// Outage returns the end of the latest outage; it reports false if there was none.
func (c *Contact) Outage() (endedAt time.Duration, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.outage
}

// recordAnswer ends the time without an answer, which was an outage until since if outage is set; the caller holds the lock.
func (c *Contact) recordAnswer(since time.Duration, outage bool) {
	switch {
	case outage:
		c.since, c.outage = max(c.since, since), true
	case !c.answered:
		c.since = since
	}
	c.answered, c.lost = true, false
}
