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

// maxAnswer bounds the answer of a call that is no stream, in bytes.
const maxAnswer = 16 << 20

// Client calls one engine.
type Client struct {
	// Endpoint names the engine in errors.
	Endpoint fleet.EndpointID
	// Address is where the engine listens.
	Address netip.AddrPort
	// HTTP carries the calls; it should come from NewHTTPClient.
	HTTP *http.Client
}

// refusal is the body of an answer that refuses a call.
type refusal struct {
	Error failure `json:"error"`
}

// failure is the reason that an engine gives.
type failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// call sends one request and decodes its answer into answer, which may be nil.
func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	stream, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	content, err := io.ReadAll(io.LimitReader(stream, maxAnswer))
	if err != nil {
		return c.failed(CodeCut, err, false)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return c.failed(CodeUnreadable, err, false)
	}
	return nil
}

// send sends one request and returns the body of the answer if the engine accepted it.
func (c *Client) send(ctx context.Context, method, path string, body any) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url(path), http.NoBody)
	if err != nil {
		return nil, c.failed(CodeInvalid, err, true)
	}
	once := &onceBody{}
	if body != nil {
		content, err := json.Marshal(body)
		if err != nil {
			return nil, c.failed(CodeInvalid, err, true)
		}
		once.content = content
		request.Body = once
		request.ContentLength = int64(len(content))
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, c.unsent(err, once.abandon())
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, c.refused(response)
	}
	return response.Body, nil
}

// url returns the URL of path, which starts with a slash.
func (c *Client) url(path string) string {
	return (&url.URL{Scheme: "http", Host: c.Address.String()}).String() + path
}

// unsent turns the error of a request without an answer; incomplete is true if its body was not wholly handed over.
func (c *Client) unsent(err error, incomplete bool) error {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return c.failed(CodeUnreachable, err, true)
	}
	return c.failed(CodeCut, err, incomplete)
}

// refused turns an answer with an error status and closes it.
func (c *Client) refused(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return c.failed(CodeCut, err, false)
	}
	var typed refusal
	if err := json.Unmarshal(content, &typed); err != nil || typed.Error.Code == "" {
		return c.failed(CodeUnreadable, errors.Errorf("status %s", response.Status), false)
	}
	return &Error{Endpoint: c.Endpoint, Code: typed.Error.Code, Message: typed.Error.Message, NotRun: true}
}

// failed turns an error of the layer below.
func (c *Client) failed(code Code, cause error, notRun bool) *Error {
	return &Error{Endpoint: c.Endpoint, Code: code, Message: cause.Error(), NotRun: notRun, cause: cause}
}
