package engine

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// errDead means that the engine has died and not restarted yet. The connection is aborted without an answer.
var errDead = errors.New("engine is dead")

// Refusal is the error of a request that was refused without any effect.
type Refusal struct {
	// Code is the reason.
	Code engine.Code
	// Message is a human-readable description.
	Message string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s", r.Code, r.Message)
}

// refuse returns a refusal with a formatted message.
func refuse(code engine.Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Ending is how an attempt ended.
type Ending int

// The endings of an attempt.
const (
	// EndingNone means that the attempt still runs.
	EndingNone Ending = iota
	// EndingDone means that the answer is complete.
	EndingDone
	// EndingCancelled means that the attempt was canceled or its caller disconnected.
	EndingCancelled
	// EndingDied means that the engine died while it ran the attempt.
	EndingDied
)

// Task is the state of one attempt.
type Task struct {
	// Request is the request of the attempt.
	Request engine.Request
	// startedAt is when the engine accepted the attempt.
	startedAt time.Time
	// digest is the digest of the prompt text from chainFrom to segmentEnd, which determines the answer.
	digest engine.Digest
	// chainFrom is the first prompt token that the digest of the last imported KV cache covers, or the first one of the
	// segment if none is imported.
	chainFrom fleet.Tokens
	// prefixes are the cacheable prefixes of the segment; nil unless it starts at the beginning of the prompt.
	prefixes []engine.Prefix
	// segmentEnd is the end of the prompt segment, exclusive.
	segmentEnd fleet.Tokens
	// reserved is the reserved memory in tokens, not counting that of the exported KV cache.
	reserved fleet.Tokens
	// cachedTokens is the number of prompt tokens found in the prefix cache.
	cachedTokens fleet.Tokens
	// unprefilled is the number of tokens still to be prefilled, including those of the answer before FirstToken.
	unprefilled fleet.Tokens
	// position is the position of the next token of the answer.
	position fleet.Tokens
	// decodeCredit is the fraction of the next token that is already generated.
	decodeCredit float64
	// phase is the current phase.
	phase engine.Phase
	// imports are the imported KV caches.
	imports []*heldKV
	// exported is the exported KV cache, or nil.
	exported *heldKV
	// events are the events that TakeEvents has not returned yet.
	events []engine.Event
	// ending is how the task ended.
	ending Ending
	// wake receives a value when there are new events or the task ends.
	wake chan struct{}
}

// TakeEvents returns the events since the last call, and how the task ended. It must not run concurrently with a method
// of the Model.
func (t *Task) TakeEvents() ([]engine.Event, Ending) {
	events := t.events
	t.events = nil
	return events, t.ending
}

// Wake returns a channel that receives a value when there are new events or the task has ended.
func (t *Task) Wake() <-chan struct{} {
	return t.wake
}

// segmentTokens returns the number of prompt tokens in the task's segment.
func (t *Task) segmentTokens() fleet.Tokens {
	return t.segmentEnd - t.Request.PromptFrom
}

// emit appends an event.
func (t *Task) emit(event engine.Event) {
	event.AttemptID = t.Request.AttemptID
	t.events = append(t.events, event)
	t.notify()
}

// end records how the task ended.
func (t *Task) end(ending Ending) {
	t.ending = ending
	t.notify()
}

// notify wakes the reader of the events.
func (t *Task) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
