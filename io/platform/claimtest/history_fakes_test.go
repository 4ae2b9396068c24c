package claimtest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/idempotency"
	"wisteriadyke/io/platform"
	standin "wisteriadyke/standin/platform"
)

// random is a source of random numbers that is safe for concurrent use.
type random struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// newRandom returns a source with the given seed.
func newRandom(seed uint64) *random {
	return &random{rand: rand.New(rand.NewPCG(seed, 1))}
}

// duration returns a random duration in [1 ns, bound]. Its resolution of 1 ns makes it unlikely that two events
// coincide.
func (d *random) duration(bound time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rand.Int64N(int64(bound))) + 1
}

// intN returns a random number in [0, n).
func (d *random) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.IntN(n)
}

// chance reports true with the given probability.
func (d *random) chance(share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Float64() < share
}

// control simulates the process of an entry: while it is frozen, and once it is killed, the entry sends and receives
// nothing.
type control struct {
	mu sync.Mutex
	// resumed is closed while the process is not frozen.
	resumed chan struct{}
	// killed is closed once the process is killed.
	killed       chan struct{}
	disconnected bool
}

// newControl returns the control of a running process.
func newControl() *control {
	running := make(chan struct{})
	close(running)
	return &control{resumed: running, killed: make(chan struct{})}
}

// waitRunning waits until the process is not frozen. It reports false if the process was killed.
func (g *control) waitRunning() bool {
	g.mu.Lock()
	resumed := g.resumed
	g.mu.Unlock()
	select {
	case <-g.killed:
		return false
	case <-resumed:
	}
	select {
	case <-g.killed:
		return false
	default:
		return true
	}
}

// freeze freezes the process for d.
func (g *control) freeze(d time.Duration) {
	resumed := make(chan struct{})
	g.mu.Lock()
	g.resumed = resumed
	g.mu.Unlock()
	time.Sleep(d)
	close(resumed)
}

// disconnect disconnects the process from the store for d.
func (g *control) disconnect(d time.Duration) {
	g.setDisconnected(true)
	time.Sleep(d)
	g.setDisconnected(false)
}

// setDisconnected sets whether the process is disconnected from the store.
func (g *control) setDisconnected(disconnected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disconnected = disconnected
}

// isDisconnected reports whether the process is disconnected from the store.
func (g *control) isDisconnected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.disconnected
}

// storeLink simulates the network between an entry and the store.
type storeLink struct {
	control *control
	store   *standin.Store
	random  *random
	group   *errgroup.Group
	// faultShare returns the probability of each kind of fault of a request: refused, lost or delayed.
	faultShare func() float64
}

// storeResponse is the result of a request to the store.
type storeResponse struct {
	versions []int64
	rows     []standin.Row
	err      error
}

// errConnectionRefused is the cause of the error of a request that was not sent.
var errConnectionRefused = errors.New("connection refused")

// roundTrip executes a request at the store and returns the response, subject to faults. A delayed request may be
// executed after roundTrip has returned an error.
func (w *storeLink) roundTrip(ctx context.Context, execute func() storeResponse) storeResponse {
	if !w.control.waitRunning() || w.random.chance(w.faultShare()) {
		return storeResponse{err: &platform.UnavailableError{Cause: errConnectionRefused}}
	}
	delay := w.random.duration(20 * time.Millisecond)
	lost := w.random.chance(w.faultShare()) || w.control.isDisconnected()
	if w.random.chance(w.faultShare()) {
		delay = w.random.duration(4 * time.Minute)
	}
	responses := make(chan storeResponse, 1)
	w.group.Go(func() error {
		time.Sleep(delay)
		if !lost {
			responses <- execute()
		}
		return nil
	})
	var a storeResponse
	select {
	case a = <-responses:
	case <-ctx.Done():
		a.err = standin.ErrAnswerLost
	}
	if !w.control.waitRunning() || w.control.isDisconnected() {
		a.err = standin.ErrAnswerLost
	}
	a.err = clientError(a.err)
	return a
}

