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
	// HelperMemory is the memory that each helper lends; nil if none lends any.
	HelperMemory []fleet.Tokens
	// PrefillTime is how long each of them reads.
	PrefillTime time.Duration
	// Predicted is the time to the first token.
	Predicted time.Duration
	// Usage is what the request takes at the endpoints until it ends.
	Usage map[fleet.EndpointID]Usage
}

// reading returns what the request takes at the endpoints until its prompt has been read.
func (c Choice) reading() map[fleet.EndpointID]Usage {
	if c.PrefillTime <= 0 {
		return nil
	}
	part := Usage{PrefillTime: c.PrefillTime}
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
		return c.Usage
	}
	for id, u := range c.Usage {
		sum[id] = sum[id].add(u)
	}
	return sum
}
