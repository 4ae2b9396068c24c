// Package reservation defines the messages between the entry that serves a request and the entry that grants the
// reservation for it. The latter, called the owner, is the entry that owns the endpoint or, without endpoint owners,
// the entry that chooses it.
package reservation

import (
	"errors"
	"net/netip"
	"time"

	"wisteriadyke/core/fleet"
)

// Request requests a reservation for one attempt.
type Request struct {
	// Endpoint is the requested endpoint, or "" if the owner chooses one of the pool.
	Endpoint fleet.EndpointID
	// Pool is the pool from which the owner chooses.
	Pool fleet.PoolName
	// Excluded holds endpoints that must not be chosen; it is not sent to owners on other entries.
	Excluded map[fleet.EndpointID]bool
	// WaitedAfterRefusal reports whether the caller was refused before and has waited since.
	WaitedAfterRefusal bool
	// Request identifies the caller's request.
	Request fleet.RequestID
	// Attempt identifies the attempt.
	Attempt fleet.AttemptID
	// Entry is the entry that will run the attempt.
	Entry fleet.EntryID
	// Account is the client account that is charged.
	Account fleet.AccountID
	// Class is the request class.
	Class fleet.ClassName
	// Weight is the fair-share weight of the account relative to others; it is positive.
	Weight float64
	// Priority orders the requests of one account; larger values go first.
	Priority int
	// PromptTokens is the length of the prompt.
	PromptTokens fleet.Tokens
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens fleet.Tokens
	// LengthHint is the caller's estimate of the length of the answer, or 0, and Received the part of the answer that the
	// caller already has.
	LengthHint, Received fleet.Tokens
	// CachedTokens is the estimated number of leading prompt tokens that the endpoint has cached.
	CachedTokens fleet.Tokens
	// Objective is the caller's target for the time to the first token, or 0.
	Objective time.Duration
	// PauseObjective is the caller's target for the longest pause within the answer, or 0.
	PauseObjective time.Duration
	// FirstTokenDeadline is when the first token is due.
	FirstTokenDeadline time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// ArrivedAt is when the request arrived at the entry that has its caller, and LatestStart when its first token is of
	// use at the latest; zero means that they are unknown. Only the entry that runs the attempt uses these two and the next
	// two fields.
	ArrivedAt, LatestStart time.Time
	// MayWait reports whether the request may wait for an endpoint: no attempt of it may have run, and its caller has no
	// part of the answer.
	MayWait bool
	// BodyBytes is the size of the request's body.
	BodyBytes int64
	// Exclusive requests that nothing else runs on the endpoint during the attempt; it is set for requests that are
	// suspected of crashing endpoints.
	Exclusive bool
}

// Grant is the permission to run one attempt on one endpoint.
type Grant struct {
	// Endpoint is the reserved endpoint.
	Endpoint fleet.EndpointID
	// Reservation identifies the reservation.
	Reservation fleet.ReservationID
	// Generation is the generation of the reservation; Progress and Release must repeat it.
	Generation fleet.Generation
	// Fence is the fencing token to send with the attempt.
	Fence fleet.Fence
	// Owner is the entry that granted the reservation: the endpoint's owner or, without endpoint owners, the entry that
	// chose the endpoint.
	Owner fleet.EntryID
	// Priority is the priority to request from the engine; larger values go first.
	Priority int
	// Lease is how long the reservation lasts without a renewal, or 0 if the owner does not specify it.
	Lease time.Duration
	// Predicted is the predicted time to the first token, or 0.
	Predicted time.Duration
	// OverdueAfter is the time without a first token after which the progress is reported once, or 0.
	OverdueAfter time.Duration
	// StallAfter is the time without a first token after which the request may be moved to another endpoint, or 0.
	StallAfter time.Duration
	// Helpers are the endpoints that prefill parts of the prompt besides the reserved one.
	Helpers []Helper
	// ConnectTimeout is how long to wait for a connection to the endpoint, or 0 for the usual timeout.
	ConnectTimeout time.Duration
	// Waited is how long the request waited for the endpoint, or 0 if it was not allowed to wait.
	Waited time.Duration
}

