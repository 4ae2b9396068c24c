package warmup

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Smallest samples that show a pace.
const (
	// minPrefillTokens is the smallest number of prefilled prompt tokens from which the prefill pace is measured.
	minPrefillTokens fleet.Tokens = 2_000
	// minGeneratedTokens is the smallest number of generated tokens from which the decode pace is measured.
	minGeneratedTokens fleet.Tokens = 8
)

// queuedDivisor limits which prefills show the pace: at most PrefillTokens/queuedDivisor tokens may be queued ahead.
const queuedDivisor = 8

// prefillPerGenerated is the number of prefilled prompt tokens that count as one generated token when the limit is
// raised.
const prefillPerGenerated = 64

// reportDelay is how long reports from before a broken connection may still arrive.
const reportDelay = 200 * time.Millisecond

// stalePlateaus is the multiple of Settings.Plateau after which the best pace of a cold start replaces a known warm
// pace.
const stalePlateaus = 10

// Sample is an attempt's measurement of its endpoint's pace.
type Sample struct {
	// PrefillTokens is the number of prefilled prompt tokens.
	PrefillTokens fleet.Tokens
	// QueuedTokens is an upper bound of the number of prompt tokens that were prefilled before them.
	QueuedTokens fleet.Tokens
	// PrefillTime is the duration of the prefill, or 0.
	PrefillTime time.Duration
	// GeneratedTokens is the number of generated tokens after the first one.
	GeneratedTokens fleet.Tokens
	// DecodeTime is the duration of their generation, or 0.
	DecodeTime time.Duration
	// OtherStreams is the number of other concurrent streams.
	OtherStreams int
	// Partial reports whether the attempt still runs; only complete attempts update the warm pace.
	Partial bool
}

// Estimator detects cold starts and raises the limit of a cold endpoint as attempts progress at the warm pace; it is
// not safe for concurrent use.
type Estimator struct {
	// Settings holds the limits of a cold endpoint and the detection thresholds.
	Settings Settings
	// Memory is the whole memory of the endpoint, in tokens.
	Memory fleet.Tokens
	// State is the warmth of the endpoint, which its owner hands over to the next one.
	State State

	// bestPace holds the highest rates measured since the cold start began or an idle cold endpoint last got more memory.
	bestPace Pace
	// coldSigns counts the slow samples and broken connections since the last sample at the warm pace, anew if more
	// than SlowWindow passed between two of them; lastColdSign is when the last of them was seen.
	coldSigns    int
	lastColdSign time.Time
	// restartSuspected reports whether a broken connection suggests that the endpoint has restarted.
	restartSuspected bool
	// warmTokens is the number of tokens processed at the warm pace since the limits were raised or a sample was slow.
	warmTokens fleet.Tokens
	// idleSince is when the endpoint last had attempts, was warm or got more memory for being idle.
	idleSince time.Time
}

// BeginColdStart begins a cold start with the initial limits, or restarts the current one; it keeps the warm pace.
func (e *Estimator) BeginColdStart(now time.Time) {
	e.State.Cold = true
	e.State.Since = now
	e.State.Attempts = e.Settings.InitialAttempts
	e.State.Tokens = min(e.Settings.InitialTokens, e.Memory)
	e.bestPace = Pace{}
	e.coldSigns = 0
	e.restartSuspected = false
	e.warmTokens = 0
	e.idleSince = now
}

