package claimtest

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"wisteriadyke/core/idempotency"
)

// Environment variables of TestAtMostOnceHistories: the number of seeds to run, and the only seed to run.
const (
	seedsVariable = "IDEMPOTENCY_SEEDS"
	seedVariable  = "IDEMPOTENCY_SEED"
)

// Parameters of TestAtMostOnceHistories.
const (
	defaultSeeds = 200
	checkTimeout = 30 * time.Second
)

// seeds returns the seeds to run: by default 1 to defaultSeeds.
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

// outcomeTally counts the outcomes of operations by name.
type outcomeTally struct {
	mu     sync.Mutex
	counts map[string]int
}

// add counts the operations of a history.
func (c *outcomeTally) add(history []porcupine.Operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	for _, o := range history {
		c.counts[outcomeName(o.Input.(callInput), o.Output.(callOutput))]++
	}
}

// outcomeName returns the name under which an outcome is counted.
func outcomeName(in callInput, out callOutput) string {
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

// TestAtMostOnceHistories guards against calls that run twice and against wrong results. It runs seeded schedules with
// several entries: entries that are killed, frozen or disconnected from the store, outages and delays of the store,
// lost, late and refused messages, callers that repeat calls and callers that disconnect. It checks every history
// against the specification.
func TestAtMostOnceHistories(t *testing.T) {
	var outcomes outcomeTally
	list := seeds(t)
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			var operations []porcupine.Operation
			synctest.Test(t, func(t *testing.T) {
				operations = newSchedule(t, seed).run()
			})
			outcomes.add(operations)
			result, info := porcupine.CheckOperationsVerbose(atMostOnce, operations, checkTimeout)
			if result == porcupine.Ok {
				return
			}
			t.Errorf("seed %d: history is %s, want Ok; run it alone with %s=%d", seed, result, seedVariable, seed)
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

// checkCoverage fails the test unless the schedules have caused every kind of outcome.
func checkCoverage(t *testing.T, counts map[string]int) {
	for _, name := range []string{
		"service done", "service failed", "lost", "refused", "done", "failed", "not_run", "outcome_unknown",
		"repeated done", "repeated failed", "repeated in_progress", "repeated outcome_unknown",
	} {
		if counts[name] == 0 {
			t.Errorf("got no outcome %q in any schedule, want at least one", name)
		}
	}
}

// TestSpecificationFindsFaults checks that the specification rejects incorrect histories.
func TestSpecificationFindsFaults(t *testing.T) {
	ran := func(submission int) porcupine.Operation {
		return porcupine.Operation{
			Input: callInput{submission: submission, service: true}, Output: callOutput{state: idempotency.StateDone},
		}
	}
	reply := func(submission int, out callOutput) porcupine.Operation {
		return porcupine.Operation{Input: callInput{submission: submission}, Output: out}
	}
	tests := map[string]struct {
		history []porcupine.Operation
		want    bool
	}{
		"run once":            {history: []porcupine.Operation{ran(0), reply(0, callOutput{state: idempotency.StateDone, answer: answerOf(0)})}, want: true},
		"run twice":           {history: []porcupine.Operation{ran(0), ran(1)}},
		"not run, yet it ran": {history: []porcupine.Operation{ran(0), reply(0, callOutput{state: idempotency.StateNotRun})}},
		"not run, then it ran": {
			history: []porcupine.Operation{reply(0, callOutput{state: idempotency.StateNotRun, earlierUnknown: true}), ran(0)},
		},
		"crossed answer": {history: []porcupine.Operation{ran(0), reply(0, callOutput{state: idempotency.StateDone, answer: answerOf(1)})}},
		"done, not run":  {history: []porcupine.Operation{reply(0, callOutput{state: idempotency.StateDone, answer: answerOf(0)})}},
		"repeat that wasn't sent": {
			history: []porcupine.Operation{ran(0), reply(1, callOutput{state: idempotency.StateNotRun, earlierUnknown: true})}, want: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for i := range test.history {
				test.history[i].Call, test.history[i].Return = int64(2*i), int64(2*i+1)
			}
			if got := porcupine.CheckOperations(atMostOnce, test.history); got != test.want {
				t.Errorf("got linearizable %v, want %v", got, test.want)
			}
		})
	}
}
