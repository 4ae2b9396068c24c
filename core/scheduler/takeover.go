package scheduler

import (
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/warmup"
)

// Handover is the state that an owner passes to the next owner of an endpoint.
type Handover struct {
	// Endpoint is the id of the endpoint.
	Endpoint fleet.EndpointID
	// Fence is the fencing token of the former owner.
	Fence fleet.Fence
	// Resyncing reports whether the former owner was still reconciling with what the endpoint runs.
	Resyncing bool
	// Generation is the last generation granted.
	Generation fleet.Generation
	// Granted holds the uncached prompt tokens granted so far, indexed by engine priority divided by priorityStep.
	Granted [priorityLevels]fleet.Tokens
	// Reservations holds the reservations that have not been released.
	Reservations []ledger.Reservation
	// Strays holds the stray memory.
	Strays []ledger.Stray
	// Warmth holds whether the endpoint is cold, its limits and its pace.
	Warmth warmup.State
}

// Takeover describes how a new owner starts.
type Takeover struct {
	// Handover is the state passed by the former owner, or nil.
	Handover *Handover
	// Resync requests reconciliation with what the endpoint runs; it is implied if Handover is nil or its Resyncing is
	// set.
	Resync bool
}
