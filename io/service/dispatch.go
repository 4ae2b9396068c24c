package service

import (
	"context"

	"github.com/pkg/errors"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

// Services runs the calls of a dispatcher on plain services.
type Services struct {
	// Once sends calls that may run at most once; its connections come from jsonhttp.NewUnpooled.
	Once *Client
	// Repeatable sends all other calls.
	Repeatable *Client
}

// Call runs one call once; an error is a *dispatch.AttemptError.
func (s *Services) Call(
	ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID, call dispatch.Call,
) ([]byte, error) {
	client := s.Repeatable
	if call.AtMostOnce {
		client = s.Once
	}
	answer, err := client.Call(ctx, Request{
		Address:   endpoint.Address,
		Operation: call.Operation,
		CallID:    callID(call),
		AttemptID: attempt,
		Account:   call.Account,
		Body:      call.Body,
	})
	if err != nil {
		return nil, attemptError(err)
	}
	return answer.Result, nil
}

// attemptError turns an error of this layer into one of the dispatcher's.
func attemptError(err error) *dispatch.AttemptError {
	var refusal *RefusalError
	switch {
	case errors.Is(err, ErrNotSent):
		return &dispatch.AttemptError{Certainty: dispatch.CertainNotRun, Err: err}
	case errors.As(err, &refusal):
		return &dispatch.AttemptError{Certainty: dispatch.CertainFailed, Answer: refusal.Body, Err: err}
	default:
		return &dispatch.AttemptError{Certainty: dispatch.Uncertain, Err: err}
	}
}

// callID names a call over all its attempts: an at-most-once call by its idempotency key, so that a resend through
// another entry bears the same name.
func callID(call dispatch.Call) string {
	if call.AtMostOnce {
		return string(call.Account) + "/" + call.IdempotencyKey.Key
	}
	return string(call.ID)
}
