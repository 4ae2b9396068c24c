// Package platform speaks to the platform's table service, object store and instance list.
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

// Client speaks to the platform at one of its addresses.
type Client struct {
	// Addresses are tried in turn for as long as no byte of a request was sent.
	Addresses []netip.AddrPort
	// HTTP sends the requests; it comes from jsonhttp.
	HTTP *http.Client

	next atomic.Uint64
}

// send sends a request once, to the first address that takes the connection.
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

// certaintyOf tells whether the platform can have seen a request that failed.
func certaintyOf(err error) jsonhttp.Certainty {
	var failure *jsonhttp.Error
	if errors.As(err, &failure) {
		return failure.Certainty
	}
	return jsonhttp.Unanswered
}

// read sends a request without effects and decodes the answer, unless into is nil.
func (c *Client) read(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	response, err := c.send(ctx, method, path, query, body)
	if err != nil {
		return &UnavailableError{Cause: err}
	}
	if err := refusal(response); err != nil {
		return err
	}
	if err := json.Unmarshal(response.Body, into); err != nil {
		return &UnavailableError{Cause: errors.Wrapf(err, "decode the answer of %s", path)}
	}
	return nil
}

// write sends a request with effects.
func (c *Client) write(ctx context.Context, method, path string, body []byte) (jsonhttp.Response, error) {
	response, err := c.send(ctx, method, path, nil, body)
	if certaintyOf(err) == jsonhttp.NotSent {
		return jsonhttp.Response{}, &UnavailableError{Cause: err}
	}
	if err != nil {
		return jsonhttp.Response{}, errors.Wrapf(ErrUnknownOutcome, "%s %s: %v", method, path, err)
	}
	return response, refusal(response)
}

// wireError is the body of an answer that refuses.
type wireError struct {
	Error string `json:"error"`
}

// refusal returns the error that a status stands for, nil for a success.
//
// Only the statuses by which the platform says that it applied nothing are certain.
func refusal(response jsonhttp.Response) error {
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

// wireConflicts is the body of a refused transaction.
type wireConflicts struct {
	Conflicts []wireRow `json:"conflicts"`
}

// newConflictError decodes the rows that stopped a transaction.
func newConflictError(body []byte) error {
	var wire wireConflicts
	if err := json.Unmarshal(body, &wire); err != nil {
		return &ConflictError{}
	}
	return &ConflictError{Rows: newRows(wire.Conflicts)}
}
