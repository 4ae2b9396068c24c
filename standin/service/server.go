package service

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
)

// Timeouts of the HTTP server.
const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// ErrDied means that a control request has killed the stand-in.
var ErrDied = errors.New("service was killed by a control request")

// Server serves the service stand-in over HTTP.
type Server struct {
	// Address is the address that Run listens on.
	Address netip.AddrPort
	// Service executes the calls.
	Service *Service
	// Log receives the log messages of the server.
	Log zerolog.Logger

	once sync.Once
	died chan struct{}
}

// Handler returns an HTTP handler for all routes of the stand-in.
func (s *Server) Handler() (http.Handler, error) {
	s.once.Do(func() { s.died = make(chan struct{}, 1) })
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Post("/v1/calls/{operation:string}", s.call)
	app.Get("/v1/load", s.load)
	app.Post("/control", s.control)
	app.Get("/control/runs", s.runs)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "build the routes")
	}
	return app, nil
}

// Run listens on Address and serves until ctx ends. It returns ErrDied if a control request kills the stand-in.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.Address)
	}
	return s.Serve(ctx, listener)
}

// Serve serves on a listener until ctx ends, and closes the listener. It returns ErrDied if a control request kills the
// stand-in.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	s.Log.Info().Msgf("service: listening on %s", listener.Addr())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve")
		}
		return nil
	})
	group.Go(func() error { return s.stop(ctx, server) })
	return group.Wait()
}

// stop closes the server at once when it is killed, or gracefully when ctx ends.
func (s *Server) stop(ctx context.Context, server *http.Server) error {
	select {
	case <-s.died:
		_ = server.Close()
		return ErrDied
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(server.Close(), "close the server")
	}
	return nil
}

// wireCall is the body of POST /v1/calls/{operation}.
type wireCall struct {
	CallID    string          `json:"call_id"`
	AttemptID fleet.AttemptID `json:"attempt_id"`
	Account   fleet.AccountID `json:"account"`
	Fence     fleet.Fence     `json:"fence"`
	Body      json.RawMessage `json:"body"`
}

// wireAnswer is the answer to a call.
type wireAnswer struct {
	CallID    string          `json:"call_id"`
	AttemptID fleet.AttemptID `json:"attempt_id"`
	Result    wireResult      `json:"result"`
}

// wireResult is the result of every operation, which echoes the call.
type wireResult struct {
	Operation string          `json:"operation"`
	Account   fleet.AccountID `json:"account"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// wireError is the body of an answer that refuses a request.
type wireError struct {
	Error string `json:"error"`
}

// call handles POST /v1/calls/{operation}.
func (s *Server) call(c iris.Context) {
	var body wireCall
	if err := c.ReadJSON(&body); err != nil {
		writeErrorStatus(c, http.StatusBadRequest, errors.Wrap(err, "call body"))
		return
	}
	err := s.Service.Run(body.CallID)
	switch {
	case errors.Is(err, ErrAnswerLost):
		panic(http.ErrAbortHandler)
	case err != nil:
		writeErrorStatus(c, http.StatusServiceUnavailable, err)
	default:
		_ = c.JSON(wireAnswer{
			CallID:    body.CallID,
			AttemptID: body.AttemptID,
			Result:    wireResult{Operation: c.Params().Get("operation"), Account: body.Account, Body: body.Body},
		})
	}
}

// writeErrorStatus answers with a status and the text of err.
func writeErrorStatus(c iris.Context, status int, err error) {
	c.StatusCode(status)
	_ = c.JSON(wireError{Error: err.Error()})
}

// wireLoad is the answer to GET /v1/load.
type wireLoad struct {
	Running  int `json:"running"`
	Capacity int `json:"capacity"`
}

// load handles GET /v1/load.
func (s *Server) load(c iris.Context) {
	_ = c.JSON(wireLoad{Running: s.Service.Load(), Capacity: s.Service.Capacity})
}

// wireRuns is the answer to GET /control/runs.
type wireRuns struct {
	CallID string `json:"call_id"`
	Runs   int    `json:"runs"`
}

// runs handles GET /control/runs.
func (s *Server) runs(c iris.Context) {
	id := c.URLParam("call_id")
	_ = c.JSON(wireRuns{CallID: id, Runs: s.Service.Runs(id)})
}

// wireControl is the body of POST /control. Absent fields change nothing.
type wireControl struct {
	FailBefore *float64 `json:"fail_before"`
	CutAfter   *float64 `json:"cut_after"`
	DelayMS    *int64   `json:"delay_ms"`
	Die        bool     `json:"die"`
}

// control handles POST /control.
func (s *Server) control(c iris.Context) {
	var body wireControl
	if err := c.ReadJSON(&body); err != nil {
		writeErrorStatus(c, http.StatusBadRequest, errors.Wrap(err, "control body"))
		return
	}
	settings := s.Service.Settings()
	if body.FailBefore != nil {
		settings.FailBefore = *body.FailBefore
	}
	if body.CutAfter != nil {
		settings.CutAfter = *body.CutAfter
	}
	if body.DelayMS != nil {
		settings.Delay = time.Duration(*body.DelayMS) * time.Millisecond
	}
	s.Service.Set(settings)
	if body.Die {
		s.die()
	}
	c.StatusCode(http.StatusNoContent)
}

// die makes Serve return ErrDied. Repeated calls have no effect.
func (s *Server) die() {
	select {
	case s.died <- struct{}{}:
	default:
	}
}
