package dispatch

import (
	"context"
	"errors"

	"wisteriadyke/core/idempotency"
)

// ServiceCaller serves calls of plain services.
type ServiceCaller interface {
	// Call serves one call; an error is a *Failure.
	Call(ctx context.Context, call Call) (CallResult, error)
}

// AtMostOnceExecutor runs calls at most once; *idempotency.Executor is one.
type AtMostOnceExecutor interface {
	// Do runs a call at most once over all entries and all requests with its key.
	Do(
		ctx context.Context, key idempotency.Key, digest idempotency.Digest,
		send func(context.Context) (idempotency.Answer, idempotency.SendOutcome),
	) (idempotency.Result, error)
}

// AtMostOnceCaller wraps another caller, which then sees each at-most-once call at most once.
type AtMostOnceCaller struct {
	// Executor keeps the claims.
	Executor AtMostOnceExecutor
	// Next sends the calls.
	Next ServiceCaller
}

// Call serves one call; an error is a *Failure.
func (c *AtMostOnceCaller) Call(ctx context.Context, call Call) (CallResult, error) {
	if !call.AtMostOnce {
		return c.Next.Call(ctx, call)
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	digest := idempotency.DigestOf(call.Operation, call.Body)
	// An error of Do tells what the reason of its result tells as well.
	result, _ := c.Executor.Do(ctx, call.IdempotencyKey, digest, func(ctx context.Context) (idempotency.Answer, idempotency.SendOutcome) {
		return sent(c.Next.Call(ctx, call))
	})
	if result.State == idempotency.StateDone {
		return CallResult{Body: result.Answer.Body, Repeated: result.Repeated}, nil
	}
	return CallResult{}, &Failure{
		State:          onceState(result.State),
		Reason:         string(result.Reason),
		RetryAfter:     result.RetryAfter,
		EarlierUnknown: result.EarlierUnknown,
		Detail:         result.Answer.Body,
	}
}

// sent turns the result of the next caller into what is known of the call.
func sent(result CallResult, err error) (idempotency.Answer, idempotency.SendOutcome) {
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

// onceState turns the state of a result into that of a failure. A call in progress has an outcome that is not known yet.
func onceState(state idempotency.State) State {
	switch state {
	case idempotency.StateNotRun:
		return StateNotRun
	case idempotency.StateFailed:
		return StateFailed
	default:
		return StateOutcomeUnknown
	}
}
