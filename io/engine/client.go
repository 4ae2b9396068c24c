package engine

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// maxResponseBytes bounds the body of a response that is not a stream.
const maxResponseBytes = 16 << 20

// Client calls one engine. The errors of its methods are *Error.
type Client struct {
	// Endpoint is the ID of the engine; it appears in errors only.
	Endpoint fleet.EndpointID
	// Address is the address of the engine.
	Address netip.AddrPort
	// HTTP sends the requests. Its transport should come from NewTransport, and it should have no timeout. Only tests
	// use NewHTTPClient; the client that package entry builds also follows redirects.
	HTTP *http.Client
}

// errorResponse is the body of a response that refuses a call.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the engine's reason for a refusal or an incomplete answer.
type errorDetail struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// call sends one request and decodes the response body into response, or discards the body if response is nil.
func (c *Client) call(ctx context.Context, method, path string, body, response any) error {
	stream, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	content, err := io.ReadAll(io.LimitReader(stream, maxResponseBytes))
	if err != nil {
		return c.newError(CodeConnectionLost, err, false)
	}
	if response == nil {
		return nil
	}
	if err := json.Unmarshal(content, response); err != nil {
		return c.newError(CodeMalformedResponse, err, false)
	}
	return nil
}

// send sends one request. If the engine accepts it, send returns the response body, which the caller must close.
func (c *Client) send(ctx context.Context, method, path string, body any) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url(path), http.NoBody)
	if err != nil {
		return nil, c.newError(CodeInvalid, err, true)
	}
	requestBody := &onceBody{}
	if body != nil {
		content, err := json.Marshal(body)
		if err != nil {
			return nil, c.newError(CodeInvalid, err, true)
		}
		requestBody.content = content
		request.Body = requestBody
		request.ContentLength = int64(len(content))
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, c.transportError(err, requestBody.abandon())
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, c.responseError(response)
	}
	return response.Body, nil
}

// url returns the URL of a path, which starts with a slash.
func (c *Client) url(path string) string {
	return (&url.URL{Scheme: "http", Host: c.Address.String()}).String() + path
}

// transportError converts the error of a request without a response; incomplete reports whether the request body was
// not read to its end.
func (c *Client) transportError(err error, incomplete bool) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return c.newError(CodeUnreachable, err, true)
	}
	return c.newError(CodeConnectionLost, err, incomplete)
}

// responseError converts a response with a status of 300 or above to an error and closes its body.
func (c *Client) responseError(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return c.newError(CodeConnectionLost, err, false)
	}
	var decoded errorResponse
	if err := json.Unmarshal(content, &decoded); err != nil || decoded.Error.Code == "" {
		return c.newError(CodeMalformedResponse, errors.Errorf("status %s", response.Status), false)
	}
	return &Error{Endpoint: c.Endpoint, Code: decoded.Error.Code, Message: decoded.Error.Message, NotRun: true}
}

// newError returns an *Error with a code and the error that caused it.
func (c *Client) newError(code Code, cause error, notRun bool) *Error {
	return &Error{Endpoint: c.Endpoint, Code: code, Message: cause.Error(), NotRun: notRun, cause: cause}
}
