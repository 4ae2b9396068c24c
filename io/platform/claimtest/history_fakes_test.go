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

// dice is a source of random numbers for many goroutines.
type dice struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// newDice returns the dice of a seed.
func newDice(seed uint64) *dice {
	return &dice{rand: rand.New(rand.NewPCG(seed, 1))}
}

// upTo returns a time below d that is unlikely to meet another.
func (d *dice) upTo(bound time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rand.Int64N(int64(bound))) + 1
}

// below returns a number below n.
func (d *dice) below(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.IntN(n)
}

// chance reports true in a share of cases.
func (d *dice) chance(share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.Float64() < share
}

// gate stands for the life of an entry's process: nothing passes while it is frozen or killed.
type gate struct {
	mu     sync.Mutex
	thawed chan struct{}
	killed chan struct{}
	cut    bool
}

// newGate returns the gate of a running process.
func newGate() *gate {
	open := make(chan struct{})
	close(open)
	return &gate{thawed: open, killed: make(chan struct{})}
}

// pass waits until the process runs and reports false if it was killed.
func (g *gate) pass() bool {
	g.mu.Lock()
	thawed := g.thawed
	g.mu.Unlock()
	select {
	case <-g.killed:
		return false
	case <-thawed:
	}
	select {
	case <-g.killed:
		return false
	default:
		return true
	}
}

// freeze stops the process for d.
func (g *gate) freeze(d time.Duration) {
	thawed := make(chan struct{})
	g.mu.Lock()
	g.thawed = thawed
	g.mu.Unlock()
	time.Sleep(d)
	close(thawed)
}

// cutOff cuts the process off from the store for d.
func (g *gate) cutOff(d time.Duration) {
	g.setCut(true)
	time.Sleep(d)
	g.setCut(false)
}

// setCut cuts the process off from the store, or ends that.
func (g *gate) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

// isCut reports whether the process is cut off from the store.
func (g *gate) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// wire is the network between an entry and the store.
type wire struct {
	gate  *gate
	store *standin.Store
	dice  *dice
	group *errgroup.Group
	// faults is the share of requests that the network loses, delays or refuses.
	faults func() float64
}

// answer is what the store said.
type answer struct {
	versions []int64
	rows     []standin.Row
	err      error
}

// errPrevented is the error of a connection that was refused.
var errPrevented = errors.New("connection refused")

// carry takes a request to the store and its answer back.
func (w *wire) carry(ctx context.Context, ask func() answer) answer {
	if !w.gate.pass() || w.dice.chance(w.faults()) {
		return answer{err: &platform.UnavailableError{Cause: errPrevented}}
	}
	delay := w.dice.upTo(20 * time.Millisecond)
	lost := w.dice.chance(w.faults()) || w.gate.isCut()
	if w.dice.chance(w.faults()) {
		delay = w.dice.upTo(4 * time.Minute)
	}
	back := make(chan answer, 1)
	w.group.Go(func() error {
		time.Sleep(delay)
		if !lost {
			back <- ask()
		}
		return nil
	})
	var a answer
	select {
	case a = <-back:
	case <-ctx.Done():
		a.err = standin.ErrAnswerLost
	}
	if !w.gate.pass() || w.gate.isCut() {
		a.err = standin.ErrAnswerLost
	}
	a.err = wireError(a.err)
	return a
}

// wireError turns an error of the store as the client would.
func wireError(err error) error {
	var conflict *standin.ConflictError
	switch {
	case err == nil || errors.Is(err, platform.ErrUnavailable):
		return err
	case errors.As(err, &conflict):
		return &platform.ConflictError{Rows: wireRows(conflict.Rows)}
	case errors.Is(err, standin.ErrOutage), errors.Is(err, standin.ErrThrottled):
		return &platform.UnavailableError{Throttled: errors.Is(err, standin.ErrThrottled), Cause: err}
	case errors.Is(err, standin.ErrInvalid):
		return errors.Wrap(platform.ErrRejected, err.Error())
	}
	return errors.Wrap(platform.ErrUnknownOutcome, err.Error())
}

// wireRows turns rows of the store into rows of the client.
func wireRows(rows []standin.Row) []platform.Row {
	out := make([]platform.Row, len(rows))
	for i, r := range rows {
		out[i] = platform.Row{Key: platform.RowKey(r.Key), Value: r.Value, Version: r.Version}
	}
	return out
}

// Transact implements platform.TableService.
func (w *wire) Transact(ctx context.Context, _ string, writes []platform.Write) ([]int64, error) {
	asked := make([]standin.Write, len(writes))
	for i, o := range writes {
		asked[i] = standin.Write{
			Key: standin.RowKey(o.Key), Value: o.Value, IfVersion: o.IfVersion, Delete: o.Delete,
		}
	}
	a := w.carry(ctx, func() answer {
		versions, err := w.store.Transact(asked)
		return answer{versions: versions, err: err}
	})
	return a.versions, a.err
}

// Read implements platform.TableService.
func (w *wire) Read(ctx context.Context, keys []platform.RowKey) ([]platform.Row, error) {
	asked := make([]standin.RowKey, len(keys))
	for i, k := range keys {
		asked[i] = standin.RowKey(k)
	}
	a := w.carry(ctx, func() answer {
		rows, err := w.store.Read(asked)
		return answer{rows: rows, err: err}
	})
	return wireRows(a.rows), readError(a.err)
}

// Scan implements platform.TableService.
func (w *wire) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	a := w.carry(ctx, func() answer {
		rows, err := w.store.Scan(table, prefix, after, limit)
		return answer{rows: rows, err: err}
	})
	return wireRows(a.rows), readError(a.err)
}

// readError turns every error of a request without effects into ErrUnavailable, as the client does.
func readError(err error) error {
	if err == nil {
		return nil
	}
	return &platform.UnavailableError{Cause: err}
}

// desk is a plain service that handles every request it gets.
type desk struct {
	history *history
	dice    *dice
	group   *errgroup.Group
	faults  func() float64
}

// send takes a call to the service and its answer back; some holders pause just before they send.
func (d *desk) send(ctx context.Context, g *gate, in step) (idempotency.Answer, idempotency.SendOutcome) {
	if d.dice.chance(d.faults()) {
		time.Sleep(d.dice.upTo(4 * time.Minute))
	}
	if !g.pass() || d.dice.chance(d.faults()) {
		return idempotency.Answer{}, idempotency.SendNotSent
	}
	in.service = true
	delay := d.dice.upTo(100 * time.Millisecond)
	if d.dice.chance(d.faults()) {
		delay = d.dice.upTo(4 * time.Minute)
	}
	lost, fails, cut := d.dice.chance(d.faults()), d.dice.chance(d.faults()), d.dice.chance(d.faults())
	back := make(chan idempotency.Answer, 1)
	d.group.Go(func() error {
		time.Sleep(delay)
		if !lost {
			back <- d.handle(in, fails)
		}
		return nil
	})
	if cut {
		time.Sleep(delay)
		return idempotency.Answer{}, idempotency.SendUnknown
	}
	select {
	case a := <-back:
		return a, idempotency.SendAnswered
	case <-ctx.Done():
		return idempotency.Answer{}, idempotency.SendUnknown
	}
}

// handle records that the service handled a request, whoever still waits for it.
func (d *desk) handle(in step, fails bool) idempotency.Answer {
	state := idempotency.StateDone
	if fails {
		state = idempotency.StateFailed
	}
	d.history.end(d.history.begin(), in, seen{state: state})
	time.Sleep(d.dice.upTo(3 * time.Second))
	return idempotency.Answer{Body: []byte(answerOf(in.submission)), Failed: fails}
}