// ObserveIncarnation records the observed incarnation of the endpoint; it reports whether a cold start begins. An
// observation of the known incarnation ends the suspicion of a restart, unless it comes within reportDelay of the last
// sign of one.
func (e *Estimator) ObserveIncarnation(now time.Time, incarnation fleet.Incarnation) bool {
	if incarnation == 0 || incarnation < e.State.Incarnation {
		return false
	}
	if incarnation == e.State.Incarnation {
		e.restartSuspected = e.restartSuspected && now.Sub(e.lastColdSign) < reportDelay
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

// Limit returns the largest number of concurrent attempts and the largest memory in use, in tokens; limited is false if
// only the memory limits the endpoint.
func (e *Estimator) Limit() (attempts int, tokens fleet.Tokens, limited bool) {
	switch {
	case e.State.Cold:
		return e.State.Attempts, e.State.Tokens, true
	case e.restartSuspected:
		return e.Settings.InitialAttempts, min(e.Settings.InitialTokens, e.Memory), true
	default:
		return 0, e.Memory, false
	}
}

// RestartSuspected reports whether a broken connection has raised the suspicion that the endpoint restarted.
func (e *Estimator) RestartSuspected() bool {
	return e.restartSuspected
}

// RecordBroken records that the connection of an attempt broke or could not be opened; it reports whether a cold start
// begins, which takes 2*SlowSamples signs. Fewer only limit the endpoint, until it is observed again in the same
// incarnation. A break in a cold start restarts the cold start and is reported as false.
func (e *Estimator) RecordBroken(now time.Time) bool {
	if e.State.Cold {
		e.BeginColdStart(now)
		return false
	}
	e.restartSuspected = true
	return e.countColdSign(now, 2*e.Settings.SlowSamples)
}

// ObserveSample records a sample of an attempt, finished or still running; it reports whether a cold start begins.
func (e *Estimator) ObserveSample(now time.Time, s Sample) bool {
	prefill, decode := e.measurePace(s)
	e.bestPace.Prefill = max(e.bestPace.Prefill, prefill)
	e.bestPace.Decode = max(e.bestPace.Decode, decode)
	e.acceptPlateau(now)
	if e.isSlow(s) {
		e.warmTokens = 0
		return !e.State.Cold && e.countColdSign(now, e.Settings.SlowSamples)
	}
	if prefill == 0 && decode == 0 || e.State.Pace.Prefill == 0 && e.State.Pace.Decode == 0 {
		return false
	}
	e.coldSigns = 0
	if !s.Partial {
		e.updateWarmPace(prefill, decode)
	}
	e.raiseLimit(s)
	return false
}

// ObserveUnfinishedPrefill checks a sample of a prefill that still runs, whose time so far can only show slowness; it
// reports whether a cold start begins.
func (e *Estimator) ObserveUnfinishedPrefill(now time.Time, s Sample) bool {
	return !e.State.Cold && e.isSlow(s) && e.countColdSign(now, e.Settings.SlowSamples)
}

// measurePace returns the prefill pace and the decode pace of a single stream that a sample shows. Each is 0 if the
// sample is too small for it or has no time; so is the prefill pace if too many tokens were queued ahead.
func (e *Estimator) measurePace(s Sample) (prefill, decode float64) {
	if s.PrefillTokens >= minPrefillTokens && s.PrefillTime > 0 && s.QueuedTokens <= s.PrefillTokens/queuedDivisor {
		prefill = float64(s.PrefillTokens) / s.PrefillTime.Seconds()
	}
	if s.GeneratedTokens >= minGeneratedTokens && s.DecodeTime > 0 {
		decode = float64(s.GeneratedTokens) / s.DecodeTime.Seconds() * e.WarmPace().slowdown(s.OtherStreams)
	}
	return prefill, decode
}

// isSlow reports whether a sample is much slower than the warm pace.
func (e *Estimator) isSlow(s Sample) bool {
	pace := e.State.Pace
	if pace.Prefill > 0 && s.PrefillTokens >= minPrefillTokens &&
		e.exceeds(s.PrefillTime, pace.PrefillTime(s.PrefillTokens+s.QueuedTokens)) {
		return true
	}
	if pace.Decode == 0 || s.GeneratedTokens < minGeneratedTokens {
		return false
	}
	expected := seconds(float64(s.GeneratedTokens) / pace.Decode * e.WarmPace().slowdown(s.OtherStreams))
	return e.exceeds(s.DecodeTime, expected)
}

// exceeds reports whether a measured time is longer than SlowRatio times the expected time plus Slack.
func (e *Estimator) exceeds(measured, expected time.Duration) bool {
	return measured > time.Duration(float64(expected)*e.Settings.SlowRatio)+e.Settings.Slack
}

// acceptPlateau sets the warm pace to the best pace of a cold start that has lasted for a plateau, if no warm pace is
// known or the known one is stale.
func (e *Estimator) acceptPlateau(now time.Time) {
	if !e.State.Cold {
		return
	}
	pace := &e.State.Pace
	age := now.Sub(e.State.Since)
	stale := age >= stalePlateaus*e.Settings.Plateau
	if e.bestPace.Prefill > 0 && age >= e.Settings.Plateau && (pace.Prefill == 0 || stale) {
		pace.Prefill = e.bestPace.Prefill
	}
	if e.bestPace.Decode > 0 && age >= e.Settings.Plateau && (pace.Decode == 0 || stale) {
		pace.Decode = e.bestPace.Decode
	}
}

// updateWarmPace moves the warm pace towards a measured one.
func (e *Estimator) updateWarmPace(prefill, decode float64) {
	if prefill > 0 {
		e.State.Pace.Prefill = moveTowards(e.State.Pace.Prefill, prefill)
	}
	if decode > 0 {
		e.State.Pace.Decode = moveTowards(e.State.Pace.Decode, decode)
	}
}

// raiseLimit doubles the limits of a cold endpoint once TokensPerRaise tokens were processed at the warm pace for each
// allowed attempt. The cold start ends when the limits reach WarmAttempts and the whole memory.
func (e *Estimator) raiseLimit(s Sample) {
	if !e.State.Cold {
		return
	}
	e.warmTokens += s.GeneratedTokens + s.PrefillTokens/prefillPerGenerated
	if e.warmTokens < e.Settings.TokensPerRaise*fleet.Tokens(e.State.Attempts) {
		return
	}
	e.warmTokens = 0
	e.State.Attempts *= 2
	e.State.Tokens = min(2*e.State.Tokens, e.Memory)
	if e.State.Attempts >= e.Settings.WarmAttempts && e.State.Tokens >= e.Memory {
		e.State.Cold = false
	}
}

// UpdateIdle records whether the endpoint has no attempts. Whenever a cold endpoint has been idle for IdleRamp, it gets
// twice the memory, so that a large prompt is not refused forever, and measures its best pace anew.
func (e *Estimator) UpdateIdle(now time.Time, idle bool) {
	if !idle || !e.State.Cold {
		e.idleSince = now
		return
	}
	if now.Sub(e.idleSince) < e.Settings.IdleRamp {
		return
	}
	e.idleSince = now
	e.bestPace = Pace{}
	e.State.Tokens = min(2*e.State.Tokens, e.Memory)
}

// CurrentPace returns the pace for predictions: the warm pace, or in a cold start the best pace measured in it
// where that is slower.
func (e *Estimator) CurrentPace() Pace {
	pace := e.WarmPace()
	if !e.State.Cold {
		return pace
	}
	if e.bestPace.Prefill > 0 {
		pace.Prefill = min(pace.Prefill, e.bestPace.Prefill)
	}
	if e.bestPace.Decode > 0 {
		pace.Decode = min(pace.Decode, e.bestPace.Decode)
	}
	return pace
}

// NextIdleRamp returns when an idle cold endpoint gets more memory, or the zero time if the endpoint is warm or its
// whole memory is usable.
func (e *Estimator) NextIdleRamp() time.Time {
	if !e.State.Cold || e.State.Tokens >= e.Memory {
		return time.Time{}
	}
	return e.idleSince.Add(e.Settings.IdleRamp)
}

// countColdSign counts a sign of a cold start and begins one at the threshold; it reports whether it did. After a time
// longer than SlowWindow without a sign it starts counting anew.
func (e *Estimator) countColdSign(now time.Time, threshold int) bool {
	if now.Sub(e.lastColdSign) > e.Settings.SlowWindow {
		e.coldSigns = 0
	}
	e.lastColdSign = now
	e.coldSigns++
	if e.coldSigns < threshold {
		return false
	}
	e.BeginColdStart(now)
	return true
}

// WarmPace returns the warm pace; unknown values are those of DefaultPace.
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
