// Package jsonhttp sends JSON requests over HTTP and never sends a request with a body twice.
package jsonhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/io/httpclient"
)

// Limits for connections and response bodies.
const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 64
	maxBodyBytes        = 64 << 20
)

// Certainty specifies whether a peer can have received a request.
type Certainty int

// The certainties about a request, from not sent to answered.
const (
	// NotSent means that no byte of the request left this process.
	NotSent Certainty = iota + 1
	// Unanswered means that the request may have been executed.
	Unanswered
	// Answered means that the peer answered. No Error has this certainty.
	Answered
)

// Error is the error of a request that got no complete response.
type Error struct {
	// Certainty is NotSent or Unanswered.
	Certainty Certainty
	// Cause is the underlying error, usually that of net/http.
	Cause error
}

// Error returns the certainty and the cause.
func (e *Error) Error() string {
	if e.Certainty == NotSent {
		return "request was not sent: " + e.Cause.Error()
	}
	return "request was sent and not answered: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// Response is the response to a request.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the response headers.
	Header http.Header
	// Body is the response body.
	Body []byte
}

// NewPooled returns a client that reuses connections, for requests that may be repeated. Even with this client, Do
// prevents net/http from replaying a request with a body.
func NewPooled() *http.Client {
	return newClient(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
	})
}

// NewUnpooled returns a client that opens a new connection for each request, for at-most-once calls.
func NewUnpooled() *http.Client {
	return newClient(&http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives: true,
	})
}

// NewWithTransport returns a client that uses the given transport and follows no redirects.
func NewWithTransport(transport *http.Transport) *http.Client {
	return newClient(transport)
}

// newClient returns a client that follows no redirects, since following a redirect sends the request again.
func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: httpclient.New(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// URL returns the URL of a path at an address; query may be nil.
func URL(address netip.AddrPort, path string, query url.Values) string {
	u := url.URL{Scheme: "http", Host: address.String(), Path: path, RawQuery: query.Encode()}
	return u.String()
}

// Do sends a request once and reads the response.
//
// It returns an *Error if it gets no complete response of at most maxBodyBytes; an error status is not an error. The
// request has no GetBody, so that net/http can't replay a request whose body may have been written.
func Do(ctx context.Context, client *http.Client, method, target string, body []byte) (Response, error) {
	return DoWithReader(ctx, client, method, target, body, func(reader io.Reader) ([]byte, error) {
		content, err := io.ReadAll(io.LimitReader(reader, maxBodyBytes+1))
		if err == nil && int64(len(content)) > maxBodyBytes {
			err = errors.Errorf("body exceeds %d bytes", maxBodyBytes)
		}
		return content, err
	})
}

// DoWithReader is like Do, but reads the response body with the function read.
func DoWithReader(
	ctx context.Context, client *http.Client, method, target string, body []byte, read func(io.Reader) ([]byte, error),
) (Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, nil)
	if err != nil {
		return Response{}, &Error{Certainty: NotSent, Cause: errors.Wrap(err, "build the request")}
	}
	if body != nil {
		request.Body = io.NopCloser(bytes.NewReader(body))
		request.ContentLength = int64(len(body))
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := client.Do(request)
	if err != nil {
		return Response{}, &Error{Certainty: certaintyOf(connected.Load()), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := read(response.Body)
	if err != nil {
		return Response{}, &Error{Certainty: Unanswered, Cause: errors.Wrap(err, "read the answer")}
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}

// certaintyOf returns the certainty about a failed request, given whether it got a connection.
func certaintyOf(connected bool) Certainty {
	if connected {
		return Unanswered
	}
	return NotSent
}

// Post sends a value as JSON once and reads the response, as Do does.
func Post(ctx context.Context, client *http.Client, target string, value any) (Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Response{}, &Error{Certainty: NotSent, Cause: errors.Wrap(err, "encode the request")}
	}
	return Do(ctx, client, http.MethodPost, target, body)
}
