// Package placement chooses the endpoints that may serve a request.
package placement

import (
	"cmp"
	"slices"
	"time"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
)

// View is the immutable input of a placement decision.
type View struct {
	// Endpoints holds the known endpoints.
	Endpoints map[fleet.EndpointID]fleet.Endpoint
	// Loads holds the last reported loads.
	Loads map[fleet.EndpointID]fleet.Load
	// Zones holds the zone states set by operators.
	Zones map[fleet.Zone]config.ZoneState
	// Reports holds the last reports of the endpoints' owners.
	Reports map[fleet.EndpointID]Report
	// Local is the availability zone of the deciding entry.
	Local fleet.Zone
	// Index is the index of the fields above; if it is nil, a policy that needs it builds it for each decision.
	Index *Index
}

// Need holds the requirements of a request.
type Need struct {
	// Request is the ID of the request, for log messages only.
	Request fleet.RequestID
	// Pool is the pool whose endpoints can serve the request.
	Pool fleet.PoolName
	// Account is the client account.
	Account fleet.AccountID
	// PromptTokens is the length of the prompt.
	PromptTokens fleet.Tokens
	// MaxTokens is the maximum length of the answer.
	MaxTokens fleet.Tokens
	// Objective is the caller's target for the time to the first token, or 0.
	Objective time.Duration
	// PauseObjective is the caller's target for the longest pause within the answer, or 0.
	PauseObjective time.Duration
	// WaitedAfterRefusal reports whether the caller was refused before and has waited since.
	WaitedAfterRefusal bool
	// Weight is the fair-share weight of the account relative to others, and Rank the rank of the route; rank 0 is the
	// most urgent.
	Weight float64
	Rank   int
	// ArrivedAt is when the request arrived at the entry that has its caller, and LatestStart when its first token is due
	// at the latest; zero means that they are unknown.
	ArrivedAt, LatestStart time.Time
	// MayWait reports whether the reply may be that the request has to wait.
	MayWait bool
	// FreeSlotOnly reports whether a long prompt must not queue at an engine. The chooser sets it while more urgent or
	// equally urgent requests wait for a free slot.
	FreeSlotOnly bool
	// ExpectedOutput is the expected length of the answer, or 0 if it is unknown.
	ExpectedOutput fleet.Tokens
	// Prefixes holds the prefixes of the prompt, the shortest first.
	Prefixes []Prefix
	// DecidedAt is the time for which the endpoints are chosen; zero means now.
	DecidedAt time.Time
	// Zone is the zone of the entry that sends the request to its endpoint.
	Zone fleet.Zone
	// Excluded holds the endpoints that must not be chosen, such as those that have refused or failed this request.
	Excluded map[fleet.EndpointID]bool
}

// Policy orders the endpoints that may serve a request, the best first.
type Policy interface {
	// Candidates returns the endpoints to try in order; it returns none if no endpoint can serve the request now.
	Candidates(view View, need Need) []fleet.Endpoint
}

// LeastLoaded prefers the local availability zone, then the endpoint with the least memory in use. Only tests use it.
type LeastLoaded struct{}

// Candidates returns the endpoints of the pool that accept requests and are not excluded: those of the local zone
// first, then those of all other zones together, each group by ascending memory in use.
func (LeastLoaded) Candidates(view View, need Need) []fleet.Endpoint {
	var found []fleet.Endpoint
	for id, endpoint := range view.Endpoints {
		if endpoint.Pool != need.Pool || need.Excluded[id] || !acceptsRequests(view, endpoint) {
			continue
		}
		found = append(found, endpoint)
	}
	slices.SortFunc(found, func(a, b fleet.Endpoint) int {
		return cmp.Or(
			cmp.Compare(remote(view, a), remote(view, b)),
			cmp.Compare(view.Loads[a.ID].UsedMemory, view.Loads[b.ID].UsedMemory),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return found
}

// acceptsRequests reports whether an endpoint is live and its zone not drained.
func acceptsRequests(view View, endpoint fleet.Endpoint) bool {
	return endpoint.State == fleet.StateLive && !view.Zones[endpoint.Zone].Drained
}

// remote returns 0 for an endpoint of the local availability zone and 1 for any other.
func remote(view View, endpoint fleet.Endpoint) int {
	if endpoint.Zone == view.Local {
		return 0
	}
	return 1
}
