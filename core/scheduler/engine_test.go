package scheduler

import (
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/warmup"
)

// fakeTask is an attempt on a fake engine.
type fakeTask struct {
	grant    reservation.Grant
	request  reservation.Request
	attempt  fleet.AttemptID
	begun    time.Time
	read     fleet.Tokens
	credit   float64
	made     fleet.Tokens
	first    time.Time
	orphaned bool
}

// fakeEngine is an engine in virtual time that reads by priority, generates in one batch and dies when it is cold
// and overloaded.
type fakeEngine struct {
	memory      fleet.Tokens
	pace        warmup.Pace
	coldPace    float64
	coldBears   int
	coldUntil   time.Time
	incarnation fleet.Incarnation
	tasks       []*fakeTask
	cut         []*fakeTask
	credit      float64
	overloads   int
	refusals    int
}

// newFakeEngine returns an engine with the pace of the stand-in.
func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		memory:      400_000,
		pace:        warmup.Pace{Prefill: 50_000, Decode: 60, Batch: 32},
		coldPace:    0.25,
		coldBears:   2,
		incarnation: 1,
	}
}

// used returns the memory in use.
func (f *fakeEngine) used() fleet.Tokens {
	var used fleet.Tokens
	for _, t := range f.tasks {
		used += t.request.PromptTokens + t.request.MaxTokens
	}
	return used
}

// submit takes an attempt; false means that it was refused or that the engine died of it.
func (f *fakeEngine) submit(now time.Time, t *fakeTask) bool {
	if f.used()+t.request.PromptTokens+t.request.MaxTokens > f.memory {
		f.refusals++
		return false
	}
	f.tasks = append(f.tasks, t)
	slices.SortStableFunc(f.tasks, func(a, b *fakeTask) int { return b.grant.Priority - a.grant.Priority })
	if now.Before(f.coldUntil) && len(f.tasks) > f.coldBears {
		f.overloads++
		f.die(now)
		return false
	}
	return true
}

// die cuts all attempts and begins a cold life.
func (f *fakeEngine) die(now time.Time) {
	f.cut = append(f.cut, f.tasks...)
	f.tasks = nil
	f.incarnation++
	f.coldUntil = now.Add(5 * time.Second)
}

// step works for one tick and returns the attempts that are done.
func (f *fakeEngine) step(now time.Time, tick time.Duration) []*fakeTask {
	pace := 1.0
	if now.Before(f.coldUntil) {
		pace = f.coldPace
	}
	reading, decoding := 0, 0
	for _, t := range f.tasks {
		switch {
		case t.orphaned:
		case t.read < t.request.PromptTokens:
			reading++
		default:
			decoding++
		}
	}
	if reading > 0 && decoding > 0 {
		pace *= 0.8
	}
	f.credit += f.pace.Prefill * pace * tick.Seconds()
	if reading == 0 {
		f.credit = 0
	}
	rate := f.pace.Decode * pace / (1 + float64(decoding-1)/f.pace.Batch) * tick.Seconds()
	var done []*fakeTask
	for _, t := range f.tasks {
		switch {
		case t.orphaned:
		case t.read < t.request.PromptTokens:
			chunk := min(t.request.PromptTokens-t.read, fleet.Tokens(f.credit))
			f.credit -= float64(chunk)
			t.read += chunk
		case f.generate(now, t, rate):
			done = append(done, t)
		}
	}
	for _, t := range done {
		f.remove(t.attempt)
	}
	return done
}

// generate makes part of an answer and tells whether it is whole.
func (f *fakeEngine) generate(now time.Time, t *fakeTask, rate float64) bool {
	t.credit += rate
	if t.first.IsZero() {
		t.first = now
		t.credit = max(t.credit, 1)
	}
	t.made = min(fleet.Tokens(t.credit), t.request.MaxTokens)
	return t.made >= t.request.MaxTokens
}

// remove frees the memory of an attempt.
func (f *fakeEngine) remove(attempt fleet.AttemptID) {
	f.tasks = slices.DeleteFunc(f.tasks, func(t *fakeTask) bool { return t.attempt == attempt })
}

// listing returns what the engine runs.
func (f *fakeEngine) listing() ledger.Listing {
	listing := ledger.Listing{Incarnation: f.incarnation}
	for _, t := range f.tasks {
		listing.Attempts = append(listing.Attempts, ledger.Attempt{
			ID:        t.attempt,
			Key:       ledger.Key{Reservation: t.grant.Reservation, Generation: t.grant.Generation},
			Fence:     t.grant.Fence,
			Memory:    t.request.PromptTokens + t.request.MaxTokens,
			StartedAt: t.begun,
		})
	}
	return listing
}