// ErrOrderRejected means that an engine answered a memory order with an error status.
var ErrOrderRejected = errors.New("engine rejected the memory order")

// Helper is an endpoint that prefills a part of a prompt for another endpoint.
type Helper struct {
	// Endpoint is the ID of the helper.
	Endpoint fleet.EndpointID
	// Address is where the helper listens.
	Address netip.AddrPort
	// Incarnation is the registered incarnation of the helper, or 0.
	Incarnation fleet.Incarnation
	// Ticket identifies the memory lease at the helper, or is "" if there is none.
	Ticket string
}

// Outcome is how an attempt ended.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeDone means that the answer was received completely.
	OutcomeDone Outcome = "done"
	// OutcomeCanceled means that the entry canceled the attempt and the endpoint confirmed it, or that the grant was not
	// used for an attempt.
	OutcomeCanceled Outcome = "canceled"
	// OutcomeNotRun means that the endpoint never received the attempt.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeNotConnected means that no connection was established within the grant's ConnectTimeout and the endpoint never
	// received the attempt. The cause may be a lack of processor time at this entry.
	OutcomeNotConnected Outcome = "not_connected"
	// OutcomeNotSent means that the entry did not send the attempt for a reason of its own, which says nothing about the
	// endpoint.
	OutcomeNotSent Outcome = "not_sent"
	// OutcomeBroken means that the attempt ended without a confirmed end at the endpoint, usually because the
	// connection broke.
	OutcomeBroken Outcome = "broken"
	// OutcomeFailed means that the endpoint ran the attempt and answered with a failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeRefused means that the endpoint refused the attempt.
	OutcomeRefused Outcome = "refused"
)

// Release releases a reservation and reports the outcome, the number of tokens and the times of its attempt.
type Release struct {
	// Endpoint is the reserved endpoint.
	Endpoint fleet.EndpointID
	// Owner is the entry that granted the reservation, as in Grant.
	Owner fleet.EntryID
	// Reservation identifies the reservation.
	Reservation fleet.ReservationID
	// Generation is the generation of the grant.
	Generation fleet.Generation
	// Outcome is how the attempt ended.
	Outcome Outcome
	// FailedHelper is the prefill helper because of which the endpoint refused the attempt, or "".
	FailedHelper fleet.EndpointID
	// Attempted is the incarnation that was listed when the attempt was sent, or 0.
	Attempted fleet.Incarnation
	// CutShort reports whether the entry ended the attempt early: its caller left, its deadline passed, or the request is
	// suspected of crashing endpoints.
	CutShort bool
	// Incarnation is the incarnation of the endpoint that answered, or 0.
	Incarnation fleet.Incarnation
	// PrefilledTokens is the number of prompt tokens that were prefilled, which excludes cached ones.
	PrefilledTokens fleet.Tokens
	// TimeToFirstToken is the time from dispatch to the first token, or 0 if none arrived.
	TimeToFirstToken time.Duration
	// GeneratedTokens is the number of generated tokens.
	GeneratedTokens fleet.Tokens
	// DecodeTime is the time from the first to the last token, or 0 if fewer than two arrived.
	DecodeTime time.Duration
}

// Progress reports the progress of an attempt and renews its reservation.
type Progress struct {
	// Endpoint is the reserved endpoint.
	Endpoint fleet.EndpointID
	// Owner is the entry that granted the reservation, as in Grant.
	Owner fleet.EntryID
	// Reservation identifies the reservation.
	Reservation fleet.ReservationID
	// Generation is the generation of the grant; it distinguishes the grant from others to the same request on the
	// endpoint.
	Generation fleet.Generation
	// Incarnation is the incarnation of the endpoint that answers, or 0.
	Incarnation fleet.Incarnation
	// Started reports whether the first token has arrived.
	Started bool
	// Position is the number of tokens generated so far.
	Position fleet.Tokens
	// PrefilledTokens is the number of prompt tokens that were prefilled, or 0 before the first token has arrived.
	PrefilledTokens fleet.Tokens
	// TimeToFirstToken is the time from dispatch to the first token, or 0 before it has arrived.
	TimeToFirstToken time.Duration
}

