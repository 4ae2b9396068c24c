package dispatch

import (
	"context"
	"errors"

	"wisteriadyke/core/idempotency"
)

// ServiceCaller serves calls to plain services.
type ServiceCaller interface {
	// Call serves one call. Errors are *Failure.
	Call(ctx context.Context, call Call) (CallResult, error)
}

// AtMostOnceExecutor runs calls at most once. It is implemented by *idempotency.Executor.
type AtMostOnceExecutor interface {
	// Do runs a call at most once across all entries and all requests with the same key.
	Do(
		ctx context.Context, key idempotency.Key, digest idempotency.Digest,
		send func(context.Context) (idempotency.Answer, idempotency.SendOutcome),
	) (idempotency.Result, error)
}

// AtMostOnceCaller is a ServiceCaller that passes each at-most-once call to the next caller at most once.
type AtMostOnceCaller struct {
	// Executor deduplicates the calls.
	Executor AtMostOnceExecutor
	// Next sends the calls.
	Next ServiceCaller
}

// Call serves one call. Errors are *Failure.
func (c *AtMostOnceCaller) Call(ctx context.Context, call Call) (CallResult, error) {
	if !call.AtMostOnce {
		return c.Next.Call(ctx, call)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	digest := idempotency.DigestOf(call.Operation, call.Body)
	// The reason of the result already describes the error of Do.
	result, _ := c.Executor.Do(ctx, call.IdempotencyKey, digest, func(ctx context.Context) (idempotency.Answer, idempotency.SendOutcome) {
		return toSendOutcome(c.Next.Call(ctx, call))
	})
	if result.State == idempotency.StateDone {
		return CallResult{Body: result.Answer.Body, Repeated: result.Repeated}, nil
	}
	return CallResult{}, &Failure{
		State:          toFailureState(result.State),
		Reason:         string(result.Reason),
		RetryAfter:     result.RetryAfter,
		EarlierUnknown: result.EarlierUnknown,
		Detail:         result.Answer.Body,
	}
}

// toSendOutcome converts the result of the next caller to an answer and the outcome of the send.
func toSendOutcome(result CallResult, err error) (idempotency.Answer, idempotency.SendOutcome) {
	var failure *Failure
	switch {
	case err == nil:
		return idempotency.Answer{Body: result.Body}, idempotency.SendAnswered
	case !errors.As(err, &failure):
		return idempotency.Answer{}, idempotency.SendUnknown
	case failure.State == StateNotRun:
		return idempotency.Answer{}, idempotency.SendNotSent
	case failure.State == StateFailed && failure.Reason == ReasonServiceFailed:
		return idempotency.Answer{Body: failure.Detail, Failed: true}, idempotency.SendAnswered
	default:
		return idempotency.Answer{}, idempotency.SendUnknown
	}
}

// toFailureState converts the state of a result to that of a failure. The outcome of a call in progress is unknown.
func toFailureState(state idempotency.State) State {
	switch state {
	case idempotency.StateNotRun:
		return StateNotRun
	case idempotency.StateFailed:
		return StateFailed
	default:
		return StateOutcomeUnknown
	}
}
