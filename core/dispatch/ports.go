// Package dispatch serves admitted requests: it places each one, reserves an endpoint, runs attempts and streams the
// answer to the caller.
package dispatch

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/retry"
)

// ReservationClient reserves endpoints for attempts. The owner of a reservation is the entry that granted it, this one
// or another: the owner of the endpoint or, without endpoint owners, the entry that chose the endpoint. Refusals are
// returned as *reservation.Refusal.
type ReservationClient interface {
	// Reserve requests a reservation and waits until it is granted or refused.
	Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error)
	// Renew reports progress and thereby renews the lease of the reservation. A refusal with ReasonUnknownReservation
	// means that the reservation has lapsed.
	Renew(ctx context.Context, progress reservation.Progress) error
	// Release releases a reservation and reports the outcome of its attempt.
	Release(ctx context.Context, release reservation.Release) error
}

// EndpointClient starts and cancels attempts on endpoints, which are model engines or plain services.
type EndpointClient interface {
	// Generate starts an attempt. Errors are *AttemptError.
	Generate(ctx context.Context, attempt Attempt) (Stream, error)
	// Cancel cancels an attempt and returns nil once the endpoint has confirmed it.
	Cancel(ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID) error
	// Incarnation queries the current incarnation of an endpoint.
	Incarnation(ctx context.Context, endpoint fleet.Endpoint) (fleet.Incarnation, error)
}

