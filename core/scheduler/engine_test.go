package scheduler

import (
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/warmup"
)

// fakeTask is an attempt on a fakeEngine.
type fakeTask struct {
	grant        reservation.Grant
	request      reservation.Request
	attempt      fleet.AttemptID
	startedAt    time.Time
	prefilled    fleet.Tokens
	decodeCredit float64
	generated    fleet.Tokens
	firstTokenAt time.Time
	orphaned     bool
}

// fakeEngine is an engine in virtual time. It prefills by priority, decodes in one batch, and dies if it is overloaded
// while cold.
type fakeEngine struct {
	memory fleet.Tokens
	pace   warmup.Pace
	// coldPace is the factor on pace until coldUntil; an attempt beyond coldLimit before then makes the engine die.
	coldPace    float64
	coldLimit   int
	coldUntil   time.Time
	incarnation fleet.Incarnation
	tasks       []*fakeTask
	// brokenTasks are the attempts that have broken because the engine died.
	brokenTasks   []*fakeTask
	prefillCredit float64
	overloads     int
	refusals      int
}

// newFakeEngine returns an engine with the same pace as the stand-in engine.
func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		memory:      400_000,
		pace:        warmup.Pace{Prefill: 50_000, Decode: 60, Batch: 32},
		coldPace:    0.25,
		coldLimit:   2,
		incarnation: 1,
	}
}

// used returns the memory in use, in tokens.
func (f *fakeEngine) used() fleet.Tokens {
	var used fleet.Tokens
	for _, t := range f.tasks {
		used += t.request.PromptTokens + t.request.MaxTokens
	}
	return used
}

// submit starts an attempt and reports whether it runs; it doesn't if it needs more than the free memory or the engine
// dies of it.
func (f *fakeEngine) submit(now time.Time, t *fakeTask) bool {
	if f.used()+t.request.PromptTokens+t.request.MaxTokens > f.memory {
		f.refusals++
		return false
	}
	f.tasks = append(f.tasks, t)
	slices.SortStableFunc(f.tasks, func(a, b *fakeTask) int { return b.grant.Priority - a.grant.Priority })
	if now.Before(f.coldUntil) && len(f.tasks) > f.coldLimit {
		f.overloads++
		f.die(now)
		return false
	}
	return true
}

// die breaks all attempts and begins an incarnation that is cold for 5 seconds.
func (f *fakeEngine) die(now time.Time) {
	f.brokenTasks = append(f.brokenTasks, f.tasks...)
	f.tasks = nil
	f.incarnation++
	f.coldUntil = now.Add(5 * time.Second)
}

// step advances the engine by one tick and returns the attempts that are done.
func (f *fakeEngine) step(now time.Time, tick time.Duration) []*fakeTask {
	pace := 1.0
	if now.Before(f.coldUntil) {
		pace = f.coldPace
	}
	prefilling, decoding := 0, 0
	for _, t := range f.tasks {
		switch {
		case t.orphaned:
		case t.prefilled < t.request.PromptTokens:
			prefilling++
		default:
			decoding++
		}
	}
	if prefilling > 0 && decoding > 0 {
		pace *= 0.8
	}
	f.prefillCredit += f.pace.Prefill * pace * tick.Seconds()
	if prefilling == 0 {
		f.prefillCredit = 0
	}
	rate := f.pace.Decode * pace / (1 + float64(decoding-1)/f.pace.Batch) * tick.Seconds()
	var done []*fakeTask
	for _, t := range f.tasks {
		switch {
		case t.orphaned:
		case t.prefilled < t.request.PromptTokens:
			chunk := min(t.request.PromptTokens-t.prefilled, fleet.Tokens(f.prefillCredit))
			f.prefillCredit -= float64(chunk)
			t.prefilled += chunk
		case f.generate(now, t, rate):
			done = append(done, t)
		}
	}
	for _, t := range done {
		f.remove(t.attempt)
	}
	return done
}

// generate advances an answer by rate tokens and reports whether it is complete.
func (f *fakeEngine) generate(now time.Time, t *fakeTask, rate float64) bool {
	t.decodeCredit += rate
	if t.firstTokenAt.IsZero() {
		t.firstTokenAt = now
		t.decodeCredit = max(t.decodeCredit, 1)
	}
	t.generated = min(fleet.Tokens(t.decodeCredit), t.request.MaxTokens)
	return t.generated >= t.request.MaxTokens
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
			StartedAt: t.startedAt,
		})
	}
	return listing
}
