package engine

import (
	"net"
	"net/http"
	"time"
)

// Limits of the connections to engines.
const (
	// dialTimeout bounds how long a connection may take to be made.
	dialTimeout = time.Second
	// keepAlivePeriod is the time between probes of an idle connection.
	keepAlivePeriod = 5 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdle bounds the unused connections to all engines.
	maxIdle = 256
	// maxIdlePerEngine bounds the unused connections to one engine.
	maxIdlePerEngine = 16
)

// NewTransport returns a transport that never replays a call and never asks a proxy.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdlePerEngine,
	}
}

// NewHTTPClient returns a client over NewTransport that follows no redirects and has no timeout.
func NewHTTPClient() *http.Client {
	return &http.Client{
		Transport: NewTransport(),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}
