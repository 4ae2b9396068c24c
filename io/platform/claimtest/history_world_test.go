package claimtest

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/idempotency"
	"wisteriadyke/io/platform"
	standin "wisteriadyke/standin/platform"
)

// Sizes of one schedule.
const (
	entries        = 3
	keys           = 6
	maxSubmissions = 6
	maxFailures    = 8
	scheduleTime   = 6 * time.Minute
)

// process is one entry with its life.
type process struct {
	caller *idempotency.Executor
	gate   *gate
	stop   context.CancelFunc
}

// world is one schedule over the real callers and small fakes.
type world struct {
	t         *testing.T
	dice      *dice
	store     standin.Store
	history   history
	desk      desk
	group     errgroup.Group
	retention time.Duration

	mu        sync.Mutex
	healed    bool
	processes []*process
}

// faults returns the share of messages that go wrong.
func (w *world) faults() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.healed {
		return 0
	}
	return 0.06
}

// newWorld starts the entries of a schedule.
func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, dice: newDice(seed), retention: 15 * time.Minute}
	if w.dice.chance(0.4) {
		w.retention = 2 * time.Minute
	}
	w.store.Faults.Seed(seed)
	w.desk = desk{history: &w.history, dice: w.dice, group: &w.group, faults: w.faults}
	for range entries {
		w.processes = append(w.processes, w.start())
	}
	return w
}

// start starts an entry.
func (w *world) start() *process {
	g := newGate()
	claims := &platform.Claims{Tables: &wire{
		gate: g, store: &w.store, dice: w.dice, group: &w.group, faults: w.faults,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{gate: g, stop: cancel, caller: &idempotency.Executor{
		Store:         claims,
		Limits:        idempotency.Limits{WritesPerSecond: 50, ReadsPerSecond: 200},
		Retention:     w.retention,
		Skew:          5 * time.Second,
		MaxInProgress: 64,
	}}
	sweeper := &idempotency.Sweeper{Store: claims, Retention: w.retention, Skew: 5 * time.Second}
	w.group.Go(func() error { return p.caller.Run(ctx) })
	w.group.Go(func() error { return sweeper.Run(ctx) })
	return p
}

// any returns a random entry that is not killed.
func (w *world) any() *process {
	i := w.dice.below(entries)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[i]
}

// kill kills an entry and starts another in its place.
func (w *world) kill() {
	i := w.dice.below(entries)
	next := w.start()
	w.mu.Lock()
	killed := w.processes[i]
	w.processes[i] = next
	w.mu.Unlock()
	close(killed.gate.killed)
	killed.stop()
}

// fail causes one failure and waits until it is over.
func (w *world) fail() {
	time.Sleep(w.dice.upTo(scheduleTime))
	switch w.dice.below(6) {
	case 0:
		w.kill()
	case 1:
		w.any().gate.freeze(w.dice.upTo(4 * time.Minute))
	case 2:
		w.disturb(standin.FaultSettings{Outage: true})
	case 3:
		w.disturb(standin.FaultSettings{Delay: w.dice.upTo(2 * time.Second)})
	case 4:
		w.disturb(standin.FaultSettings{LoseAnswers: 0.5})
	case 5:
		w.any().gate.cutOff(w.dice.upTo(3 * time.Minute))
	}
}

// disturb puts faults of the store in force for a while.
func (w *world) disturb(settings standin.FaultSettings) {
	w.store.Faults.Set(settings)
	time.Sleep(w.dice.upTo(2 * time.Minute))
	w.store.Faults.Set(standin.FaultSettings{})
}

// key returns a key that carries the present time.
func (w *world) key(account int) idempotency.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(time.Now().UnixMilli())<<16)
	id[6] = 7 << 4
	id[8] = 1 << 7
	id[15] = byte(account)
	key, err := idempotency.ParseKey(fleet.AccountID(fmt.Sprintf("account-%d", account)), id.String())
	if err != nil {
		w.t.Error(err)
	}
	return key
}

