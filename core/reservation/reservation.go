// Package reservation holds the messages between the entry that serves a request and the entry that owns an endpoint.
package reservation

import (
	"net/netip"
	"time"

	"wisteriadyke/core/fleet"
)

// Request asks the owner of an endpoint for the right to run one attempt there.
type Request struct {
	// Endpoint is the endpoint asked for, or "" where the owner chooses one of the pool.
	Endpoint fleet.EndpointID
	// Pool names the endpoints to choose from.
	Pool fleet.PoolName
	// Excluded holds endpoints that must not be chosen; it is not passed on to other entries' owners.
	Excluded map[fleet.EndpointID]bool
	// WaitedAfterRefusal tells that the caller was refused before and has waited since.
	WaitedAfterRefusal bool
	// Request names the caller's request.
	Request fleet.RequestID
	// Attempt names this try of it.
	Attempt fleet.AttemptID
	// Entry is the entry that will run the attempt.
	Entry fleet.EntryID
	// Account is the client account that is charged.
	Account fleet.AccountID
	// Class is the request class.
	Class fleet.ClassName
	// Weight is the share of the account relative to others; it is positive.
	Weight float64
	// Priority orders requests of one account; larger goes first.
	Priority int
	// PromptTokens is the number of prompt tokens to read.
	PromptTokens fleet.Tokens
	// MaxTokens is the largest number of tokens to generate.
	MaxTokens fleet.Tokens
	// CachedTokens is the number of leading prompt tokens that the endpoint may hold already; it is a hint.
	CachedTokens fleet.Tokens
	// Objective is the time to the first token that the caller hopes for, or 0.
	Objective time.Duration
	// PauseObjective is the longest pause within the answer that the caller hopes for, or 0.
	PauseObjective time.Duration
	// FirstTokenDeadline is when the wait for the first token ends.
	FirstTokenDeadline time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// Exclusive asks for the endpoint alone, for a request that is suspected of crashing endpoints.
	Exclusive bool
}

// Grant is the right to run one attempt on one endpoint.
type Grant struct {
	// Endpoint is the endpoint granted.
	Endpoint fleet.EndpointID
	// Reservation names the memory that is held.
	Reservation fleet.ReservationID
	// Generation numbers this reservation; a release must name it.
	Generation fleet.Generation
	// Fence is the fencing number to send with the attempt.
	Fence fleet.Fence
	// Owner is the entry that granted it.
	Owner fleet.EntryID
	// Priority is the priority to ask of the engine; larger goes first.
	Priority int
	// Lease is how long the grant lasts without progress.
	Lease time.Duration
	// Predicted is the time to the first token that was predicted, or 0.
	Predicted time.Duration
	// Helpers are the endpoints that read parts of the prompt beside the one that is granted.
	Helpers []Helper
}

// Helper is an endpoint that reads a part of a prompt for another one.
type Helper struct {
	// Endpoint is the endpoint.
	Endpoint fleet.EndpointID
	// Address is where it listens.
	Address netip.AddrPort
	// Ticket names the memory that is reserved there, or "" if it lends none.
	Ticket string
}

// Outcome tells how an attempt ended.
type Outcome string

// The ways in which an attempt ends.
const (
	// OutcomeDone means that the whole answer came.
	OutcomeDone Outcome = "done"
	// OutcomeCanceled means that the entry ended the attempt and the endpoint confirmed it.
	OutcomeCanceled Outcome = "canceled"
	// OutcomeNotRun means that the endpoint never took the attempt.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeBroken means that the connection broke while the attempt ran.
	OutcomeBroken Outcome = "broken"
	// OutcomeFailed means that the endpoint ran the attempt and answered with a failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeRefused means that the endpoint refused the attempt.
	OutcomeRefused Outcome = "refused"
)

// Release gives back a reservation and reports what the attempt showed of the endpoint.
type Release struct {
	// Endpoint is the endpoint that was reserved.
	Endpoint fleet.EndpointID
	// Owner is the entry that granted the reservation.
	Owner fleet.EntryID
	// Reservation names the reservation.
	Reservation fleet.ReservationID
	// Generation must be that of the grant.
	Generation fleet.Generation
	// Outcome tells how the attempt ended.
	Outcome Outcome
	// FailedHelper is the helper because of which the endpoint refused the attempt, or "".
	FailedHelper fleet.EndpointID
	// Incarnation is the life of the endpoint that answered, or 0.
	Incarnation fleet.Incarnation
	// PrefilledTokens is the number of prompt tokens that were read.
	PrefilledTokens fleet.Tokens
	// TimeToFirstToken is the time from dispatch to the first token.
	TimeToFirstToken time.Duration
	// GeneratedTokens is the number of generated tokens.
	GeneratedTokens fleet.Tokens
	// DecodeTime is the time from the first to the last token.
	DecodeTime time.Duration
}

// Progress renews a reservation.
type Progress struct {
	// Endpoint is the endpoint that was reserved.
	Endpoint fleet.EndpointID
	// Owner is the entry that granted the reservation.
	Owner fleet.EntryID
	// Reservation names the reservation.
	Reservation fleet.ReservationID
	// Generation must be that of the grant.
	Generation fleet.Generation
	// Incarnation is the life of the endpoint that answers, or 0.
	Incarnation fleet.Incarnation
	// Started tells that the first token has come.
	Started bool
	// Position is the number of tokens generated so far.
	Position fleet.Tokens
	// PrefilledTokens is the number of prompt tokens that were read, once the first token has come, or 0.
	PrefilledTokens fleet.Tokens
	// TimeToFirstToken is the time from dispatch to the first token, once it has come, or 0.
	TimeToFirstToken time.Duration
}

// Reason tells why a reservation was refused.
type Reason string

// The reasons of a refusal.
const (
	// ReasonNotOwner means that the asked entry does not own the endpoint.
	ReasonNotOwner Reason = "not_owner"
	// ReasonUnknownReservation means that the owner knows no such reservation of that generation.
	ReasonUnknownReservation Reason = "unknown_reservation"
	// ReasonLeaving means that the endpoint or its availability zone takes no new work.
	ReasonLeaving Reason = "leaving"
	// ReasonTooLate means that the predicted finish is past the bound of the class.
	ReasonTooLate Reason = "too_late"
	// ReasonQueueFull means that the bounded queue is full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTooLarge means that the request can never fit the endpoint.
	ReasonTooLarge Reason = "too_large"
	// ReasonUnreachable means that the owner could not be asked.
	ReasonUnreachable Reason = "unreachable"
	// ReasonResynchronizing means that a new owner still learns what the endpoint runs.
	ReasonResynchronizing Reason = "resynchronizing"
	// ReasonNoMemory means that engines did not lend the memory that a large prompt needs.
	ReasonNoMemory Reason = "no_memory"
	// ReasonNoEndpoint means that no endpoint of the pool is in service.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonPoolBehind means that the pool could not catch up with a long prompt without making many others late.
	ReasonPoolBehind Reason = "pool_behind"
	// ReasonCold means that the endpoint is in a cold start and bears no more now.
	ReasonCold Reason = "cold"
)

// Refusal is the error of a reservation that was not granted.
type Refusal struct {
	// Reason tells why.
	Reason Reason
	// RetryAfter is when to come back; zero means that another endpoint may be tried at once.
	RetryAfter time.Duration
	// PredictedStart is when the first token was predicted, or zero.
	PredictedStart time.Time
}

// Error returns the reason.
func (r *Refusal) Error() string {
	return "reservation refused: " + string(r.Reason)
}
