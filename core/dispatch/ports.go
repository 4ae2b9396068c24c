// Package dispatch serves one admitted request: it places it, reserves, runs attempts and passes the answer on.
package dispatch

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/retry"
)

// ReservationClient asks the owner of an endpoint, wherever it is; every error that is a refusal is a *reservation.Refusal.
type ReservationClient interface {
	// Reserve waits until the owner grants or refuses.
	Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error)
	// Renew reports progress, which keeps the reservation alive.
	Renew(ctx context.Context, progress reservation.Progress) error
	// Release gives a reservation back.
	Release(ctx context.Context, release reservation.Release) error
}

// EngineClient runs attempts on model engines.
type EngineClient interface {
	// Generate starts an attempt; an error is an *AttemptError.
	Generate(ctx context.Context, attempt Attempt) (Stream, error)
	// Cancel ends an attempt and returns once the endpoint has confirmed it.
	Cancel(ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID) error
	// Incarnation returns the present life of an engine.
	Incarnation(ctx context.Context, endpoint fleet.Endpoint) (fleet.Incarnation, error)
}

// Attempt is one try of a request on one model engine.
type Attempt struct {
	// Endpoint is the engine.
	Endpoint fleet.Endpoint
	// ID names the attempt.
	ID fleet.AttemptID
	// Request names the caller's request.
	Request fleet.RequestID
	// Grant is the right to run it.
	Grant reservation.Grant
	// Prompt is the text to read.
	Prompt string
	// Payload is what the engines' client sends where the prompt is opaque; it comes from the request.
	Payload any
	// MaxTokens bounds the answer.
	MaxTokens fleet.Tokens
	// Deadline is when the whole answer is due.
	Deadline time.Time
	// ResumeAfter is the position at which the answer goes on.
	ResumeAfter fleet.Tokens
}

// EventKind tells what an engine reports of an attempt.
type EventKind string

// The kinds of events of an attempt.
const (
	// EventStarted means that the engine has taken the attempt.
	EventStarted EventKind = "started"
	// EventPrefilled means that the engine has read the prompt.
	EventPrefilled EventKind = "prefilled"
	// EventToken carries one piece of the answer.
	EventToken EventKind = "token"
	// EventDone ends a whole answer.
	EventDone EventKind = "done"
)

// Event is what an engine reports of an attempt.
type Event struct {
	// Kind tells what it is.
	Kind EventKind
	// Position is the number of tokens generated up to and with this one; in EventDone it is the length of the answer.
	Position fleet.Tokens
	// Text is the piece of the answer.
	Text string
	// Cached is the number of prompt tokens that the engine held already.
	Cached fleet.Tokens
	// Incarnation is the life of the engine.
	Incarnation fleet.Incarnation
	// ResponseHeader is what the answer begins with, in EventStarted; the dispatcher passes it to a ResponseHeaderSink unread.
	ResponseHeader any
}

// Stream yields the events of one attempt in order.
type Stream interface {
	// Next waits for the next event; an error is an *AttemptError.
	Next() (Event, error)
	// Close ends the stream and its connection.
	Close() error
}

// Certainty tells what is known of an attempt that failed.
type Certainty string

// What can be known of a failed attempt.
const (
	// CertainNotRun means that the endpoint surely never took it.
	CertainNotRun Certainty = "not_run"
	// CertainRefused means that the endpoint answered with a refusal and did not run it.
	CertainRefused Certainty = "refused"
	// CertainFailed means that the endpoint ran it and answered with a failure.
	CertainFailed Certainty = "failed"
	// Uncertain means that the attempt may have run or may still run.
	Uncertain Certainty = "uncertain"
)

// AttemptError is the error of an attempt.
type AttemptError struct {
	// Certainty tells what is known of the attempt.
	Certainty Certainty
	// Code is the endpoint's code of a refusal, or "".
	Code string
	// FailedHelper is the helper because of which the endpoint refused, or "".
	FailedHelper fleet.EndpointID
	// Answer is what the endpoint answered with CertainFailed.
	Answer []byte
	// Payload is the whole failure of the endpoint where answers are opaque, or nil.
	Payload any
	// Err is the cause.
	Err error
}

