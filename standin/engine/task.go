package engine

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// errDead means that the engine died or has not restarted yet, so that no answer is given.
var errDead = errors.New("engine is dead")

// Refusal is a call that was refused before anything was done.
type Refusal struct {
	// Code tells why.
	Code engine.Code
	// Message is for people.
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

// Ending tells how an attempt ended.
type Ending int

// The endings of an attempt.
const (
	// EndingNone means it still runs.
	EndingNone Ending = iota
	// EndingDone means its answer is complete.
	EndingDone
	// EndingCancelled means it was cancelled.
	EndingCancelled
	// EndingCut means the engine died.
	EndingCut
)

// Task is an attempt in the model.
type Task struct {
	// Request is what was asked.
	Request engine.Request
	// startedAt is when the engine took it.
	startedAt time.Time
	// digest names the text that the answer belongs to.
	digest engine.Digest
	// chainFrom is the first token of that text.
	chainFrom fleet.Tokens
	// prefixes are those of the prompt that the cache may hold, if the segment starts with them.
	prefixes []engine.Prefix
	// to ends the segment.
	to fleet.Tokens
	// reserved is the memory set aside, without what a handle holds.
	reserved fleet.Tokens
	// cached is how much of the prompt the prefix cache held.
	cached fleet.Tokens
	// unread is how much of the prompt is still to be read.
	unread fleet.Tokens
	// position is the next token of the answer.
	position fleet.Tokens
	// credit is the part of a token that is generated already.
	credit float64
	// phase tells how far the task is.
	phase engine.Phase
	// imports are the handles that it uses.
	imports []*held
	// exported is the handle that it made.
	exported *held
	// events are those not taken yet.
	events []engine.Event
	// ending tells how it ended.
	ending Ending
	// wake gets a value when there are events or an ending.
	wake chan struct{}
}

// TakeEvents returns the events since the last call and how the task ended.
func (t *Task) TakeEvents() ([]engine.Event, Ending) {
	events := t.events
	t.events = nil
	return events, t.ending
}

// Wake returns a channel that gets a value when Take has something new.
func (t *Task) Wake() <-chan struct{} {
	return t.wake
}

// segment returns the number of prompt tokens that the task reads.
func (t *Task) segment() fleet.Tokens {
	return t.to - t.Request.PromptFrom
}

// emit adds an event.
func (t *Task) emit(event engine.Event) {
	event.AttemptID = t.Request.AttemptID
	t.events = append(t.events, event)
	t.notify()
}

// end sets how the task ended.
func (t *Task) end(ending Ending) {
	t.ending = ending
	t.notify()
}

// notify wakes whoever reads the events.
func (t *Task) notify() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
