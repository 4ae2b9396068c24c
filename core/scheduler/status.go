package scheduler

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/warmup"
)

// Status describes an owned endpoint, for placement by other entries and for operators.
type Status struct {
	// Endpoint is the id of the endpoint.
	Endpoint fleet.EndpointID
	// Fence is the current fencing token.
	Fence fleet.Fence
	// MeasuredAt is the time of the status.
	MeasuredAt time.Time
	// Accepting reports whether the endpoint accepts new requests.
	Accepting bool
	// Resyncing reports whether the owner is still reconciling with what the endpoint runs.
	Resyncing bool
	// Memory is the total memory.
	Memory fleet.Tokens
	// Used is the sum of reserved, held and stray memory.
	Used fleet.Tokens
	// Held is the part of Used that is stray memory, or that belongs to reservations whose lease has lapsed or whose
	// stream has broken.
	Held fleet.Tokens
	// FreeShort is the memory that a short request could be granted now.
	FreeShort fleet.Tokens
	// FreeLong is the memory that a long request could be granted now.
	FreeLong fleet.Tokens
	// Running counts the active reservations.
	Running int
	// PrefillingLong counts the long prompts in prefill.
	PrefillingLong int
	// LongSlots is the current limit on long prompts in prefill.
	LongSlots int
	// Queue counts the queued requests.
	Queue int
	// Backlog is the queued work, in prompt-token equivalents.
	Backlog float64
	// WaitShort is the predicted time until the prefill of a new short request begins, if its account has no backlog.
	WaitShort time.Duration
	// WaitLong is the predicted time until the prefill of a new long request begins, if its account has no backlog.
	WaitLong time.Duration
	// Warmth holds whether the endpoint is cold, its limits and its pace.
	Warmth warmup.State
	// Accounts lists the accounts with queued requests.
	Accounts []AccountStatus
}

// AccountStatus describes the queued requests of one account.
type AccountStatus struct {
	// Account is the client account.
	Account fleet.AccountID
	// Queue counts its queued requests.
	Queue int
	// Backlog is its queued work, in prompt-token equivalents.
	Backlog float64
}

// Prediction holds the predicted times of a request.
type Prediction struct {
	// Start is the predicted time of the first token.
	Start time.Time
	// Finish is the predicted time at which the answer is complete.
	Finish time.Time
}
