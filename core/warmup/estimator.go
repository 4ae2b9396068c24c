package warmup

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Smallest outcomes that tell of the pace.
const (
	// minRead is the least number of prompt tokens read.
	minRead fleet.Tokens = 2_000
	// minGenerated is the least number of generated tokens.
	minGenerated fleet.Tokens = 8
)

// maxAhead is the part of the tokens read that may have been read before them for the reading pace to be learned.
const maxAhead = 8

// readPerGenerated is the number of prompt tokens read that are as much evidence as one generated token.
const readPerGenerated = 64

// inFlight is how long reports from before a break may still arrive.
const inFlight = 200 * time.Millisecond

// staleAfter is the number of plateaus after which a known warm pace is given up for the best one seen.
const staleAfter = 10

// Sample is what an attempt showed of the pace of its endpoint.
type Sample struct {
	// PrefillTokens is the number of prompt tokens that were read.
	PrefillTokens fleet.Tokens
	// QueuedTokens is the number of prompt tokens that were read before them at most.
	QueuedTokens fleet.Tokens
	// PrefillTime is the time that took, or 0.
	PrefillTime time.Duration
	// Generated is the number of generated tokens after the first.
	Generated fleet.Tokens
	// GenerateTime is the time that took, or 0.
	GenerateTime time.Duration
	// OtherStreams is the number of streams beside it.
	OtherStreams int
	// Partial tells that the attempt still runs; the warm pace is learned from whole ones.
	Partial bool
}

// Estimator recognises cold starts and raises the limit with evidence; it is for one goroutine at a time.
type Estimator struct {
	// Settings bounds what a cold endpoint is given.
	Settings Settings
	// Memory is the whole memory of the endpoint.
	Memory fleet.Tokens
	// State is what is known now.
	State State

	best      Pace
	strikes   int
	struckAt  time.Time
	suspect   bool
	good      fleet.Tokens
	idleSince time.Time
}

// BeginColdStart begins a cold start.
func (e *Estimator) BeginColdStart(now time.Time) {
	e.State.Cold = true
	e.State.Since = now
	e.State.Attempts = e.Settings.Attempts
	e.State.Tokens = min(e.Settings.Tokens, e.Memory)
	e.best = Pace{}
	e.strikes = 0
	e.suspect = false
	e.good = 0
	e.idleSince = now
}

// ObserveIncarnation tells the life that the endpoint was seen in; it returns true if a cold start begins with it.
func (e *Estimator) ObserveIncarnation(now time.Time, incarnation fleet.Incarnation) bool {
	if incarnation == 0 || incarnation < e.State.Incarnation {
		return false
	}
	if incarnation == e.State.Incarnation {
		e.suspect = e.suspect && now.Sub(e.struckAt) < inFlight
		return false
	}
	known := e.State.Incarnation != 0
	e.State.Incarnation = incarnation
	if !known && e.State.Cold {
		return false
	}
	e.BeginColdStart(now)
	return true
}

// Limit returns the number of attempts and the memory in use that the endpoint bears now; limited is false if it
// bears all that fits.
func (e *Estimator) Limit() (attempts int, tokens fleet.Tokens, limited bool) {
	switch {
	case e.State.Cold:
		return e.State.Attempts, e.State.Tokens, true
	case e.suspect:
		return e.Settings.Attempts, min(e.Settings.Tokens, e.Memory), true
	default:
		return 0, e.Memory, false
	}
}

// Suspect tells whether a broken attempt has put the life of the endpoint in doubt.
func (e *Estimator) Suspect() bool {
	return e.suspect
}

// RecordBroken tells that the connection of an attempt broke or could not be made; it returns true if a cold start begins.
// The first one only limits the endpoint until it is seen alive in the same life.
func (e *Estimator) RecordBroken(now time.Time) bool {
	if e.State.Cold {
		e.BeginColdStart(now)
		return false
	}
	e.suspect = true
	return e.strike(now, 2*e.Settings.SlowOutcomes)
}

// Observe takes what an attempt showed of the pace; it returns true if a cold start begins.
func (e *Estimator) Observe(now time.Time, s Sample) bool {
	prefill, decode := e.measure(s)
	e.best.Prefill = max(e.best.Prefill, prefill)
	e.best.Decode = max(e.best.Decode, decode)
	e.accept(now)
	if e.slow(s) {
		e.good = 0
		return !e.State.Cold && e.strike(now, e.Settings.SlowOutcomes)
	}
	if prefill == 0 && decode == 0 || e.State.Pace.Prefill == 0 && e.State.Pace.Decode == 0 {
		return false
	}
	e.strikes = 0
	if !s.Partial {
		e.learn(prefill, decode)
	}
	e.raise(s)
	return false
}

// ObserveRunning takes a reading that goes on, of which only the slowness tells something; it returns true if a cold start
// begins.
func (e *Estimator) ObserveRunning(now time.Time, s Sample) bool {
	return !e.State.Cold && e.slow(s) && e.strike(now, e.Settings.SlowOutcomes)
}

