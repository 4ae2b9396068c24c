// Package service speaks to plain services.
package service

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonhttp"
)

// Errors of the client; test them with errors.Is.
var (
	// ErrNotSent means that the service can't have seen the call.
	ErrNotSent = errors.New("call was not sent")
	// ErrUnanswered means that the service may have run the call, or may run it later.
	ErrUnanswered = errors.New("call was sent and not answered")
	// ErrRefused means that the service answered with a refusal; the error is a *RefusalError.
	ErrRefused = errors.New("service refused the call")
	// ErrAttemptMismatch means that the answer belongs to another attempt; the call may have run.
	ErrAttemptMismatch = errors.New("answer belongs to another attempt")
)

// RefusalError is a refusal by the service. It doesn't say that nothing ran.
type RefusalError struct {
	// Status is the HTTP status code.
	Status int
	// Body is the body of the answer.
	Body []byte
}

// Error implements error.
func (e *RefusalError) Error() string {
	return errors.Errorf("service refused the call with status %d", e.Status).Error()
}

// Is reports whether target is ErrRefused.
func (e *RefusalError) Is(target error) bool {
	return target == ErrRefused
}

// Request is one call of one operation.
type Request struct {
	// Address is where the service listens.
	Address netip.AddrPort
	// Operation names the operation.
	Operation string
	// CallID names the call, the same for all its attempts.
	CallID string
	// AttemptID names this attempt.
	AttemptID fleet.AttemptID
	// Account is the client account that the call is for.
	Account fleet.AccountID
	// Fence is the caller's fencing number.
	Fence fleet.Fence
	// Body is the JSON text for the operation.
	Body json.RawMessage
}

// Answer is the service's answer to a call.
type Answer struct {
	// Result is the JSON text of the operation's result.
	Result json.RawMessage
}

// Load is what a service reports of itself, some time after it was true.
type Load struct {
	// Running counts calls that run.
	Running int
	// Capacity counts calls that may run at once.
	Capacity int
}

// Client calls plain services. It sends each request once at most.
type Client struct {
	// HTTP sends calls; it comes from jsonhttp.NewUnpooled for at-most-once calls.
	HTTP *http.Client
}

// wireCall is the body of a call.
type wireCall struct {
	CallID    string          `json:"call_id"`
	AttemptID fleet.AttemptID `json:"attempt_id"`
	Account   fleet.AccountID `json:"account"`
	Fence     fleet.Fence     `json:"fence"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// wireAnswer is the body of an answer.
type wireAnswer struct {
	CallID    string          `json:"call_id"`
	AttemptID fleet.AttemptID `json:"attempt_id"`
	Result    json.RawMessage `json:"result"`
}

// wireLoad is the body of a load report.
type wireLoad struct {
	Running  int `json:"running"`
	Capacity int `json:"capacity"`
}

// Call sends a call once and returns its answer.
//
// It returns ErrNotSent if the service can't have seen the call, ErrRefused if it answered with a
// refusal, and ErrUnanswered or ErrAttemptMismatch if the call may have run.
func (c *Client) Call(ctx context.Context, request Request) (Answer, error) {
	target := jsonhttp.URL(request.Address, "/v1/calls/"+request.Operation, nil)
	response, err := jsonhttp.Post(ctx, c.HTTP, target, wireCall{
		CallID:    request.CallID,
		AttemptID: request.AttemptID,
		Account:   request.Account,
		Fence:     request.Fence,
		Body:      request.Body,
	})
	if err != nil {
		return Answer{}, errors.Wrapf(layerError(err), "operation %s at %s: %v", request.Operation, request.Address, err)
	}
	if response.Status/100 != 2 {
		return Answer{}, &RefusalError{Status: response.Status, Body: response.Body}
	}
	var wire wireAnswer
	if err := json.Unmarshal(response.Body, &wire); err != nil {
		return Answer{}, errors.Wrapf(ErrUnanswered, "decode the answer: %v", err)
	}
	if wire.CallID != request.CallID || wire.AttemptID != request.AttemptID {
		return Answer{}, errors.Wrapf(ErrAttemptMismatch, "attempt %s got the answer to %s", request.AttemptID, wire.AttemptID)
	}
	return Answer{Result: wire.Result}, nil
}

// layerError turns the certainty from below into an error of this package.
func layerError(err error) error {
	var failure *jsonhttp.Error
	if errors.As(err, &failure) && failure.Certainty == jsonhttp.NotSent {
		return ErrNotSent
	}
	return ErrUnanswered
}

// Load asks a service for its load; it may be asked again freely.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (Load, error) {
	response, err := jsonhttp.Do(ctx, c.HTTP, http.MethodGet, jsonhttp.URL(address, "/v1/load", nil), nil)
	if err != nil {
		return Load{}, errors.Wrapf(layerError(err), "load of %s: %v", address, err)
	}
	if response.Status != http.StatusOK {
		return Load{}, &RefusalError{Status: response.Status, Body: response.Body}
	}
	var wire wireLoad
	if err := json.Unmarshal(response.Body, &wire); err != nil {
		return Load{}, errors.Wrapf(ErrUnanswered, "decode the load of %s: %v", address, err)
	}
	return Load(wire), nil
}
