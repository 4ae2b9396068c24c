package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Limits of the server.
const (
	// maxBehind is how far the batch may lag behind the clock before it counts as frozen.
	maxBehind = time.Second
	// headerTimeout bounds how long the header of a call may take.
	headerTimeout = 10 * time.Second
)

// Engine serves a Model over HTTP.
//
// It uses net/http alone, since streams are flushed by the token and connections
// are cut in the midst of an answer, which iris would only hand through.
type Engine struct {
	// Settings configures the model; it is set before the first call.
	Settings Settings
	// Listener is where Run serves; with nil, Run only works the batch and the caller serves the engine as a handler.
	Listener net.Listener

	once  sync.Once
	mux   *http.ServeMux
	mu    sync.Mutex
	model *Model
	wake  chan struct{}
	idle  bool
}

// init starts the model and lays out the routes.
func (e *Engine) init() {
	e.once.Do(func() {
		e.model = &Model{Settings: e.Settings}
		e.model.Start(time.Now())
		e.wake = make(chan struct{}, 1)
		e.mux = e.routes()
	})
}

// Run works the batch and serves until ctx ends; streams that then run are cut.
func (e *Engine) Run(ctx context.Context) error {
	e.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.work(ctx) })
	if e.Listener != nil {
		server := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
		group.Go(func() error {
			err := server.Serve(e.Listener)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return errors.Wrap(err, "serve engine")
		})
		group.Go(func() error {
			<-ctx.Done()
			return server.Close()
		})
	}
	return group.Wait()
}

// Running returns the number of attempts that hold memory.
func (e *Engine) Running() int {
	var running int
	e.with(func(m *Model, _ time.Time) { running = m.Running() })
	return running
}

// Stats returns the counts of all lives of the engine.
func (e *Engine) Stats() Stats {
	var stats Stats
	e.with(func(m *Model, _ time.Time) { stats = m.Stats() })
	return stats
}

// Apply carries out a control call.
func (e *Engine) Apply(control Control) {
	e.with(func(m *Model, now time.Time) { m.Apply(now, control) })
}

// work advances the model by ticks while it is busy.
func (e *Engine) work(ctx context.Context) error {
	ticker := time.NewTicker(Tick)
	defer ticker.Stop()
	for {
		var busy bool
		e.with(func(m *Model, now time.Time) {
			m.Advance(now)
			busy = m.Busy()
			e.idle = !busy
		})
		next := ticker.C
		if !busy {
			ticker.Stop()
			next = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-e.wake:
			ticker.Reset(Tick)
		case <-next:
		}
	}
}

// with calls use while it holds the model.
func (e *Engine) with(use func(m *Model, now time.Time)) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.model.thaw(now)
	use(e.model, now)
	if e.idle && e.model.Busy() {
		e.signal()
	}
}

// signal tells work that there may be something to do.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
