package scheduler

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/warmup"
)

// Status is what the owner tells of an endpoint, for placement by other entries and for operators.
type Status struct {
	// Endpoint is the endpoint.
	Endpoint fleet.EndpointID
	// Fence is the fencing number in use.
	Fence fleet.Fence
	// MeasuredAt is when the figures were true.
	MeasuredAt time.Time
	// Accepting tells whether new work is taken.
	Accepting bool
	// Resyncing tells whether the owner still learns what the endpoint runs.
	Resyncing bool
	// Memory is the whole memory.
	Memory fleet.Tokens
	// Used is the memory reserved, held and unexplained together.
	Used fleet.Tokens
	// Held is the part of Used whose lease has lapsed or that no reservation explains.
	Held fleet.Tokens
	// FreeShort is the memory that a short request could get now.
	FreeShort fleet.Tokens
	// FreeLong is the memory that a long request could get now.
	FreeLong fleet.Tokens
	// Running counts the reservations in force.
	Running int
	// PrefillingLong counts the long prompts that are being read.
	PrefillingLong int
	// LongSlots is the number of long prompts that may be read at once now.
	LongSlots int
	// Queue counts the requests that wait.
	Queue int
	// Backlog is the work that waits, in prompt tokens or their like.
	Backlog float64
	// WaitShort is the predicted wait of a short request of an account without backlog.
	WaitShort time.Duration
	// WaitLong is the predicted wait of a long request of an account without backlog.
	WaitLong time.Duration
	// Warmth tells whether the endpoint is cold, its limit and its pace.
	Warmth warmup.State
	// Accounts tells what waits by account.
	Accounts []AccountStatus
}

// AccountStatus is what waits of one account.
type AccountStatus struct {
	// Account is the client account.
	Account fleet.AccountID
	// Queue counts its requests that wait.
	Queue int
	// Backlog is its work that waits, in prompt tokens or their like.
	Backlog float64
}

// Prediction is when a request would get its first token and its whole answer.
type Prediction struct {
	// Start is when the first token is predicted.
	Start time.Time
	// Finish is when the whole answer is predicted.
	Finish time.Time
}
