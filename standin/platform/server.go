package platform

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// Timeouts of the HTTP server.
const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Server serves the platform stand-in over HTTP.
type Server struct {
	// Address is the address that Run listens on.
	Address netip.AddrPort
	// Store holds the tables and objects.
	Store *Store
	// Instances is the list of instances, in which changes become visible after a lag.
	Instances *Instances
	// Weights serves model weights.
	Weights *Weights
	// Log receives the log messages of the server.
	Log zerolog.Logger
}

// Handler returns an HTTP handler for all routes of the stand-in.
func (s *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/tables/transact", s.transact)
	app.Post("/v1/tables/read", s.read)
	app.Get("/v1/tables/{table:string}", s.scan)
	app.Put("/v1/objects/{key:path}", s.putObject)
	app.Get("/v1/objects/{key:path}", s.getObject)
	app.Delete("/v1/objects/{key:path}", s.deleteObject)
	app.Get("/v1/weights/{name:path}", s.weights)
	app.Get("/v1/instances", s.listInstances)
	app.Post("/control/instances", s.putInstance)
	app.Delete("/control/instances/{id:string}", s.removeInstance)
	app.Post("/control", s.control)
	app.Get("/control/stats", s.stats)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the routes")
	}
	return app, nil
}

// Run listens on Address and serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	return s.Serve(ctx, listener)
}

// Serve serves on a listener until ctx ends, and closes the listener. Requests in flight then have shutdownTimeout to
// end.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	s.Log.Info().Msgf("platform: listening on %s", listener.Addr())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			return errors.Wrap(server.Close(), "close the server")
		}
		return nil
	})
	return group.Wait()
}

// writeError answers with the HTTP status and the body for err, or aborts the connection if err is ErrAnswerLost.
func writeError(c iris.Context, err error) {
	var conflict *ConflictError
	switch {
	case errors.Is(err, ErrAnswerLost):
		panic(http.ErrAbortHandler)
	case errors.As(err, &conflict):
		c.StatusCode(http.StatusConflict)
		_ = c.JSON(newWireConflicts(conflict))
	case errors.Is(err, ErrOutage):
		writeErrorStatus(c, http.StatusServiceUnavailable, err)
	case errors.Is(err, ErrThrottled):
		writeErrorStatus(c, http.StatusTooManyRequests, err)
	case errors.Is(err, ErrNotFound):
		writeErrorStatus(c, http.StatusNotFound, err)
	default:
		writeErrorStatus(c, http.StatusBadRequest, err)
	}
}

// wireError is the body of an answer that refuses a request.
type wireError struct {
	Error string `json:"error"`
}

// writeErrorStatus answers with a status and the text of err.
func writeErrorStatus(c iris.Context, status int, err error) {
	c.StatusCode(status)
	_ = c.JSON(wireError{Error: err.Error()})
}
