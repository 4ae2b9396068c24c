// Package membership finds the live entries of an availability zone by probes and gossip. An entry that reaches the
// majority of its zone holds a lease.
//
// Source: A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", DSN 2002.
package membership

import (
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/timeline"
)

// Status says whether an entry is alive, as seen by another entry.
type Status uint8

// The statuses of an entry. Within one incarnation, a later one overrides an earlier one.
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

// Update is the status of one entry at one incarnation; updates are distributed by gossip.
type Update struct {
	// Entry is the entry, at the incarnation that has the status.
	Entry fleet.Entry
	// Status is the entry's status.
	Status Status
}

// overrides reports whether the update replaces old, which is about the same entry.
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
	// Timestamp is the time of the sender's hybrid logical clock when it sent the message.
	Timestamp timeline.Timestamp
	// ViewHash is a hash of the sender's view of its zone. The reply contains additional updates if the receiver's hash
	// differs.
	ViewHash uint64
	// Join requests additional updates about members of the zone in the reply, up to maxJoinUpdates.
	Join bool
	// Updates holds the sender's gossip.
	Updates []Update
}
