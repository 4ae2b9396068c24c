// Package jsonhttp sends JSON over HTTP without ever sending a request twice.
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
)

// Settings of the connections.
const (
	dialTimeout  = 2 * time.Second
	idleTimeout  = 30 * time.Second
	maxIdle      = 64
	maxBodyBytes = 64 << 20
)

// Certainty tells whether a peer can have seen a request.
type Certainty int

// The certainties of a failed request, from none sent to fully answered.
const (
	// NotSent means that no byte of the request left this process.
	NotSent Certainty = iota + 1
	// Unanswered means that the request may have been carried out.
	Unanswered
	// Answered means that the peer answered.
	Answered
)

// Error is a request that got no answer.
type Error struct {
	// Certainty is NotSent or Unanswered.
	Certainty Certainty
	// Cause is the error of net/http.
	Cause error
}

// Error implements error.
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

// Response is an answer with its whole body.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the answer's headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
}

// NewPooled returns a client that keeps connections open, for requests that may be repeated.
//
// Do still never lets net/http replay a POST on it.
func NewPooled() *http.Client {
	return newClient(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdle,
	})
}

// NewUnpooled returns a client that opens a connection for each request, for at-most-once calls.
func NewUnpooled() *http.Client {
	return newClient(&http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives: true,
	})
}

// NewWithTransport returns a client with connections of the caller's making.
func NewWithTransport(transport *http.Transport) *http.Client {
	return newClient(transport)
}

// newClient returns a client that follows no redirect, since following one sends a request again.
func newClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport: transport,
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

// Do sends one request once and reads the whole answer.
//
// It returns an *Error when no whole answer came. A status that refuses is no error. The body has no
// GetBody, without which net/http can't replay a request that may have been written.
func Do(ctx context.Context, client *http.Client, method, target string, body []byte) (Response, error) {
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
	answer, err := client.Do(request)
	if err != nil {
		return Response{}, &Error{Certainty: certainty(connected.Load()), Cause: err}
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes))
	if err != nil {
		return Response{}, &Error{Certainty: Unanswered, Cause: errors.Wrap(err, "read the answer")}
	}
	return Response{Status: answer.StatusCode, Header: answer.Header, Body: content}, nil
}

// certainty tells what is known of a request that failed with or without a connection.
func certainty(connected bool) Certainty {
	if connected {
		return Unanswered
	}
	return NotSent
}

// Post sends a value as JSON and reads the whole answer.
func Post(ctx context.Context, client *http.Client, target string, value any) (Response, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return Response{}, &Error{Certainty: NotSent, Cause: errors.Wrap(err, "encode the request")}
	}
	return Do(ctx, client, http.MethodPost, target, body)
}
