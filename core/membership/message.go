// Package membership finds the live entries of an availability zone by probes and gossip.
//
// Source: A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", DSN 2002.
package membership

import (
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/timeline"
)

// Status is the state of an entry as another entry believes it to be.
type Status uint8

// The statuses in the order in which they override each other within one incarnation.
const (
	// StatusAlive entries answer probes.
	StatusAlive Status = iota
	// StatusSuspect entries failed a probe and may still refute the suspicion.
	StatusSuspect
	// StatusDead entries did not refute the suspicion in time.
	StatusDead
	// StatusLeft entries have announced that they leave.
	StatusLeft
)

// Update is the status of one entry, which is distributed by gossip.
type Update struct {
	// Entry is the entry, at the incarnation that has the status.
	Entry fleet.Entry
	// Status is the entry's status.
	Status Status
}

// overrides reports whether the update replaces an older one about the same entry.
func (u Update) overrides(old Update) bool {
	if u.Entry.Incarnation != old.Entry.Incarnation {
		return u.Entry.Incarnation > old.Entry.Incarnation
	}
	return u.Status > old.Status
}

// isSuspicion reports whether the update says that the entry is suspect or dead.
func (u Update) isSuspicion() bool {
	return u.Status == StatusSuspect || u.Status == StatusDead
}

// Message is a probe or its reply; both carry gossip.
type Message struct {
	// From is the sender.
	From fleet.Entry
	// Stamp is the sender's hybrid logical clock.
	Stamp timeline.Timestamp
	// ViewHash is a hash of the sender's view; the reply to a message with another view contains more updates.
	ViewHash uint64
	// Join requests the members of the zone in the reply, up to maxJoinUpdates.
	Join bool
	// Updates are updates that the sender passes on.
	Updates []Update
}
