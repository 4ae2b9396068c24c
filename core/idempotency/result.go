package idempotency

import (
	"time"

	"github.com/pkg/errors"
)

// Errors of requests that are wrong in themselves; the Result beside them is valid.
var (
	// ErrKeyExpired means that the key is older than records are kept.
	ErrKeyExpired = errors.New("idempotency key is too old")
	// ErrKeyFromFuture means that the key carries a time that has not come.
	ErrKeyFromFuture = errors.New("idempotency key carries a future time")
	// ErrBodyMismatch means that the key was used before with another body.
	ErrBodyMismatch = errors.New("idempotency key was used with another body")
)

// Reason tells in a short code why a result is as it is.
type Reason string

// The reasons of results.
const (
	// ReasonNone is that of an answered call.
	ReasonNone Reason = ""
	// ReasonStoreUnavailable means that the claim could not be written.
	ReasonStoreUnavailable Reason = "store_unavailable"
	// ReasonBusy means that this entry has as many calls in progress as it may.
	ReasonBusy Reason = "busy"
	// ReasonShutdown means that this entry is shutting down.
	ReasonShutdown Reason = "shutdown"
	// ReasonNotSent means that the call could not be sent.
	ReasonNotSent Reason = "not_sent"
	// ReasonTimeout means that the time for the call passed before it was sent.
	ReasonTimeout Reason = "timeout"
	// ReasonNoAnswer means that the call was sent and not answered.
	ReasonNoAnswer Reason = "no_answer"
	// ReasonServiceFailed means that the service answered with a failure.
	ReasonServiceFailed Reason = "service_failed"
	// ReasonInProgress means that another request with the key is in progress.
	ReasonInProgress Reason = "in_progress"
	// ReasonKeyExpired comes with ErrKeyExpired.
	ReasonKeyExpired Reason = "key_expired"
	// ReasonKeyFromFuture comes with ErrKeyFromFuture.
	ReasonKeyFromFuture Reason = "key_from_future"
	// ReasonBodyMismatch comes with ErrBodyMismatch.
	ReasonBodyMismatch Reason = "body_mismatch"
)

// Result is the truth about a call when Do returns.
type Result struct {
	// State is StateDone, StateNotRun, StateFailed, StateOutcomeUnknown or StateInProgress.
	State State
	// Reason tells why.
	Reason Reason
	// Answer is the service's answer in StateDone and StateFailed.
	Answer Answer
	// RetryAfter is when to come back with the same key and body; 0 means that it would change
	// nothing.
	RetryAfter time.Duration
	// Repeated tells that the outcome is that of another request with the key.
	Repeated bool
	// EarlierUnknown tells, in StateNotRun, that only this request is known not to have run: the
	// table was not reached, so that an earlier request with the key may have run. A caller that
	// sent the key before must ask again with the same key and must not take another.
	EarlierUnknown bool
}

// SendOutcome tells what is known of a call after the attempt to send it.
type SendOutcome string

// The outcomes of sending.
const (
	// SendNotSent means that the service surely has not run the call and never will.
	SendNotSent SendOutcome = "not_sent"
	// SendAnswered means that the service answered.
	SendAnswered SendOutcome = "answered"
	// SendUnknown means that the call may have run or may still run.
	SendUnknown SendOutcome = "unknown"
)

// refused returns the result of a request that was refused before the table was reached.
func refused(reason Reason, retryAfter time.Duration) Result {
	return Result{State: StateNotRun, Reason: reason, RetryAfter: retryAfter, EarlierUnknown: true}
}
