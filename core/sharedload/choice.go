package sharedload

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// Role is what an entry is to the one that asks it for a choice.
type Role int

// The roles of an entry that chooses.
const (
	// RoleAlone chooses for itself, since no other entry answers.
	RoleAlone Role = iota
	// RoleZone chooses for the entries of its availability zone that can't reach the leader.
	RoleZone
	// RoleLeader chooses for all entries.
	RoleLeader
)

// Choice is where a request goes.
type Choice struct {
	// Chooser is the entry that chose; it is not part of messages.
	Chooser fleet.EntryID
	// Endpoint answers the request.
	Endpoint fleet.EndpointID
	// Helpers read parts of its prompt.
	Helpers []reservation.Helper
	// Stored is the memory that each helper lends; nil if none lends any.
	Stored []fleet.Tokens
	// Part is how long each of them reads.
	Part time.Duration
	// Predicted is the time to the first token.
	Predicted time.Duration
	// Work is what the request takes at the endpoints until it ends.
	Work map[fleet.EndpointID]Usage
}

// reading returns what the request takes at the endpoints until its prompt has been read.
func (c Choice) reading() map[fleet.EndpointID]Usage {
	if c.Part <= 0 {
		return nil
	}
	part := Usage{Reading: c.Part}
	usages := map[fleet.EndpointID]Usage{c.Endpoint: part}
	for _, h := range c.Helpers {
		usages[h.Endpoint] = part
	}
	return usages
}

// usages returns all that the request takes at first.
func (c Choice) usages() map[fleet.EndpointID]Usage {
	sum := c.reading()
	if sum == nil {
		return c.Work
	}
	for id, u := range c.Work {
		sum[id] = sum[id].add(u)
	}
	return sum
}
