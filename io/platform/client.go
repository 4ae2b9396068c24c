// Package platform is a client of the platform on which package entry runs (package gateway runs on another, Cierzo).
// It calls that platform's table service, object store and instance list, and polls them for configuration, zone states
// and instances.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"

	"github.com/pkg/errors"

	"wisteriadyke/io/jsonhttp"
)

// Client sends requests to the platform. It is safe for concurrent use.
type Client struct {
	// Addresses are the platform's addresses. Requests rotate over them; a request moves on to the next address only if
	// no byte of it was sent.
	Addresses []netip.AddrPort
	// HTTP sends the requests; it is created by package jsonhttp.
	HTTP *http.Client

	// next counts the requests; it selects the address that a request tries first.
	next atomic.Uint64
}

// send sends a request at most once, to the first address that accepts the connection. The error is a *jsonhttp.Error.
func (c *Client) send(
	ctx context.Context, method, path string, query url.Values, body []byte,
) (jsonhttp.Response, error) {
	start := c.next.Add(1)
	err := error(&jsonhttp.Error{Certainty: jsonhttp.NotSent, Cause: errors.New("no addresses")})
	for i := range c.Addresses {
		address := c.Addresses[(start+uint64(i))%uint64(len(c.Addresses))]
		var response jsonhttp.Response
		response, err = jsonhttp.Do(ctx, c.HTTP, method, jsonhttp.URL(address, path, query), body)
		if err == nil || certaintyOf(err) != jsonhttp.NotSent || ctx.Err() != nil {
			return response, err
		}
	}
	return jsonhttp.Response{}, err
}

// certaintyOf returns the certainty in the *jsonhttp.Error of a failed request, jsonhttp.Unanswered for another error.
func certaintyOf(err error) jsonhttp.Certainty {
	var failure *jsonhttp.Error
	if errors.As(err, &failure) {
		return failure.Certainty
	}
	return jsonhttp.Unanswered
}

// read sends a request without side effects and decodes the JSON response into into. The error is ErrUnavailable if
// there is no response or it cannot be decoded, else that of responseError.
func (c *Client) read(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	response, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	if err := responseError(response); err != nil {
		return err
	}
	if err := json.Unmarshal(response.Body, into); err != nil {
		return &UnavailableError{Cause: errors.Wrapf(err, "decode the response of %s", path)}
	}
	return nil
}

// write sends a request with side effects. The error is ErrUnavailable if the request was not sent, ErrUnknownOutcome
// if it was sent and not answered, else that of responseError.
func (c *Client) write(ctx context.Context, method, path string, body []byte) (jsonhttp.Response, error) {
	response, err := c.send(ctx, method, path, nil, body)
	if certaintyOf(err) == jsonhttp.NotSent {
		return jsonhttp.Response{}, &UnavailableError{Cause: err}
	}
	if err != nil {
		return jsonhttp.Response{}, errors.Wrapf(ErrUnknownOutcome, "%s %s: %v", method, path, err)
	}
	return response, responseError(response)
}

// wireError is the body of an error response.
type wireError struct {
	Error string `json:"error"`
}

// responseError returns the error for the status of a response, nil for a 2xx status.
//
// The statuses 400, 404, 409, 429 and 503 state that the platform applied nothing. For all others the error is
// ErrUnknownOutcome.
func responseError(response jsonhttp.Response) error {
	if response.Status/100 == 2 {
		return nil
	}
	var body wireError
	_ = json.Unmarshal(response.Body, &body)
	cause := errors.Errorf("status %d: %s", response.Status, body.Error)
	switch response.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return &UnavailableError{
			Throttled:  response.Status == http.StatusTooManyRequests,
			RetryAfter: retryAfter(response.Header),
			Cause:      cause,
		}
	case http.StatusConflict:
		return newConflictError(response.Body)
	case http.StatusNotFound:
		return errors.Wrap(ErrNotFound, cause.Error())
	case http.StatusBadRequest:
		return errors.Wrap(ErrRejected, cause.Error())
	}
	return errors.Wrap(ErrUnknownOutcome, cause.Error())
}

// wireConflicts is the body of the response to a transaction that conflicts.
type wireConflicts struct {
	Conflicts []wireRow `json:"conflicts"`
}

// newConflictError returns a *ConflictError with the rows in the body of a response, without rows if it cannot be
// decoded.
func newConflictError(body []byte) error {
	var wire wireConflicts
	if err := json.Unmarshal(body, &wire); err != nil {
		return &ConflictError{}
	}
	return &ConflictError{Rows: newRows(wire.Conflicts)}
}
