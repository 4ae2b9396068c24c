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

// Parameters of one schedule. A key has at most maxSubmissions random submissions, a schedule fewer than maxFailures
// failures.
const (
	entries        = 3
	keys           = 6
	maxSubmissions = 6
	maxFailures    = 8
	scheduleTime   = 6 * time.Minute
)

// process is one simulated entry process.
type process struct {
	executor *idempotency.Executor
	control  *control
	stop     context.CancelFunc
}

// schedule is one seeded run of real executors with the stand-in of the store and a simulated network and service.
type schedule struct {
	t           *testing.T
	random      *random
	store       standin.Store
	history     history
	fakeService fakeService
	// group runs the entries and the simulated messages.
	group errgroup.Group
	// retention is how long claims are kept.
	retention time.Duration

	mu            sync.Mutex
	faultsStopped bool
	processes     []*process
}

// faultShare returns the probability of each kind of fault of a message, 0 after stopFaults.
func (w *schedule) faultShare() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faultsStopped {
		return 0
	}
	return 0.06
}

// newSchedule returns a schedule with running entries.
func newSchedule(t *testing.T, seed uint64) *schedule {
	w := &schedule{t: t, random: newRandom(seed), retention: 15 * time.Minute}
	if w.random.chance(0.4) {
		w.retention = 2 * time.Minute
	}
	w.store.Faults.Seed(seed)
	w.fakeService = fakeService{history: &w.history, random: w.random, group: &w.group, faultShare: w.faultShare}
	for range entries {
		w.processes = append(w.processes, w.start())
	}
	return w
}

// start starts an entry.
func (w *schedule) start() *process {
	g := newControl()
	claims := &platform.Claims{Tables: &storeLink{
		control: g, store: &w.store, random: w.random, group: &w.group, faultShare: w.faultShare,
	}}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{control: g, stop: cancel, executor: &idempotency.Executor{
		Store:         claims,
		Limits:        idempotency.Limits{WritesPerSecond: 50, ReadsPerSecond: 200},
		Retention:     w.retention,
		Skew:          5 * time.Second,
		MaxInProgress: 64,
	}}
	sweeper := &idempotency.Sweeper{Store: claims, Retention: w.retention, Skew: 5 * time.Second}
	w.group.Go(func() error { return p.executor.Run(ctx) })
	w.group.Go(func() error { return sweeper.Run(ctx) })
	return p
}

// randomProcess returns a random entry that was not killed.
func (w *schedule) randomProcess() *process {
	i := w.random.intN(entries)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[i]
}

// kill kills a random entry and starts another in its place.
func (w *schedule) kill() {
	i := w.random.intN(entries)
	next := w.start()
	w.mu.Lock()
	killed := w.processes[i]
	w.processes[i] = next
	w.mu.Unlock()
	close(killed.control.killed)
	killed.stop()
}

// injectFailure causes one failure of an entry or the store at a random time and waits until it ends.
func (w *schedule) injectFailure() {
	time.Sleep(w.random.duration(scheduleTime))
	switch w.random.intN(6) {
	case 0:
		w.kill()
	case 1:
		w.randomProcess().control.freeze(w.random.duration(4 * time.Minute))
	case 2:
		w.injectStoreFault(standin.FaultSettings{Outage: true})
	case 3:
		w.injectStoreFault(standin.FaultSettings{Delay: w.random.duration(2 * time.Second)})
	case 4:
		w.injectStoreFault(standin.FaultSettings{LoseAnswers: 0.5})
	case 5:
		w.randomProcess().control.disconnect(w.random.duration(3 * time.Minute))
	}
}

// injectStoreFault sets faults of the store for a random time.
func (w *schedule) injectStoreFault(settings standin.FaultSettings) {
	w.store.Faults.Set(settings)
	time.Sleep(w.random.duration(2 * time.Minute))
	w.store.Faults.Set(standin.FaultSettings{})
}

