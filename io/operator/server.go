// Package operator serves operators over HTTP: health, metrics, status, the timeline and profiles. It also contains
// the client of status and timeline.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/timeline"
	"wisteriadyke/io/httpserver"
	"wisteriadyke/io/tcp"
)

const (
	// readTimeout bounds the time to read a request, and writeTimeout the time to serve it, of which profiles take most.
	readTimeout  = 5 * time.Second
	writeTimeout = 2 * time.Minute
	// maxConns is the maximum number of connections, maxHeaderBytes bounds the header of a request, and readBytes is the
	// receive buffer of a connection.
	maxConns       = 32
	maxHeaderBytes = 8 << 10
	readBytes      = 8 << 10
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 90 * time.Second
	// shutdownTimeout bounds the time for which Run waits for requests in flight after its context has ended.
	shutdownTimeout = time.Second
	// bearerPrefix is the prefix of the key in the Authorization header.
	bearerPrefix = "Bearer "
)

// Server serves operators over HTTP. Its fields must be set before Run.
type Server struct {
	// Address is the address to listen on.
	Address netip.AddrPort
	// KeyDigest is the SHA-256 digest of the operators' key in hexadecimal; "" disables authentication.
	KeyDigest string
	// Profiling enables the paths of the runtime's profiles.
	Profiling bool
	// Status returns the status of the entry; the server sets its field Ready.
	Status func() Status
	// Timeline records the events of the entry.
	Timeline *timeline.Recorder
	// Metrics contains the metrics of the entry.
	Metrics metrics.Registry

	ready atomic.Bool
}

// SetReady sets whether GET /readyz reports to the balancer that the entry accepts new requests. Until the first call,
// /readyz answers 503. Only package entry calls it; package gateway answers readiness probes in package ingress, so its
// /readyz always answers 503, and Status.Ready is false.
func (s *Server) SetReady(ready bool) {
	s.ready.Store(ready)
}

// Run serves until ctx ends, then waits up to shutdownTimeout for requests in flight. It returns an error at once if it
// cannot listen on Address, and after ctx has ended if the server failed before.
func (s *Server) Run(ctx context.Context) error {
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	limits := httpserver.Limits{MaxConns: maxConns, Buffers: tcp.Buffers{Read: readBytes}}
	listener, err := limits.Listen(ctx, s.Address)
	if err != nil {
		return errors.Wrap(err, "operator server")
	}
	server := &http.Server{
		Handler: handler, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	httpserver.Track(server)
	var group errgroup.Group
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "operator server")
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(stop)
		return nil
	})
	return group.Wait()
}

// Handler returns the HTTP handler of all paths.
func (s *Server) Handler() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/healthz", func(ctx iris.Context) { ctx.StatusCode(iris.StatusOK) })
	app.Get("/readyz", s.handleReady)
	app.Get("/metrics", s.handleMetricsText)
	authenticated := app.Party("/v1", s.authenticate)
	authenticated.Get("/status", s.handleStatus)
	authenticated.Get("/timeline", s.handleTimeline)
	authenticated.Get("/metrics", s.handleMetricsJSON)
	if s.Profiling {
		s.serveProfiles(app.Party("/debug/pprof", s.authenticate))
	}
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "operator server")
	}
	return app, nil
}

// handleReady serves GET /readyz, by which the balancer decides whether to send requests to this entry.
func (s *Server) handleReady(ctx iris.Context) {
	if !s.ready.Load() {
		ctx.StatusCode(iris.StatusServiceUnavailable)
		return
	}
	ctx.StatusCode(iris.StatusOK)
}

// authenticate answers a request without the operators' key with status 401, unless KeyDigest is empty.
func (s *Server) authenticate(ctx iris.Context) {
	if s.KeyDigest == "" {
		ctx.Next()
		return
	}
	key := strings.TrimPrefix(ctx.GetHeader("Authorization"), bearerPrefix)
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	if subtle.ConstantTimeCompare([]byte(digest), []byte(s.KeyDigest)) != 1 {
		ctx.StatusCode(iris.StatusUnauthorized)
		ctx.StopExecution()
		return
	}
	ctx.Next()
}

// serveProfiles adds the handlers of the runtime's profiles to party.
func (s *Server) serveProfiles(party iris.Party) {
	party.Get("/", iris.FromStd(pprof.Index))
	party.Get("/profile", iris.FromStd(pprof.Profile))
	party.Get("/{name:string}", func(ctx iris.Context) {
		pprof.Handler(ctx.Params().Get("name")).ServeHTTP(ctx.ResponseWriter(), ctx.Request())
	})
}
