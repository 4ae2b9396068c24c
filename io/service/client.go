// Package service is a client of plain services over HTTP.
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

// Errors of Client's methods, to be matched by errors.Is.
var (
	// ErrNotSent means that the service can't have received the call.
	ErrNotSent = errors.New("call was not sent")
	// ErrUnanswered means that the service may have run the call, or may run it later.
	ErrUnanswered = errors.New("call was sent and not answered")
	// ErrRefused means that the service refused the call; the error is a *RefusalError.
	ErrRefused = errors.New("service refused the call")
	// ErrAttemptMismatch means that the answer belongs to another attempt; the call may have run.
	ErrAttemptMismatch = errors.New("answer belongs to another attempt")
)

// RefusalError is a refusal by the service. It does not imply that nothing ran.
type RefusalError struct {
	// Status is the HTTP status code of the response.
	Status int
	// Body is the body of the response.
	Body []byte
}

// Error returns a message with the status.
func (e *RefusalError) Error() string {
	return errors.Errorf("service refused the call with status %d", e.Status).Error()
}

// Is reports whether target is ErrRefused.
func (e *RefusalError) Is(target error) bool {
	return target == ErrRefused
}

// Request is one call of one operation.
type Request struct {
	// Address is the address of the service.
	Address netip.AddrPort
	// Operation is the name of the operation.
	Operation string
	// CallID identifies the call; it is the same for all attempts.
	CallID string
	// AttemptID identifies this attempt.
	AttemptID fleet.AttemptID
	// Account is the client account that made the call.
	Account fleet.AccountID
	// Fence is the sender's fencing token. Entries don't set it, so they send 0.
	Fence fleet.Fence
	// Body is the JSON input of the operation.
	Body json.RawMessage
}

// Answer is a service's answer to a completed call.
type Answer struct {
	// Result is the JSON result of the operation.
	Result json.RawMessage
}

// Load is the load that a service reports, with a lag.
type Load struct {
	// Running is the number of running calls.
	Running int
	// Capacity is the number of calls that can run concurrently.
	Capacity int
}

// Client calls plain services. It sends each call at most once.
type Client struct {
	// HTTP sends the requests; at-most-once calls need a client of jsonhttp.NewUnpooled.
	HTTP *http.Client
}

// wireCall is the JSON body of a call.
type wireCall struct {
	CallID    string          `json:"call_id"`
	AttemptID fleet.AttemptID `json:"attempt_id"`
	Account   fleet.AccountID `json:"account"`
	Fence     fleet.Fence     `json:"fence"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// wireAnswer is the JSON body of an answer.
type wireAnswer struct {
	CallID    string          `json:"call_id"`
	AttemptID fleet.AttemptID `json:"attempt_id"`
	Result    json.RawMessage `json:"result"`
}

// wireLoad is the JSON body of a load report.
type wireLoad struct {
	Running  int `json:"running"`
	Capacity int `json:"capacity"`
}

// Call sends a call once and returns its answer.
//
// It returns ErrNotSent if the service can't have received the call, ErrRefused if the service refused it, and
// ErrUnanswered or ErrAttemptMismatch if the call may have run.
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
		return Answer{}, errors.Wrapf(sendError(err), "operation %s at %s: %v", request.Operation, request.Address, err)
	}
	if response.Status/100 != 2 {
		return Answer{}, &RefusalError{Status: response.Status, Body: response.Body}
	}
	var wire wireAnswer
	if err := json.Unmarshal(response.Body, &wire); err != nil {
		return Answer{}, errors.Wrapf(ErrUnanswered, "decode the answer: %v", err)
	}
	if wire.CallID != request.CallID || wire.AttemptID != request.AttemptID {
		return Answer{}, errors.Wrapf(ErrAttemptMismatch, "attempt %s received the answer to attempt %s", request.AttemptID, wire.AttemptID)
	}
	return Answer{Result: wire.Result}, nil
}

// sendError returns ErrNotSent if err is a *jsonhttp.Error with the certainty NotSent, and ErrUnanswered otherwise.
func sendError(err error) error {
	var failure *jsonhttp.Error
	if errors.As(err, &failure) && failure.Certainty == jsonhttp.NotSent {
		return ErrNotSent
	}
	return ErrUnanswered
}

// Load returns the load report of a service. It is safe to repeat. Errors are ErrNotSent, ErrRefused and ErrUnanswered.
func (c *Client) Load(ctx context.Context, address netip.AddrPort) (Load, error) {
	response, err := jsonhttp.Do(ctx, c.HTTP, http.MethodGet, jsonhttp.URL(address, "/v1/load", nil), nil)
	if err != nil {
		return Load{}, errors.Wrapf(sendError(err), "load of %s: %v", address, err)
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
