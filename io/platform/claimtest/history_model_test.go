package claimtest

import (
	"fmt"
	"sync"

	"github.com/anishathalye/porcupine"

	"wisteriadyke/core/idempotency"
)

// callInput is the input of an operation of a history: a submission by a caller, or its run by the service if service
// is set.
type callInput struct {
	key        string
	submission int
	service    bool
}

// callOutput is the output of an operation: the result that a caller received, or the outcome at the service.
type callOutput struct {
	state          idempotency.State
	earlierUnknown bool
	repeated       bool
	answer         string
	// lost reports whether the caller received no result.
	lost bool
}

// keyState is the state of the sequential specification of one key.
type keyState struct {
	// handled is the outcome at the service, "" if it has not handled the key; by is the submission that it handled.
	handled idempotency.State
	by      int
	// excluded has bit i set once the service may not handle submission i any more.
	excluded uint64
}

// answerOf returns the response of the service to a submission.
func answerOf(submission int) string {
	return fmt.Sprintf("answer to %d", submission)
}

// atMostOnce is the sequential specification: the service handles a key at most once; a submission that was reported as
// not run is never handled; every outcome is true at the time at which it is reported.
var atMostOnce = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		return stepKey(state.(keyState), input.(callInput), output.(callOutput))
	},
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// stepKey applies one operation to the state of a key and reports whether it is legal.
func stepKey(k keyState, in callInput, out callOutput) (bool, keyState) {
	if in.service {
		legal := k.handled == "" && k.excluded&(1<<in.submission) == 0
		return legal, keyState{handled: out.state, by: in.submission, excluded: k.excluded}
	}
	if out.lost {
		return true, k
	}
	excluded := k
	excluded.excluded |= 1 << in.submission
	notOwn := k.handled == "" || k.by != in.submission
	switch out.state {
	case idempotency.StateDone, idempotency.StateFailed:
		return k.handled == out.state && out.answer == answerOf(k.by), k
	case idempotency.StateNotRun:
		return notOwn && (out.earlierUnknown || k.handled == ""), excluded
	case idempotency.StateInProgress:
		return notOwn, excluded
	case idempotency.StateOutcomeUnknown:
		if out.repeated {
			return notOwn, excluded
		}
		return true, k
	}
	return false, k
}

// partitionByKey splits a history by key, since keys are independent of each other.
func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	index := make(map[string]int)
	var parts [][]porcupine.Operation
	for _, o := range history {
		key := o.Input.(callInput).key
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

// history records operations with the times of a logical clock, whose time is in the field now.
type history struct {
	mu   sync.Mutex
	now  int64
	list []porcupine.Operation
}

// begin advances the logical clock and returns the time of the call of an operation.
func (h *history) begin() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now++
	return h.now
}

// end records an operation that was called at the given time and returns at the current time of the logical clock.
func (h *history) end(call int64, in callInput, out callOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now++
	h.list = append(h.list, porcupine.Operation{Input: in, Call: call, Output: out, Return: h.now})
}

// operations returns the history; operations whose result was lost are recorded as returning after all others.
func (h *history) operations() []porcupine.Operation {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, o := range h.list {
		if o.Output.(callOutput).lost {
			h.list[i].Return = h.now + 1
		}
	}
	return h.list
}