// Error returns the cause.
func (e *AttemptError) Error() string {
	return "attempt " + string(e.Certainty) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error {
	return e.Err
}

// RetryPolicy tells what may follow an attempt that may have run.
type RetryPolicy int

// What may follow an attempt that may have run.
const (
	// RetryResume lets another attempt go on behind what was passed on.
	RetryResume RetryPolicy = iota
	// RetryFromStart lets another attempt begin anew as long as nothing was passed on.
	RetryFromStart
	// RetryNever ends the request, whose outcome is then unknown.
	RetryNever
)

// Request is one caller's request to a model, or a call of a plain service whose answer is one piece.
type Request struct {
	// ID names the request.
	ID fleet.RequestID
	// Account is the client account that is charged.
	Account fleet.AccountID
	// Weight is the account's share.
	Weight float64
	// Class is the request class.
	Class fleet.ClassName
	// Pool names the engines that serve the class.
	Pool fleet.PoolName
	// Priority is that of the class.
	Priority int
	// Prompt is the text to read; "" where the prompt is opaque.
	Prompt string
	// Payload is what the engines' client sends where the prompt is opaque; the dispatcher never reads it.
	Payload any
	// Fingerprint identifies the request over resends; "" stands for that of its account and prompt.
	Fingerprint retry.Fingerprint
	// RetryPolicy tells what may follow an attempt that may have run.
	RetryPolicy RetryPolicy
	// MaxAttempts bounds the endpoints that are sent the request; zero sets no bound.
	MaxAttempts int
	// ResumeAfter is the position behind which the caller wants the answer.
	ResumeAfter fleet.Tokens
	// PromptTokens is the length of the prompt.
	PromptTokens fleet.Tokens
	// MaxTokens bounds the answer.
	MaxTokens fleet.Tokens
	// Objective is the time to the first token that the caller hopes for, or 0.
	Objective time.Duration
	// PauseObjective is the longest pause between two pieces of the answer that the caller hopes for, or 0.
	PauseObjective time.Duration
	// WaitedAfterRefusal tells that the caller was refused before and has waited since.
	WaitedAfterRefusal bool
	// FirstTokenDeadline is when the wait for the first token ends.
	FirstTokenDeadline time.Time
	// Deadline is when the whole answer is due.
	Deadline time.Time
}

// Sink takes the answer; an error means that the caller is gone.
type Sink interface {
	// WriteToken passes on one piece of the answer.
	WriteToken(position fleet.Tokens, text string) error
}

// ResponseHeaderSink is a Sink that also takes what an answer begins with.
type ResponseHeaderSink interface {
	Sink
	// SetResponseHeader takes the head of an attempt's answer, before its first piece; a later head replaces one that was not used.
	SetResponseHeader(head any)
}

// State is the truth about a request that got no whole answer.
type State string

// The states of a request that got no whole answer.
const (
	// StateNotRun means that nothing of it was run.
	StateNotRun State = "not_run"
	// StateFailed means that it ran and failed, or was given up.
	StateFailed State = "failed"
	// StateOutcomeUnknown means that it may have taken effect.
	StateOutcomeUnknown State = "outcome_unknown"
)

// Failure is the final answer to a request that got no whole answer.
type Failure struct {
	// State is the truth about the request.
	State State
	// Reason tells why, in a short code.
	Reason string
	// RetryAfter is when to come back; zero means never with this request.
	RetryAfter time.Duration
	// EarlierUnknown tells, with StateNotRun of an at-most-once call, that an earlier call with the same key may have run.
	EarlierUnknown bool
	// Detail is the answer of an endpoint that failed the request, or nil.
	Detail []byte
	// Payload is the whole failure of the endpoint where answers are opaque, or nil.
	Payload any
}

// Error returns state and reason.
func (f *Failure) Error() string {
	return "request " + string(f.State) + ": " + f.Reason
}