// measure returns the paces that a sample shows, or 0 for those it is too small for.
func (e *Estimator) measure(s Sample) (prefill, decode float64) {
	if s.PrefillTokens >= minRead && s.PrefillTime > 0 && s.QueuedTokens <= s.PrefillTokens/maxAhead {
		prefill = float64(s.PrefillTokens) / s.PrefillTime.Seconds()
	}
	if s.Generated >= minGenerated && s.GenerateTime > 0 {
		decode = float64(s.Generated) / s.GenerateTime.Seconds() * e.WarmPace().crowd(s.OtherStreams)
	}
	return prefill, decode
}

// slow tells whether a sample is far off the warm pace.
func (e *Estimator) slow(s Sample) bool {
	pace := e.State.Pace
	if pace.Prefill > 0 && s.PrefillTokens >= minRead && e.far(s.PrefillTime, pace.ReadTime(s.PrefillTokens+s.QueuedTokens)) {
		return true
	}
	if pace.Decode == 0 || s.Generated < minGenerated {
		return false
	}
	expected := seconds(float64(s.Generated) / pace.Decode * e.WarmPace().crowd(s.OtherStreams))
	return e.far(s.GenerateTime, expected)
}

// far tells whether a time is far longer than expected.
func (e *Estimator) far(measured, expected time.Duration) bool {
	return measured > time.Duration(float64(expected)*e.Settings.SlowRatio)+e.Settings.Slack
}

// accept takes the best pace since the cold start for the warm pace, once it has lasted long enough.
func (e *Estimator) accept(now time.Time) {
	if !e.State.Cold {
		return
	}
	pace := &e.State.Pace
	age := now.Sub(e.State.Since)
	stale := age >= staleAfter*e.Settings.Plateau
	if e.best.Prefill > 0 && age >= e.Settings.Plateau && (pace.Prefill == 0 || stale) {
		pace.Prefill = e.best.Prefill
	}
	if e.best.Decode > 0 && age >= e.Settings.Plateau && (pace.Decode == 0 || stale) {
		pace.Decode = e.best.Decode
	}
}

// learn moves the warm pace towards a measured one.
func (e *Estimator) learn(prefill, decode float64) {
	if prefill > 0 {
		e.State.Pace.Prefill = towards(e.State.Pace.Prefill, prefill)
	}
	if decode > 0 {
		e.State.Pace.Decode = towards(e.State.Pace.Decode, decode)
	}
}

// raise doubles the limit after enough work at the warm pace for each attempt that it allows at once.
func (e *Estimator) raise(s Sample) {
	if !e.State.Cold {
		return
	}
	e.good += s.Generated + s.PrefillTokens/readPerGenerated
	if e.good < e.Settings.TokensPerRaise*fleet.Tokens(e.State.Attempts) {
		return
	}
	e.good = 0
	e.State.Attempts *= 2
	e.State.Tokens = min(2*e.State.Tokens, e.Memory)
	if e.State.Attempts >= e.Settings.WarmAttempts && e.State.Tokens >= e.Memory {
		e.State.Cold = false
	}
}

// UpdateIdle tells whether the endpoint runs nothing; a cold endpoint that stays idle is given more memory, so that a
// large prompt is not kept out for ever, and its pace is looked at anew.
func (e *Estimator) UpdateIdle(now time.Time, idle bool) {
	if !idle || !e.State.Cold {
		e.idleSince = now
		return
	}
	if now.Sub(e.idleSince) < e.Settings.IdleRamp {
		return
	}
	e.idleSince = now
	e.best = Pace{}
	e.State.Tokens = min(2*e.State.Tokens, e.Memory)
}

// CurrentPace returns the pace to predict with: that of this cold start if one was seen, else the warm pace.
func (e *Estimator) CurrentPace() Pace {
	pace := e.WarmPace()
	if !e.State.Cold {
		return pace
	}
	if e.best.Prefill > 0 {
		pace.Prefill = min(pace.Prefill, e.best.Prefill)
	}
	if e.best.Decode > 0 {
		pace.Decode = min(pace.Decode, e.best.Decode)
	}
	return pace
}

// NextIdleRamp returns when an idle cold endpoint is given more memory, or zero.
func (e *Estimator) NextIdleRamp() time.Time {
	if !e.State.Cold || e.State.Tokens >= e.Memory {
		return time.Time{}
	}
	return e.idleSince.Add(e.Settings.IdleRamp)
}

// strike counts an outcome that tells of a cold start and begins one at enough of them.
func (e *Estimator) strike(now time.Time, enough int) bool {
	if now.Sub(e.struckAt) > e.Settings.SlowWindow {
		e.strikes = 0
	}
	e.struckAt = now
	e.strikes++
	if e.strikes < enough {
		return false
	}
	e.BeginColdStart(now)
	return true
}

// WarmPace returns the warm pace, completed by the guess where none is known.
func (e *Estimator) WarmPace() Pace {
	pace := e.State.Pace
	if pace.Prefill <= 0 {
		pace.Prefill = e.Settings.DefaultPace.Prefill
	}
	if pace.Decode <= 0 {
		pace.Decode = e.Settings.DefaultPace.Decode
	}
	if pace.Batch <= 0 {
		pace.Batch = e.Settings.DefaultPace.Batch
	}
	return pace
}
