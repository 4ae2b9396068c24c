// Package membership finds the live entries of an availability zone by probes and gossip.
//
// Source: A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", DSN 2002.
package membership

import (
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/timeline"
)

// Status is what an entry believes of another.
type Status uint8

// The beliefs in the order in which they override each other at one incarnation.
const (
	// StatusAlive entries answer probes.
	StatusAlive Status = iota
	// StatusSuspect entries failed a probe and may still refute it.
	StatusSuspect
	// StatusDead entries did not refute the suspicion in time.
	StatusDead
	// StatusLeft entries said that they leave.
	StatusLeft
)

// Update is one belief that spreads by gossip.
type Update struct {
	// Entry is the entry at the incarnation that the belief is about.
	Entry fleet.Entry
	// Status is the belief.
	Status Status
}

// overrides tells whether the update replaces an older belief about the same entry.
func (u Update) overrides(old Update) bool {
	if u.Entry.Incarnation != old.Entry.Incarnation {
		return u.Entry.Incarnation > old.Entry.Incarnation
	}
	return u.Status > old.Status
}

// doubts tells whether the update says that an entry may not be alive.
func (u Update) doubts() bool {
	return u.Status == StatusSuspect || u.Status == StatusDead
}

// Message is a probe or its answer; both carry gossip.
type Message struct {
	// From is the sender.
	From fleet.Entry
	// Stamp is the sender's hybrid logical clock.
	Stamp timeline.Timestamp
	// ViewHash is a hash of the sender's beliefs, which tells when two entries have to compare them.
	ViewHash uint64
	// Join asks for all members in the answer.
	Join bool
	// Updates are beliefs of the sender.
	Updates []Update
}