// Attempt is one try of a request on one endpoint.
type Attempt struct {
	// Endpoint is the endpoint that runs the attempt.
	Endpoint fleet.Endpoint
	// ID identifies the attempt.
	ID fleet.AttemptID
	// Request identifies the caller's request.
	Request fleet.RequestID
	// Grant is the reservation under which the attempt runs.
	Grant reservation.Grant
	// Prompt is the prompt text; "" if the prompt is opaque.
	Prompt string
	// Payload is the opaque prompt, copied from the request, that the EndpointClient sends instead of Prompt.
	Payload any
	// MaxTokens is the maximum length of the answer.
	MaxTokens fleet.Tokens
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// ResumeAfter is the position after which the answer continues.
	ResumeAfter fleet.Tokens
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events of an attempt.
const (
	// EventStarted means that the endpoint has accepted the attempt.
	EventStarted EventKind = "started"
	// EventPrefilled means that the engine has prefilled the prompt; the dispatcher ignores this event.
	EventPrefilled EventKind = "prefilled"
	// EventToken carries one piece of the answer.
	EventToken EventKind = "token"
	// EventDone ends a complete answer.
	EventDone EventKind = "done"
)

// Event is one event in the stream of an attempt.
type Event struct {
	// Kind is the kind of the event.
	Kind EventKind
	// Position is the number of tokens generated so far, including this one; in EventDone it is the length of the
	// answer.
	Position fleet.Tokens
	// Text is the piece of the answer.
	Text string
	// CachedTokens is the number of prompt tokens that the engine already had in its KV cache. The stand-in of the engine
	// sets it only in EventPrefilled and EventDone; the dispatcher reads it only in the first EventToken.
	CachedTokens fleet.Tokens
	// Incarnation is the incarnation of the endpoint.
	Incarnation fleet.Incarnation
	// ResponseHeader is the response header, set in EventStarted; the dispatcher passes it to a ResponseHeaderSink as
	// an opaque value.
	ResponseHeader any
}

// Stream yields the events of one attempt in order.
type Stream interface {
	// Next waits for the next event. Errors are *AttemptError.
	Next() (Event, error)
	// Close closes the stream and its connection.
	Close() error
}

// Certainty classifies a failed attempt by what is known about its execution.
type Certainty string

// The certainties of a failed attempt.
const (
	// CertainNotRun means that the endpoint never received the attempt.
	CertainNotRun Certainty = "not_run"
	// CertainNotConnected means that no connection was established within the grant's ConnectTimeout, so that the endpoint
	// never received the attempt. Unlike CertainNotRun, it says little about the endpoint.
	CertainNotConnected Certainty = "not_connected"
	// CertainNotSent means that this entry did not send the attempt for a reason of its own.
	CertainNotSent Certainty = "not_sent"
	// CertainRefused means that the endpoint answered with a refusal and did not run the attempt.
	CertainRefused Certainty = "refused"
	// CertainFailed means that the endpoint ran the attempt and answered with a failure.
	CertainFailed Certainty = "failed"
	// Uncertain means that the attempt may have run or may still run.
	Uncertain Certainty = "uncertain"
)

// AttemptError is the error of a failed attempt.
type AttemptError struct {
	// Certainty classifies what is known about the attempt's execution.
	Certainty Certainty
	// Code is the endpoint's refusal code, or "".
	Code string
	// FailedHelper is the prefill helper because of which the endpoint refused, or "".
	FailedHelper fleet.EndpointID
	// Answer is the answer of the endpoint, set with CertainFailed.
	Answer []byte
	// Payload is the endpoint's complete failure response if answers are opaque, or nil.
	Payload any
	// Err is the underlying error.
	Err error
}

// Error returns the certainty and the underlying error.
func (e *AttemptError) Error() string {
	return "attempt " + string(e.Certainty) + ": " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *AttemptError) Unwrap() error {
	return e.Err
}

// RetryPolicy specifies whether another attempt may follow one that may have run.
type RetryPolicy int

// The retry policies.
const (
	// RetryResume allows another attempt, which continues after the last token that the caller received.
	RetryResume RetryPolicy = iota
	// RetryFromStart allows another attempt from the start as long as the caller has received nothing.
	RetryFromStart
	// RetryNever allows no other attempt after one that may have run. The request fails with StateOutcomeUnknown, or
	// with StateFailed if the endpoint answered with a failure.
	RetryNever
)

// Request is one caller's request to a model, or a call to a plain service whose answer is a single piece.
type Request struct {
	// ID identifies the request.
	ID fleet.RequestID
	// ForwardedBy is the entry that passed the request on, or "" if this entry has it from the caller. A request is
	// passed on once at most.
	ForwardedBy fleet.EntryID
	// Account is the client account that is charged.
	Account fleet.AccountID
	// Weight is the fair-share weight of the account.
	Weight float64
	// Class is the request class.
	Class fleet.ClassName
	// Pool is the pool that serves the class.
	Pool fleet.PoolName
	// Priority is the priority of the class; larger values go first.
	Priority int
	// Prompt is the prompt text; "" if the prompt is opaque.
	Prompt string
	// Payload is an opaque prompt that the EndpointClient sends instead of Prompt; the dispatcher never reads it.
	Payload any
	// Fingerprint identifies the request across resends; "" derives it from the account and the prompt.
	Fingerprint retry.Fingerprint
	// SharedParts holds the parts of the prompt that other requests may share, in their order.
	SharedParts []fleet.PromptPart
	// RetryPolicy specifies whether another attempt may follow one that may have run.
	RetryPolicy RetryPolicy
	// MaxAttempts limits the attempts that are sent to endpoints; zero means no limit. Without LimitRefusedRetries of the
	// Dispatcher, an attempt that an endpoint refused is retried regardless of this limit.
	MaxAttempts int
	// ResumeAfter is the position after which the answer continues, or 0.
	ResumeAfter fleet.Tokens
	// PromptTokens is the length of the prompt.
	PromptTokens fleet.Tokens
	// MaxTokens is the maximum length of the answer.
	MaxTokens fleet.Tokens
	// LengthHint is the caller's estimate of the length of the answer, or 0.
	LengthHint fleet.Tokens
	// Objective is the caller's target for the time to the first token, or 0.
	Objective time.Duration
	// PauseObjective is the caller's target for the longest pause within the answer, or 0.
	PauseObjective time.Duration
	// WaitedAfterRefusal reports whether the caller was refused before and has waited since.
	WaitedAfterRefusal bool
	// FirstTokenDeadline is when the first token is due.
	FirstTokenDeadline time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// BodyBytes is the size of the request's body, which counts while the request waits for an endpoint.
	BodyBytes int64
	// Revalidate checks again, after the request has waited for an endpoint, whether it may be sent, and returns the reason
	// if not; nil means that it may.
	Revalidate func() (reason string)
}

// Sink receives the answer; an error means that the caller has disconnected.
type Sink interface {
	// WriteToken writes one piece of the answer.
	WriteToken(position fleet.Tokens, text string) error
}

// ResponseHeaderSink is a Sink that also receives response headers.
type ResponseHeaderSink interface {
	Sink
	// SetResponseHeader sets the response header of an attempt before its first piece. It replaces an earlier header
	// that was not sent yet.
	SetResponseHeader(head any)
}

// State is the execution state of a request that failed.
type State string

// The states of a failed request.
const (
	// StateNotRun means that no part of the request was run.
	StateNotRun State = "not_run"
	// StateFailed means that the request ran and failed, or that it was aborted after it may have run.
	StateFailed State = "failed"
	// StateOutcomeUnknown means that the request may have taken effect.
	StateOutcomeUnknown State = "outcome_unknown"
)

// Failure is the error of a request that got no complete answer.
type Failure struct {
	// State is the execution state of the request.
	State State
	// Reason is a short code for the cause.
	Reason string
	// RetryAfter is how long the caller should wait before it retries; zero means that it should not retry.
	RetryAfter time.Duration
	// EarlierUnknown reports, with StateNotRun of an at-most-once call, that an earlier call with the same key may have
	// run.
	EarlierUnknown bool
	// Detail is the answer of the endpoint that failed the request, or nil.
	Detail []byte
	// Payload is the endpoint's complete failure response if answers are opaque, or nil.
	Payload any
}

// Error returns the state and the reason.
func (f *Failure) Error() string {
	return "request " + string(f.State) + ": " + f.Reason
}
