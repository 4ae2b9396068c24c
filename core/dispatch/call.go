package dispatch

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/idempotency"
)

// Call is one caller's call of a plain service.
type Call struct {
	// ID names the call.
	ID fleet.RequestID
	// Account is the client account.
	Account fleet.AccountID
	// Class is the request class.
	Class fleet.ClassName
	// Operation is what the plain service is asked to do.
	Operation string
	// Pool names the plain services that serve the class.
	Pool fleet.PoolName
	// AtMostOnce marks a call that may not be repeated.
	AtMostOnce bool
	// IdempotencyKey is the caller's key of an at-most-once call.
	IdempotencyKey idempotency.Key
	// Body is passed to the plain service as it is.
	Body []byte
	// Deadline is when the answer is due.
	Deadline time.Time
}

// CallResult is the answer of a plain service.
type CallResult struct {
	// Body is the answer as the plain service gave it.
	Body []byte
	// Repeated tells that an earlier call with the same key got this answer.
	Repeated bool
}

// The reasons of failures that callers see.
const (
	// ReasonTimeout means that the bound of the class has passed.
	ReasonTimeout = "timeout"
	// ReasonNoEndpoint means that no endpoint could take the request.
	ReasonNoEndpoint = "no_endpoint"
	// ReasonCallerDisconnected means that the caller has ended the request.
	ReasonCallerDisconnected = "caller_gone"
	// ReasonRetryBudget means that too much of the load is retries already.
	ReasonRetryBudget = "retry_budget"
	// ReasonOnTrial means that the request may have crashed an endpoint and is on trial through another entry.
	ReasonOnTrial = "on_trial"
	// ReasonQuarantined means that the request crashes endpoints and is not run any more.
	ReasonQuarantined = "quarantined"
	// ReasonServiceFailed means that the plain service answered with a failure.
	ReasonServiceFailed = "service_failed"
	// ReasonNoAnswer means that an at-most-once call was sent and its answer never came.
	ReasonNoAnswer = "no_answer"
)
