package engine

import (
	"net"
	"net/http"
	"time"

	"wisteriadyke/io/httpclient"
)

// Limits for the connections to engines.
const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	// keepAlivePeriod is the time between TCP keep-alive probes of an idle connection.
	keepAlivePeriod = 5 * time.Second
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = 30 * time.Second
	// maxIdleConns bounds the idle connections to all engines together.
	maxIdleConns = 256
	// maxIdleConnsPerEngine bounds the idle connections to one engine.
	maxIdleConnsPerEngine = 16
)

// NewTransport returns a transport that uses no proxy. It never replays a call by Client that has a body; see onceBody.
func NewTransport() *httpclient.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return httpclient.New(&http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
	})
}

// NewHTTPClient returns an HTTP client that uses a transport from NewTransport, follows no redirects and has no
// timeout.
func NewHTTPClient() *http.Client {
	return &http.Client{
		Transport: NewTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
