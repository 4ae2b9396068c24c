package sharedload

import (
	"time"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/ratelimit"
	"wisteriadyke/core/reservation"
)

// Role specifies for which entries a chooser chooses.
type Role int

// Roles of a choosing entry.
const (
	// RoleAlone is the role of an entry that chooses only for its own requests, because no chooser answers.
	RoleAlone Role = iota
	// RoleZone is the role of the entry that chooses for the entries of its availability zone that can't reach the
	// leader.
	RoleZone
	// RoleLeader is the role of the entry that chooses for all entries.
	RoleLeader
)

// String returns the name of the role for the log.
func (r Role) String() string {
	switch r {
	case RoleZone:
		return "zone"
	case RoleLeader:
		return "leader"
	default:
		return "alone"
	}
}

// Choice is the placement of one request.
type Choice struct {
	// Chooser is the entry that made the choice; it is not sent, but set by the entry that receives the choice.
	Chooser fleet.EntryID
	// Endpoint decodes the answer and prefills the prompt, or a part of it if there are helpers.
	Endpoint fleet.EndpointID
	// Helpers are the endpoints that prefill the other parts of the prompt.
	Helpers []reservation.Helper
	// HelperMemory is the memory to lease at each helper, in tokens; nil if none is needed.
	HelperMemory []fleet.Tokens
	// PrefillTime is how long each of the endpoints prefills its part of the prompt.
	PrefillTime time.Duration
	// passTime is the duration of a pass of Endpoint without prefill; it is not sent.
	passTime time.Duration
	// pace and prefillWait are what the chooser assumed of Endpoint, for the log; they are not sent.
	pace        cost.Estimate
	prefillWait time.Duration
	// Predicted is the predicted time to the first token, or 0 for a call to a plain service.
	Predicted time.Duration
	// Usages is the usage by endpoint that lasts until the attempt ends; it excludes the prefill.
	Usages map[fleet.EndpointID]Usage
	// Limit is what Endpoint last said of its limit, or nil if it never had one. The entry that sends the request can thus
	// tell whether the response ends the limit.
	Limit *ratelimit.Statement
	// Waiting reports that the request has no endpoint yet and should be asked for again at once; PredictedStart is when
	// its first token is predicted then, counted from the reply. The other fields are empty.
	Waiting        bool
	PredictedStart time.Duration
	// LostPaths are reports of paths from the zone of the entry that the choice is for.
	LostPaths []outlier.PathReport

	// replacesLost reports whether a lost endpoint would have been the first choice.
	replacesLost bool
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

// initialUsages returns the usage by endpoint at the start of the attempt: the sum of Usages and the prefill usage.
func (c Choice) initialUsages() map[fleet.EndpointID]Usage {
	sum := c.prefillUsages()
	if sum == nil {
		return c.Usages
	}
	for id, u := range c.Usages {
		sum[id] = sum[id].add(u)
	}
	return sum
}
