// Package caller is the HTTP server for the model requests of client accounts and their calls to plain services.
package caller

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/io/boundedbody"
	"wisteriadyke/io/httpserver"
	"wisteriadyke/io/tcp"
)

const (
	// headerTimeout bounds the time to read a request header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time to read a request body.
	bodyTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 90 * time.Second
	// writeTimeout bounds the time to write one piece of an answer to the caller.
	writeTimeout = 20 * time.Second
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds the size of a request body; a prompt of a million tokens has four million bytes.
	maxBodyBytes = 8 << 20
	// readBytes is the receive buffer of a connection.
	readBytes = 16 << 10
)

// Generator serves model requests; *dispatch.Dispatcher implements it.
type Generator interface {
	// Generate serves one request. Errors are *dispatch.Failure or those of the sink.
	Generate(ctx context.Context, request dispatch.Request, sink dispatch.Sink) error
}

// Server serves model requests and calls to plain services over HTTP. Its fields are set before Run or Serve.
type Server struct {
	// Address is the address to listen on.
	Address netip.AddrPort
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// State holds the current configuration.
	State *clusterstate.State
	// Generator serves model requests.
	Generator Generator
	// Caller serves calls to plain services.
	Caller dispatch.ServiceCaller
	// MaxConns is the maximum number of connections; 0 means no limit.
	MaxConns int
	// HeadMemory bounds the memory for the heads of all requests together; nil means no bound.
	HeadMemory *semaphore.Weighted
	// Bodies is the memory for the bodies of all requests together, until each has ended; nil means no bound.
	Bodies *boundedbody.Pool
}

// Run listens on Address and serves until ctx ends, then completes the requests in flight. It returns an error if it
// can't listen.
func (s *Server) Run(ctx context.Context) error {
	limits := httpserver.Limits{MaxConns: s.MaxConns, HeadMemory: s.HeadMemory, Buffers: tcp.Buffers{Read: readBytes}}
	listener, err := limits.Listen(ctx, s.Address)
	if err != nil {
		return errors.Wrap(err, "caller server")
	}
	return s.Serve(ctx, listener)
}

// Serve serves the connections of listener until ctx ends, then completes the requests in flight.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	httpserver.Track(server)
	var group errgroup.Group
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "caller server")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		return errors.Wrap(server.Shutdown(context.WithoutCancel(ctx)), "caller server")
	})
	return group.Wait()
}

// Handler returns the HTTP handler of all routes.
func (s *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/requests", s.handleRequest)
	app.Post("/v1/calls/{class:string}", s.handleCall)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "caller server")
	}
	return app, nil
}
