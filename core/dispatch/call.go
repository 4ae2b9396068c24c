package dispatch

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/idempotency"
)

// Call is one caller's call to a plain service.
type Call struct {
	// ID identifies the call.
	ID fleet.RequestID
	// Account is the client account.
	Account fleet.AccountID
	// Class is the request class.
	Class fleet.ClassName
	// Operation is the name of the operation.
	Operation string
	// Pool is the pool that serves the class.
	Pool fleet.PoolName
	// AtMostOnce marks a call that must not run more than once.
	AtMostOnce bool
	// IdempotencyKey is the caller's key of an at-most-once call.
	IdempotencyKey idempotency.Key
	// Body is passed to the plain service unchanged.
	Body []byte
	// Deadline is when the answer is due.
	Deadline time.Time
}

// CallResult is the answer of a plain service.
type CallResult struct {
	// Body is the unchanged answer of the plain service.
	Body []byte
	// Repeated reports whether this is the recorded answer to an earlier call with the same key.
	Repeated bool
}

// The failure reasons of the dispatchers. Callers also see the reasons of refusals (reservation.Reason) and of
// at-most-once calls (idempotency.Reason).
const (
	// ReasonTimeout means that the deadline of the request or call has passed.
	ReasonTimeout = "timeout"
	// ReasonNoEndpoint means that no endpoint accepted the request.
	ReasonNoEndpoint = "no_endpoint"
	// ReasonCallerDisconnected means that the caller has canceled the request or disconnected.
	ReasonCallerDisconnected = "caller_gone"
	// ReasonRetryBudget means that the retry budget is exhausted.
	ReasonRetryBudget = "retry_budget"
	// ReasonOnTrial means that the request may have crashed an endpoint and may run only on trial: one copy at a time,
	// alone on an endpoint. Usually that copy runs through another entry; otherwise, another copy runs through this one.
	// It is also the reason if the recorded endpoint deaths can't be verified because endpoints do not answer.
	ReasonOnTrial = "on_trial"
	// ReasonQuarantined means that the request crashes endpoints and is no longer run.
	ReasonQuarantined = "quarantined"
	// ReasonServiceFailed means that the endpoint ran the request and answered with a failure.
	ReasonServiceFailed = "service_failed"
	// ReasonNoAnswer means that the request was sent and its answer was lost.
	ReasonNoAnswer = "no_answer"
)
