package idempotency

import (
	"time"

	"github.com/pkg/errors"
)

// Errors of invalid requests. Do also returns a valid Result with them.
var (
	// ErrKeyExpired means that the key is older than the retention time of records.
	ErrKeyExpired = errors.New("idempotency key is too old")
	// ErrKeyFromFuture means that the timestamp of the key is more than Executor.Skew in the
	// future.
	ErrKeyFromFuture = errors.New("idempotency key carries a future time")
	// ErrBodyMismatch means that the key was used before with another operation or body.
	ErrBodyMismatch = errors.New("idempotency key was used with another body")
)

// Reason is a short code that explains the state of a call.
type Reason string

// Reasons of results.
const (
	// ReasonNone is the reason of a call in StateDone.
	ReasonNone Reason = ""
	// ReasonStoreUnavailable means that the claim could not be written or could not be confirmed.
	ReasonStoreUnavailable Reason = "store_unavailable"
	// ReasonBusy means that this entry has reached its limit of calls in progress.
	ReasonBusy Reason = "busy"
	// ReasonShutdown means that this entry is shutting down.
	ReasonShutdown Reason = "shutdown"
	// ReasonNotSent means that the call could not be sent.
	ReasonNotSent Reason = "not_sent"
	// ReasonTimeout means that the deadline of the call passed, or its caller disconnected, before
	// it was sent.
	ReasonTimeout Reason = "timeout"
	// ReasonNoAnswer means that the call may have been sent and no answer is known.
	ReasonNoAnswer Reason = "no_answer"
	// ReasonServiceFailed means that the service answered with a failure.
	ReasonServiceFailed Reason = "service_failed"
	// ReasonInProgress means that another request with the key is in progress.
	ReasonInProgress Reason = "in_progress"
	// ReasonKeyExpired accompanies ErrKeyExpired.
	ReasonKeyExpired Reason = "key_expired"
	// ReasonKeyFromFuture accompanies ErrKeyFromFuture.
	ReasonKeyFromFuture Reason = "key_from_future"
	// ReasonBodyMismatch accompanies ErrBodyMismatch.
	ReasonBodyMismatch Reason = "body_mismatch"
)

// Result is the outcome of a call as far as it is known when Do returns.
type Result struct {
	// State is StateDone, StateNotRun, StateFailed, StateOutcomeUnknown or StateInProgress.
	State State
	// Reason is the reason for the state.
	Reason Reason
	// Answer is the service's answer in StateDone and StateFailed.
	Answer Answer
	// RetryAfter is the delay after which to retry with the same key and body; 0 means that a retry
	// would not change the result.
	RetryAfter time.Duration
	// Repeated reports whether the outcome is that of another request with the same key.
	Repeated bool
	// EarlierUnknown reports, in StateNotRun, that only this request is known not to have run. An earlier request with the
	// key may have run: this one was refused before it reached the table, or the table does not prove that no request with
	// the key has run. A caller that has sent the key before must retry with the same key and must not use a new one.
	EarlierUnknown bool
}

// SendOutcome is what is known of a call after the attempt to send it.
type SendOutcome string

// Outcomes of sending a call.
const (
	// SendNotSent means that the service has not run the call and never will.
	SendNotSent SendOutcome = "not_sent"
	// SendAnswered means that the service answered.
	SendAnswered SendOutcome = "answered"
	// SendUnknown means that the call may have run or may still run.
	SendUnknown SendOutcome = "unknown"
)

// refusedResult returns the result of a request that was refused without a confirmed claim; an
// earlier request with the key may have run.
func refusedResult(reason Reason, retryAfter time.Duration) Result {
	return Result{State: StateNotRun, Reason: reason, RetryAfter: retryAfter, EarlierUnknown: true}
}
