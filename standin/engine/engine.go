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
	// maxClockLag is how far the model may lag behind the wall clock before the process counts as having been frozen.
	maxClockLag = time.Second
	// headerTimeout bounds how long the header of a request may take to arrive.
	headerTimeout = 10 * time.Second
)

// Engine serves a Model over HTTP.
//
// It uses net/http without iris, which would add nothing: streams are flushed after every token, and connections are
// aborted in the middle of an answer.
type Engine struct {
	// Settings configures the model. It must be set before the first request.
	Settings Settings
	// Listener is what Run serves on. If it is nil, Run only advances the batch, and the caller serves the engine as an
	// http.Handler.
	Listener net.Listener

	once sync.Once
	mux  *http.ServeMux
	// mu guards model and idle.
	mu    sync.Mutex
	model *Model
	// wake ends the sleep of advanceBatch; idle reports whether the model had no work when advanceBatch last checked.
	wake chan struct{}
	idle bool
}

// init starts the model and registers the routes on first use.
func (e *Engine) init() {
	e.once.Do(func() {
		e.model = &Model{Settings: e.Settings}
		e.model.Start(time.Now())
		e.wake = make(chan struct{}, 1)
		e.mux = e.routes()
	})
}

// Run advances the batch and serves requests until ctx ends, which aborts the streams that are still open. It returns
// an error if Listener fails before that.
func (e *Engine) Run(ctx context.Context) error {
	e.init()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.advanceBatch(ctx) })
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

// Running returns the number of attempts that hold memory, including orphaned ones.
func (e *Engine) Running() int {
	var running int
	e.withModel(func(m *Model, _ time.Time) { running = m.Running() })
	return running
}

// Stats returns the counters over all incarnations of the engine.
func (e *Engine) Stats() Stats {
	var stats Stats
	e.withModel(func(m *Model, _ time.Time) { stats = m.Stats() })
	return stats
}

// Apply applies a control request.
func (e *Engine) Apply(control Control) {
	e.withModel(func(m *Model, now time.Time) { m.Apply(now, control) })
}

// advanceBatch advances the model every Tick while it is busy, and sleeps until wakeUp while it is idle.
func (e *Engine) advanceBatch(ctx context.Context) error {
	ticker := time.NewTicker(Tick)
	defer ticker.Stop()
	for {
		var busy bool
		e.withModel(func(m *Model, now time.Time) {
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

// withModel skips a freeze of the process and calls the function use with the model locked. It wakes advanceBatch if an
// idle model became busy.
func (e *Engine) withModel(use func(m *Model, now time.Time)) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.model.skipFreeze(now)
	use(e.model, now)
	if e.idle && e.model.Busy() {
		e.wakeUp()
	}
}

// wakeUp makes advanceBatch check whether the model is busy.
func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