// clientError converts an error of the store to the error that the client returns.
func clientError(err error) error {
	var conflict *standin.ConflictError
	switch {
	case err == nil || errors.Is(err, platform.ErrUnavailable):
		return err
	case errors.As(err, &conflict):
		return &platform.ConflictError{Rows: clientRows(conflict.Rows)}
	case errors.Is(err, standin.ErrOutage), errors.Is(err, standin.ErrThrottled):
		return &platform.UnavailableError{Throttled: errors.Is(err, standin.ErrThrottled), Cause: err}
	case errors.Is(err, standin.ErrInvalid):
		return errors.Wrap(platform.ErrRejected, err.Error())
	}
	return errors.Wrap(platform.ErrUnknownOutcome, err.Error())
}

// clientRows converts rows of the store to rows of the client.
func clientRows(rows []standin.Row) []platform.Row {
	out := make([]platform.Row, len(rows))
	for i, r := range rows {
		out[i] = platform.Row{Key: platform.RowKey(r.Key), Value: r.Value, Version: r.Version}
	}
	return out
}

// Transact implements platform.TableService.
func (w *storeLink) Transact(ctx context.Context, _ string, writes []platform.Write) ([]int64, error) {
	converted := make([]standin.Write, len(writes))
	for i, o := range writes {
		converted[i] = standin.Write{
			Key: standin.RowKey(o.Key), Value: o.Value, IfVersion: o.IfVersion, Delete: o.Delete,
		}
	}
	a := w.roundTrip(ctx, func() storeResponse {
		versions, err := w.store.Transact(converted)
		return storeResponse{versions: versions, err: err}
	})
	return a.versions, a.err
}

// Read implements platform.TableService.
func (w *storeLink) Read(ctx context.Context, keys []platform.RowKey) ([]platform.Row, error) {
	converted := make([]standin.RowKey, len(keys))
	for i, k := range keys {
		converted[i] = standin.RowKey(k)
	}
	a := w.roundTrip(ctx, func() storeResponse {
		rows, err := w.store.Read(converted)
		return storeResponse{rows: rows, err: err}
	})
	return clientRows(a.rows), readError(a.err)
}

// Scan implements platform.TableService.
func (w *storeLink) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	a := w.roundTrip(ctx, func() storeResponse {
		rows, err := w.store.Scan(table, prefix, after, limit)
		return storeResponse{rows: rows, err: err}
	})
	return clientRows(a.rows), readError(a.err)
}

// readError converts every error of a request without side effects to ErrUnavailable, as the client does.
func readError(err error) error {
	if err == nil {
		return nil
	}
	return &platform.UnavailableError{Cause: err}
}

// fakeService is a service that handles every request that it receives, also repeated ones.
type fakeService struct {
	history    *history
	random     *random
	group      *errgroup.Group
	faultShare func() float64
}

// send sends a call to the service and returns its response, subject to faults: a pause between the claim and the call,
// and a request that is not sent, lost or delayed, fails, or whose connection is cut.
func (d *fakeService) send(ctx context.Context, g *control, in callInput) (idempotency.Answer, idempotency.SendOutcome) {
	if d.random.chance(d.faultShare()) {
		time.Sleep(d.random.duration(4 * time.Minute))
	}
	if !g.waitRunning() || d.random.chance(d.faultShare()) {
		return idempotency.Answer{}, idempotency.SendNotSent
	}
	in.service = true
	delay := d.random.duration(100 * time.Millisecond)
	if d.random.chance(d.faultShare()) {
		delay = d.random.duration(4 * time.Minute)
	}
	lost, fails, cut := d.random.chance(d.faultShare()), d.random.chance(d.faultShare()), d.random.chance(d.faultShare())
	responses := make(chan idempotency.Answer, 1)
	d.group.Go(func() error {
		time.Sleep(delay)
		if !lost {
			responses <- d.handle(in, fails)
		}
		return nil
	})
	if cut {
		time.Sleep(delay)
		return idempotency.Answer{}, idempotency.SendUnknown
	}
	select {
	case a := <-responses:
		return a, idempotency.SendAnswered
	case <-ctx.Done():
		return idempotency.Answer{}, idempotency.SendUnknown
	}
}

// handle records that the service handled a request, even if no caller waits for it any more.
func (d *fakeService) handle(in callInput, fails bool) idempotency.Answer {
	state := idempotency.StateDone
	if fails {
		state = idempotency.StateFailed
	}
	d.history.end(d.history.begin(), in, callOutput{state: state})
	time.Sleep(d.random.duration(3 * time.Second))
	return idempotency.Answer{Body: []byte(answerOf(in.submission)), Failed: fails}
}