// key returns a new idempotency key of an account, which contains the current time.
func (w *schedule) key(account int) idempotency.Key {
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

// submit sends one request with a key to a random entry and records the result that the caller receives.
func (w *schedule) submit(key idempotency.Key, submission int) callOutput {
	p := w.randomProcess()
	in := callInput{key: string(key.Account), submission: submission}
	digest := idempotency.DigestOf("file_credit", nil)
	if w.random.chance(0.03) && submission < maxSubmissions {
		digest = idempotency.DigestOf("file_credit", []byte("other"))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second+w.random.duration(30*time.Second))
	defer cancel()
	disconnects := w.random.chance(w.faultShare())
	if disconnects {
		w.group.Go(func() error {
			time.Sleep(w.random.duration(3 * time.Second))
			cancel()
			return nil
		})
	}
	call := w.history.begin()
	outputs := make(chan callOutput, 1)
	w.group.Go(func() error {
		outputs <- w.execute(ctx, p, key, digest, in)
		return nil
	})
	deadline, _ := ctx.Deadline()
	out := callOutput{lost: true}
	select {
	case out = <-outputs:
		out.lost = out.lost || disconnects
	case <-time.After(time.Until(deadline) + time.Second):
	}
	w.history.end(call, in, out)
	return out
}

// execute calls an entry and returns its result; the result is lost if the entry is killed before it returns.
func (w *schedule) execute(
	ctx context.Context, p *process, key idempotency.Key, digest idempotency.Digest, in callInput,
) callOutput {
	if !p.control.waitRunning() {
		return callOutput{lost: true}
	}
	result, _ := p.executor.Do(ctx, key, digest, func(ctx context.Context) (idempotency.Answer, idempotency.SendOutcome) {
		return w.fakeService.send(ctx, p.control, in)
	})
	return callOutput{
		state:          result.State,
		earlierUnknown: result.EarlierUnknown,
		repeated:       result.Repeated,
		answer:         string(result.Answer.Body),
		lost:           !p.control.waitRunning(),
	}
}

// runCaller submits the key of one account a random number of times, sequentially or concurrently, and then until it
// has a final outcome.
func (w *schedule) runCaller(account int) {
	time.Sleep(w.random.duration(scheduleTime / 2))
	key := w.key(account)
	var group errgroup.Group
	for s := range 1 + w.random.intN(maxSubmissions) {
		if w.random.chance(0.3) {
			group.Go(func() error {
				w.submit(key, s)
				return nil
			})
			continue
		}
		w.submit(key, s)
		time.Sleep(w.random.duration(time.Minute))
	}
	_ = group.Wait()
	w.awaitFinalOutcome(key)
}

// awaitFinalOutcome repeats a request, from half of the retention on, until its outcome is final or the retention has
// passed. It fails the test if the last of 20 requests is sent without faults and gets no final outcome.
func (w *schedule) awaitFinalOutcome(key idempotency.Key) {
	time.Sleep(time.Until(key.CreatedAt.Add(w.retention / 2)))
	for s := maxSubmissions; s < maxSubmissions+20; s++ {
		w.mu.Lock()
		faultsStopped := w.faultsStopped
		w.mu.Unlock()
		out := w.submit(key, s)
		if isFinal(out) || time.Since(key.CreatedAt) > w.retention {
			return
		}
		if faultsStopped && s == maxSubmissions+19 {
			w.t.Errorf("key %s: got no final outcome, last %+v", key.Account, out)
		}
		time.Sleep(30 * time.Second)
	}
}

// isFinal reports whether a caller received an outcome after which it has no reason to repeat its request.
func isFinal(out callOutput) bool {
	switch out.state {
	case idempotency.StateDone, idempotency.StateFailed, idempotency.StateOutcomeUnknown:
		return !out.lost
	}
	return false
}

// stopFaults ends all message faults 4 minutes after the time of the schedule.
func (w *schedule) stopFaults() {
	time.Sleep(scheduleTime + 4*time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faultsStopped = true
}

// run runs the schedule and returns its history.
func (w *schedule) run() []porcupine.Operation {
	var callers errgroup.Group
	for k := range keys {
		callers.Go(func() error {
			w.runCaller(k)
			return nil
		})
	}
	for range w.random.intN(maxFailures) {
		callers.Go(func() error {
			w.injectFailure()
			return nil
		})
	}
	callers.Go(func() error {
		w.stopFaults()
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