// Reason is the reason of a refusal.
type Reason string

// The reasons of a refusal.
const (
	// ReasonNotOwner means that the entry does not own the endpoint.
	ReasonNotOwner Reason = "not_owner"
	// ReasonUnknownReservation means that the owner has no reservation with that ID and generation.
	ReasonUnknownReservation Reason = "unknown_reservation"
	// ReasonLeaving means that the endpoint or its availability zone accepts no new work; without endpoint owners, that
	// the chosen endpoints were unknown to the requesting entry, out of service or unreachable.
	ReasonLeaving Reason = "leaving"
	// ReasonTooLate means that the first token or the end of the answer is predicted after its deadline.
	ReasonTooLate Reason = "too_late"
	// ReasonQueueFull means that the queue of the endpoint is full, or holds as many requests of the account as it may;
	// without endpoint owners, that all usable endpoints of the pool are full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTooLarge means that the request needs more memory than the endpoint has.
	ReasonTooLarge Reason = "too_large"
	// ReasonUnreachable means that the owner was unreachable, or that the endpoint it chose has been removed meanwhile.
	ReasonUnreachable Reason = "unreachable"
	// ReasonResynchronizing means that a new owner is still reconciling its ledger with what the endpoint runs.
	ReasonResynchronizing Reason = "resynchronizing"
	// ReasonNoMemory means that helpers did not lease the memory that a long prompt needs.
	ReasonNoMemory Reason = "no_memory"
	// ReasonNoEndpoint means that the pool is unknown, or has no endpoint in service that is not excluded.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonPoolBehind means that the pool has no room for a long prompt, or could not catch up with it without making
	// many other requests late.
	ReasonPoolBehind Reason = "pool_behind"
	// ReasonPaused means that all endpoints of the pool that are in service are unusable and that some of them asked this
	// entry to send no requests for a time.
	ReasonPaused Reason = "paused"
	// ReasonRateLimited means that endpoints of the pool state limits that are reached.
	ReasonRateLimited Reason = "rate_limited"
	// ReasonWaitTooLong means that the first token of a request that has to wait for an endpoint is predicted after its
	// caller gives up.
	ReasonWaitTooLong Reason = "wait_too_long"
	// ReasonWaitingFull means that as many requests wait for an endpoint as the pool serves while callers wait.
	ReasonWaitingFull Reason = "waiting_full"
	// ReasonWaitingMemory means that the bodies of the requests that wait at the entry use all memory set aside for them.
	ReasonWaitingMemory Reason = "waiting_memory"
	// ReasonEntryStopping means that the entry at which the request waited stops to serve.
	ReasonEntryStopping Reason = "entry_stopping"
	// ReasonCold means that the endpoint is in a cold start and has reached its limit; without endpoint owners, that an
	// endpoint, which may be warm, has reached its rate limit.
	ReasonCold Reason = "cold"
)

// EndsWait reports whether a refusal ends the wait of a request for an endpoint. Its RetryAfter is meant for the caller
// and has a jitter already.
func (r Reason) EndsWait() bool {
	switch r {
	case ReasonWaitTooLong, ReasonWaitingFull, ReasonWaitingMemory, ReasonEntryStopping:
		return true
	default:
		return false
	}
}

// Refusal is the error of a reservation call that the owner refused or that did not reach it.
type Refusal struct {
	// Reason is the reason of the refusal.
	Reason Reason
	// RetryAfter is how long to wait before a retry; zero means that another endpoint may be tried at once.
	RetryAfter time.Duration
	// PredictedStart is the predicted time of the first token, or zero.
	PredictedStart time.Time
}

// Error returns the reason of the refusal.
func (r *Refusal) Error() string {
	return "reservation refused: " + string(r.Reason)
}