// submit sends one request with a key to a random entry and records what the caller is told.
func (w *world) submit(key idempotency.Key, submission int) seen {
	p := w.any()
	in := step{key: string(key.Account), submission: submission}
	digest := idempotency.DigestOf("file_credit", nil)
	if w.dice.chance(0.03) && submission < maxSubmissions {
		digest = idempotency.DigestOf("file_credit", []byte("other"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second+w.dice.upTo(30*time.Second))
	defer cancel()
	leaves := w.dice.chance(w.faults())
	if leaves {
		w.group.Go(func() error {
			time.Sleep(w.dice.upTo(3 * time.Second))
			cancel()
			return nil
		})
	}
	call := w.history.begin()
	told := make(chan seen, 1)
	w.group.Go(func() error {
		told <- w.ask(ctx, p, key, digest, in)
		return nil
	})
	deadline, _ := ctx.Deadline()
	out := seen{lost: true}
	select {
	case out = <-told:
		out.lost = out.lost || leaves
	case <-time.After(time.Until(deadline) + time.Second):
	}
	w.history.end(call, in, out)
	return out
}

// ask calls an entry and returns what it says, if it lives to say it.
func (w *world) ask(
	ctx context.Context, p *process, key idempotency.Key, digest idempotency.Digest, in step,
) seen {
	if !p.gate.pass() {
		return seen{lost: true}
	}
	result, _ := p.caller.Do(ctx, key, digest, func(ctx context.Context) (idempotency.Answer, idempotency.SendOutcome) {
		return w.desk.send(ctx, p.gate, in)
	})
	return seen{
		state:          result.State,
		earlierUnknown: result.EarlierUnknown,
		repeated:       result.Repeated,
		answer:         string(result.Answer.Body),
		lost:           !p.gate.pass(),
	}
}

// callerOf sends the requests of one key, one after another or at once.
func (w *world) callerOf(account int) {
	time.Sleep(w.dice.upTo(scheduleTime / 2))
	key := w.key(account)
	var group errgroup.Group
	for s := range 1 + w.dice.below(maxSubmissions) {
		if w.dice.chance(0.3) {
			group.Go(func() error {
				w.submit(key, s)
				return nil
			})
			continue
		}
		w.submit(key, s)
		time.Sleep(w.dice.upTo(time.Minute))
	}
	_ = group.Wait()
	w.settleLast(key)
}

// settleLast waits until all failures are over and checks that the key comes to a final outcome.
func (w *world) settleLast(key idempotency.Key) {
	time.Sleep(time.Until(key.CreatedAt.Add(w.retention / 2)))
	for s := maxSubmissions; s < maxSubmissions+20; s++ {
		w.mu.Lock()
		healed := w.healed
		w.mu.Unlock()
		out := w.submit(key, s)
		if final(out) || time.Since(key.CreatedAt) > w.retention {
			return
		}
		if healed && s == maxSubmissions+19 {
			w.t.Errorf("key %s has come to no outcome but %+v", key.Account, out)
		}
		time.Sleep(30 * time.Second)
	}
}

// final reports whether a caller has no reason to come back.
func final(out seen) bool {
	switch out.state {
	case idempotency.StateDone, idempotency.StateFailed, idempotency.StateOutcomeUnknown:
		return !out.lost
	}
	return false
}

// heal ends all faults of messages after the schedule's time.
func (w *world) heal() {
	time.Sleep(scheduleTime + 4*time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.healed = true
}

// run plays the schedule and returns its history.
func (w *world) run() []porcupine.Operation {
	var callers errgroup.Group
	for k := range keys {
		callers.Go(func() error {
			w.callerOf(k)
			return nil
		})
	}
	for range w.dice.below(maxFailures) {
		callers.Go(func() error {
			w.fail()
			return nil
		})
	}
	callers.Go(func() error {
		w.heal()
		return nil
	})
	_ = callers.Wait()
	for _, p := range w.processes {
		p.stop()
	}
	if err := w.group.Wait(); err != nil {
		w.t.Errorf("entry: %v", err)
	}
	return w.history.operations()
}
