package claimtest

import (
	"fmt"
	"sync"

	"github.com/anishathalye/porcupine"

	"wisteriadyke/core/idempotency"
)

// step is the input of an operation of a history.
type step struct {
	key        string
	submission int
	service    bool
}

// seen is the output of an operation: what a caller was told, or what the service did.
type seen struct {
	state          idempotency.State
	earlierUnknown bool
	repeated       bool
	answer         string
	lost           bool
}

// keyState is the state of the sequential specification of one key.
type keyState struct {
	handled idempotency.State
	by      int
	barred  uint64
}

// answerOf is the answer that the service gives to a submission.
func answerOf(submission int) string {
	return fmt.Sprintf("answer to %d", submission)
}

// atMostOnce is the sequential specification: the service handles a key once at most, a submission
// that was told that it didn't run never reaches the service, and every outcome that a caller is
// told is true when it is told.
var atMostOnce = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		return specify(state.(keyState), input.(step), output.(seen))
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// specify is one step of the specification.
func specify(k keyState, in step, out seen) (bool, keyState) {
	if in.service {
		legal := k.handled == "" && k.barred&(1<<in.submission) == 0
		return legal, keyState{handled: out.state, by: in.submission, barred: k.barred}
	}
	if out.lost {
		return true, k
	}
	barred := k
	barred.barred |= 1 << in.submission
	notMine := k.handled == "" || k.by != in.submission
	switch out.state {
	case idempotency.StateDone, idempotency.StateFailed:
		return k.handled == out.state && out.answer == answerOf(k.by), k
	case idempotency.StateNotRun:
		return notMine && (out.earlierUnknown || k.handled == ""), barred
	case idempotency.StateInProgress:
		return notMine, barred
	case idempotency.StateOutcomeUnknown:
		if out.repeated {
			return notMine, barred
		}
		return true, k
	}
	return false, k
}

// partitionByKey splits a history, since keys don't touch each other.
func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	index := make(map[string]int)
	var parts [][]porcupine.Operation
	for _, o := range history {
		key := o.Input.(step).key
		i, found := index[key]
		if !found {
			i = len(parts)
			index[key] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], o)
	}
	return parts
}

// history records operations in the order in which they are seen.
type history struct {
	mu   sync.Mutex
	now  int64
	list []porcupine.Operation
}

// begin returns the time of a call.
func (h *history) begin() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now++
	return h.now
}

// end records an operation that was called at a time and returns now.
func (h *history) end(call int64, in step, out seen) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now++
	h.list = append(h.list, porcupine.Operation{Input: in, Call: call, Output: out, Return: h.now})
}

// operations returns the history; lost operations return at its end.
func (h *history) operations() []porcupine.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, o := range h.list {
		if o.Output.(seen).lost {
			h.list[i].Return = h.now + 1
		}
	}
	return h.list
}
