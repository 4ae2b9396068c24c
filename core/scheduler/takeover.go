package scheduler

import (
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/warmup"
)

// Handover is what an owner gives to the next owner of an endpoint.
type Handover struct {
	// Endpoint is the endpoint handed over.
	Endpoint fleet.EndpointID
	// Fence is the fencing number of the owner that gives it up.
	Fence fleet.Fence
	// Resyncing tells that its owner still learned what the endpoint runs.
	Resyncing bool
	// Generation is the last one granted.
	Generation fleet.Generation
	// Granted is the number of prompt tokens granted so far by priority at the endpoint, in steps of priorityStep.
	Granted [priorityLevels]fleet.Tokens
	// Reservations are those not yet released.
	Reservations []ledger.Reservation
	// Strays is the memory that no reservation explains.
	Strays []ledger.Stray
	// Warmth is what the endpoint bears.
	Warmth warmup.State
}

// Takeover tells how a new owner begins.
type Takeover struct {
	// Handover is what the former owner gave, or nil.
	Handover *Handover
	// Resync asks to learn from the endpoint what it runs; it is also done when there is no Handover.
	Resync bool
}
