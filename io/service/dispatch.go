package service

import (
	"context"

	"github.com/pkg/errors"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

// Services sends calls to plain services. It implements dispatch.ServiceClient.
type Services struct {
	// AtMostOnce sends calls that may run at most once; its HTTP client comes from jsonhttp.NewUnpooled.
	AtMostOnce *Client
	// Repeatable sends all other calls.
	Repeatable *Client
}

// Call sends one attempt of a call and returns the result. Errors are *dispatch.AttemptError.
func (s *Services) Call(
	ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID, call dispatch.Call,
) ([]byte, error) {
	client := s.Repeatable
	if call.AtMostOnce {
		client = s.AtMostOnce
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

// attemptError converts an error of Client to a *dispatch.AttemptError.
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

// callID returns the ID of a call that is common to all its attempts. The ID of an at-most-once call is derived from
// its idempotency key, so that a resend through another entry has the same ID.
func callID(call dispatch.Call) string {
	if call.AtMostOnce {
		return string(call.Account) + "/" + call.IdempotencyKey.Key
	}
	return string(call.ID)
}
