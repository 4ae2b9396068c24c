// Package caller serves callers over HTTP.
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

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 30 * time.Second
	// idleTimeout bounds the time that an unused connection is kept.
	idleTimeout = 90 * time.Second
	// writeTimeout bounds the time that a caller may take to read one piece of an answer.
	writeTimeout = 20 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes bounds a request's body; a prompt of a million tokens takes four million bytes.
	maxBodyBytes = 8 << 20
)

// Generator serves model requests; *dispatch.Dispatcher is one.
type Generator interface {
	// Generate serves one request; an error is a *dispatch.Failure or that of the sink.
	Generate(ctx context.Context, request dispatch.Request, sink dispatch.Sink) error
}

// Server serves callers. Its fields are set before Run.
type Server struct {
	// Address is where it listens.
	Address netip.AddrPort
	// Entry is this entry.
	Entry fleet.EntryID
	// State holds the configuration in force.
	State *clusterstate.State
	// Generator serves model requests.
	Generator Generator
	// Caller serves calls of plain services.
	Caller dispatch.ServiceCaller
}

// Run serves until ctx ends, then finishes every request that has begun; it returns an error when the address
// can't be used.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return errors.Wrap(err, "caller server")
	}
	return s.Serve(ctx, listener)
}

// Serve serves the connections of listener until ctx ends, then finishes every request that has begun.
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

// Handler returns the HTTP handler of all calls.
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
