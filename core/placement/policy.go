// Package placement chooses the endpoints that may serve a request.
package placement

import (
	"cmp"
	"slices"
	"time"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
)

// View is what a placement is decided on; it is never written.
type View struct {
	// Endpoints holds the known endpoints.
	Endpoints map[fleet.EndpointID]fleet.Endpoint
	// Loads holds the last reported loads.
	Loads map[fleet.EndpointID]fleet.Load
	// Zones holds the operators' decisions on availability zones.
	Zones map[fleet.Zone]config.ZoneState
	// Reports holds what owners last told of endpoints.
	Reports map[fleet.EndpointID]Report
	// Local is the availability zone of the deciding entry.
	Local fleet.Zone
	// Index is built of the fields above; a policy that needs one builds it at every decision if it is nil.
	Index *Index
}

// Need is what a request asks of an endpoint.
type Need struct {
	// Request names the request, for messages only.
	Request fleet.RequestID
	// Pool names the endpoints that can serve it.
	Pool fleet.PoolName
	// Account is the client account.
	Account fleet.AccountID
	// PromptTokens is the length of the prompt.
	PromptTokens fleet.Tokens
	// MaxTokens is the largest length of the answer.
	MaxTokens fleet.Tokens
	// Objective is the time to the first token that the caller hopes for, or 0.
	Objective time.Duration
	// PauseObjective is the longest pause within the answer that the caller hopes for, or 0.
	PauseObjective time.Duration
	// WaitedAfterRefusal tells that the caller was refused before and has waited since.
	WaitedAfterRefusal bool
	// Prefixes holds the digests of the prompt's beginnings, the shortest first.
	Prefixes []Prefix
	// At is when the decision is made; zero stands for now.
	At time.Time
	// Excluded holds endpoints that have refused or failed this request.
	Excluded map[fleet.EndpointID]bool
}

// Policy orders the endpoints that may serve a request, the best first.
type Policy interface {
	// Candidates returns the endpoints to try in order; none means that no endpoint can take the request now.
	Candidates(view View, need Need) []fleet.Endpoint
}

// LeastLoaded prefers the local availability zone, then the least used endpoint.
type LeastLoaded struct{}

// Candidates returns the endpoints of the pool that take new work, the local and least used first.
func (LeastLoaded) Candidates(view View, need Need) []fleet.Endpoint {
	var found []fleet.Endpoint
	for id, endpoint := range view.Endpoints {
		if endpoint.Pool != need.Pool || need.Excluded[id] || !open(view, endpoint) {
			continue
		}
		found = append(found, endpoint)
	}
	slices.SortFunc(found, func(a, b fleet.Endpoint) int {
		return cmp.Or(
			cmp.Compare(remote(view, a), remote(view, b)),
			cmp.Compare(view.Loads[a.ID].Used, view.Loads[b.ID].Used),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return found
}

// open tells whether an endpoint takes new work.
func open(view View, endpoint fleet.Endpoint) bool {
	return endpoint.State == fleet.StateLive && !view.Zones[endpoint.Zone].Drained
}

// remote is 0 for an endpoint of the local availability zone and 1 for any other.
func remote(view View, endpoint fleet.Endpoint) int {
	if endpoint.Zone == view.Local {
		return 0
	}
	return 1
}
