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

// Environment variables of the test: how many seeds to run, and the only seed to run.
const (
	seedsVariable = "IDEMPOTENCY_SEEDS"
	seedVariable  = "IDEMPOTENCY_SEED"
)

// Sizes of the test.
const (
	defaultSeeds = 200
	checkTimeout = 30 * time.Second
)

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

// TestAtMostOnceHistories plays seeded schedules of kills, freezes, outages, slow stores, entries
// cut off from the store, lost, late and refused messages, callers that repeat and callers that leave, over several entries, and
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
