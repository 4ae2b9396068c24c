// Package httpclient is the transport that all HTTP clients use. It takes only well-formed answers, and none as whole whose
// connection has failed.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// minStatus and maxStatus bound the status of an answer. Informational ones precede it.
const (
	minStatus = 200
	maxStatus = 599
)

// ErrMalformed means that an answer has a status or a header field that no answer may have.
var ErrMalformed = errors.New("malformed answer")

// Transport is an http.Transport whose responses are checked; create it with New.
type Transport struct {
	*http.Transport
}

// New returns a transport that sends requests as another one does, which must not be used otherwise.
func New(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(raw), nil
	}
	return &Transport{Transport: transport}
}

// RoundTrip sends one request. The error is ErrMalformed for a malformed answer, whose connection is closed.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	exchange := newExchange()
	trace := &httptrace.ClientTrace{
		GotConn:        exchange.begin,
		WroteRequest:   exchange.wroteRequest,
		Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkFields(http.Header(header)) },
	}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		exchange.abort()
		_ = response.Body.Close()
		return nil, err
	}
	if response.Body != http.NoBody {
		response.Body = &body{ReadCloser: response.Body, response: response, exchange: exchange}
	}
	return response, nil
}

// checkHead returns an error if the head of a response is malformed.
func checkHead(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return errors.Wrapf(ErrMalformed, "status %03d", response.StatusCode)
	}
	return checkFields(response.Header)
}

// checkFields returns an error if a field has a name or a value that no field may have. net/http takes a field whose name
// holds a blank, as in "Content-Length : 2", for another one.
func checkFields(header http.Header) error {
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field name %q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Wrapf(ErrMalformed, "value of field %q", name)
			}
		}
	}
	return nil
}
