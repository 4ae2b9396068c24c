package sharedload

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// Role is the role in which an entry chooses for the one that asks it.
type Role int

// Roles of a choosing entry.
const (
	// RoleAlone chooses for itself only, since no chooser answers.
	RoleAlone Role = iota
	// RoleZone chooses for the entries of its availability zone that can't reach the leader.
	RoleZone
	// RoleLeader chooses for all entries.
	RoleLeader
)

// Choice is the placement of one request.
type Choice struct {
	// Chooser is the entry that chose; it is not part of messages.
	Chooser fleet.EntryID
	// Endpoint decodes the answer and takes part in the prefill.
	Endpoint fleet.EndpointID
	// Helpers are the endpoints that prefill parts of the prompt.
	Helpers []reservation.Helper
	// HelperMemory is the memory to lease at each helper, in tokens; nil if none is needed.
	HelperMemory []fleet.Tokens
	// PrefillTime is the prefill time at each of the endpoints.
	PrefillTime time.Duration
	// Predicted is the predicted time to the first token.
	Predicted time.Duration
	// Usage is the usage of the request by endpoint until it ends.
	Usage map[fleet.EndpointID]Usage
}

// prefillUsages returns the usage by endpoint that lasts until the prompt is prefilled.
func (c Choice) prefillUsages() map[fleet.EndpointID]Usage {
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

// initialUsages returns the usage by endpoint at the start of the request: Usage with the prefill.
func (c Choice) initialUsages() map[fleet.EndpointID]Usage {
	sum := c.prefillUsages()
	if sum == nil {
		return c.Usage
	}
	for id, u := range c.Usage {
		sum[id] = sum[id].add(u)
	}
	return sum
}
