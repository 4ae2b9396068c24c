package platform_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/idempotency"
	"wisteriadyke/io/platform"
	standin "wisteriadyke/standin/platform"
)

// Environment variables of the test: how many seeds to run, and the only seed to run.
const (
	seedsVariable = "IDEMPOTENCY_SEEDS"
	seedVariable  = "IDEMPOTENCY_SEED"
)

// Sizes of one schedule.
const (
	defaultSeeds   = 200
	entries        = 3
	keys           = 6
	maxSubmissions = 6
	maxFailures    = 8
	scheduleTime   = 6 * time.Minute
	checkTimeout   = 30 * time.Second
)

// process is one entry with its life.
type process struct {
	caller *idempotency.Caller
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
	p := &process{gate: g, stop: cancel, caller: &idempotency.Caller{
		Store:         claims,
		Limits:        idempotency.Limits{Writes: 50, Reads: 200},
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
	switch w.dice.below(5) {
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
	out := seen{lost: true}
	if p.gate.pass() {
		result, _ := p.caller.Do(ctx, key, digest, func(ctx context.Context) (idempotency.Answer, idempotency.SendOutcome) {
			return w.desk.send(ctx, p.gate, in)
		})
		out = seen{
			state:          result.State,
			earlierUnknown: result.EarlierUnknown,
			repeated:       result.Repeated,
			answer:         string(result.Answer.Body),
		}
		out.lost = !p.gate.pass() || leaves
	}
	w.history.end(call, in, out)
	return out
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
	time.Sleep(time.Until(key.At.Add(w.retention / 2)))
	for s := maxSubmissions; s < maxSubmissions+20; s++ {
		w.mu.Lock()
		healed := w.healed
		w.mu.Unlock()
		out := w.submit(key, s)
		if final(out) || time.Since(key.At) > w.retention {
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

// seeds returns the seeds to run.
func seeds(t *testing.T) []uint64 {
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", seedVariable, err)
		}
		return []uint64{seed}
	}
	count := defaultSeeds
	if text := os.Getenv(seedsVariable); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatalf("%s: %v", seedsVariable, err)
		}
		count = n
	}
	list := make([]uint64, count)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

// tally counts the outcomes of all schedules.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

// add counts the operations of a history.
func (y *tally) add(history []porcupine.Operation) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.counts == nil {
		y.counts = make(map[string]int)
	}
	for _, o := range history {
		y.counts[nameOf(o.Input.(step), o.Output.(seen))]++
	}
}

// nameOf names an outcome for the tally.
func nameOf(in step, out seen) string {
	switch {
	case in.service:
		return "service " + string(out.state)
	case out.lost:
		return "lost"
	case out.repeated:
		return "repeated " + string(out.state)
	case out.earlierUnknown:
		return "refused"
	}
	return string(out.state)
}

// TestAtMostOnceHistories plays seeded schedules of kills, freezes, outages, slow stores, lost,
// late and refused messages, callers that repeat and callers that leave, over several entries, and
// checks every history against the specification.
func TestAtMostOnceHistories(t *testing.T) {
	var outcomes tally
	list := seeds(t)
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			var operations []porcupine.Operation
			synctest.Test(t, func(t *testing.T) {
				operations = newWorld(t, seed).run()
			})
			outcomes.add(operations)
			result, info := porcupine.CheckOperationsVerbose(atMostOnce, operations, checkTimeout)
			if result == porcupine.Ok {
				return
			}
			t.Errorf("seed %d: history is %s; run again with %s=%d", seed, result, seedVariable, seed)
			if path := os.Getenv("IDEMPOTENCY_HISTORY"); path != "" {
				if err := porcupine.VisualizePath(atMostOnce, info, path); err != nil {
					t.Error(err)
				}
			}
		})
	}
	t.Logf("%d seeds: %v", len(list), outcomes.counts)
	if len(list) >= defaultSeeds {
		checkCoverage(t, outcomes.counts)
	}
}

// checkCoverage fails if the schedules have not caused every kind of outcome.
func checkCoverage(t *testing.T, counts map[string]int) {
	for _, name := range []string{
		"service done", "service failed", "lost", "refused", "done", "failed", "not_run", "outcome_unknown",
		"repeated done", "repeated failed", "repeated in_progress", "repeated outcome_unknown",
	} {
		if counts[name] == 0 {
			t.Errorf("no schedule has led to %q", name)
		}
	}
}

// TestSpecificationFindsFaults checks that the specification refuses histories that are wrong.
func TestSpecificationFindsFaults(t *testing.T) {
	ran := func(submission int) porcupine.Operation {
		return porcupine.Operation{
			Input: step{submission: submission, service: true}, Output: seen{state: idempotency.StateDone},
		}
	}
	told := func(submission int, out seen) porcupine.Operation {
		return porcupine.Operation{Input: step{submission: submission}, Output: out}
	}
	tests := map[string]struct {
		history []porcupine.Operation
		want    bool
	}{
		"run once":            {history: []porcupine.Operation{ran(0), told(0, seen{state: idempotency.StateDone, answer: answerOf(0)})}, want: true},
		"run twice":           {history: []porcupine.Operation{ran(0), ran(1)}},
		"not run, yet it ran": {history: []porcupine.Operation{ran(0), told(0, seen{state: idempotency.StateNotRun})}},
		"not run, then it ran": {
			history: []porcupine.Operation{told(0, seen{state: idempotency.StateNotRun, earlierUnknown: true}), ran(0)},
		},
		"crossed answer": {history: []porcupine.Operation{ran(0), told(0, seen{state: idempotency.StateDone, answer: answerOf(1)})}},
		"done, not run":  {history: []porcupine.Operation{told(0, seen{state: idempotency.StateDone, answer: answerOf(0)})}},
		"repeat that wasn't sent": {
			history: []porcupine.Operation{ran(0), told(1, seen{state: idempotency.StateNotRun, earlierUnknown: true})}, want: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for i := range test.history {
				test.history[i].Call, test.history[i].Return = int64(2*i), int64(2*i+1)
			}
			if got := porcupine.CheckOperations(atMostOnce, test.history); got != test.want {
				t.Errorf("history is linearizable: %v, want %v", got, test.want)
			}
		})
	}
}
