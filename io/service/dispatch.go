package service

import (
	"context"

	"github.com/pkg/errors"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

// Services runs the calls of a dispatcher on plain services.
type Services struct {
	// Once sends calls that may run at most once; its connections come from jsonhttp.NewFresh.
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
		Operation: string(call.Class),
		CallID:    string(call.ID),
		AttemptID: attempt,
		Account:   call.Account,
		Body:      call.Body,
	})
	if err != nil {
		return nil, &dispatch.AttemptError{Certainty: attemptCertainty(err), Err: err}
	}
	return answer.Result, nil
}

// attemptCertainty tells what an error of this layer says about the attempt.
func attemptCertainty(err error) dispatch.Certainty {
	if errors.Is(err, ErrNotSent) {
		return dispatch.CertainNotRun
	}
	return dispatch.Uncertain
}
