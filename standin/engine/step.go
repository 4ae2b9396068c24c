package engine

import (
	"strings"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// Tick is the duration of one step of the batch.
const Tick = 10 * time.Millisecond

// Parameters of the batch.
const (
	// mixedPace is the factor on both paces in steps that prefill as well as decode.
	mixedPace = 0.8
	// rateWindow is the time constant of the moving averages of the reported rates.
	rateWindow = time.Second
)

// Busy reports whether any task is not orphaned, that is, whether a step would do any work.
func (m *Model) Busy() bool {
	for _, t := range m.tasks {
		if t.phase != engine.PhaseOrphaned {
			return true
		}
	}
	return false
}

// Advance simulates whole ticks up to now. No work is done while the engine is paused.
func (m *Model) Advance(now time.Time) {
	if m.clock.Before(m.pausedUntil) {
		m.clock = minTime(now, m.pausedUntil)
	}
	for m.Busy() && !m.clock.Add(Tick).After(now) {
		m.clock = m.clock.Add(Tick)
		m.step()
	}
	if !m.Busy() && m.clock.Before(now) {
		m.clock = now
		m.advanceIdle()
	}
}

// minTime returns the earlier of two times.
func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// advanceIdle updates an engine without work: its cold start may end, and its rates drop to 0.
func (m *Model) advanceIdle() {
	m.updateCold()
	if m.prefillRate == 0 && m.decodeRate == 0 {
		return
	}
	m.prefillRate, m.decodeRate = 0, 0
	m.recordLoad()
}

// step simulates one tick.
func (m *Model) step() {
	m.updateCold()
	pace := m.paceFactor
	if m.cold {
		pace *= m.Settings.ColdPace
	}
	prefilling, decoding := m.batch()
	if len(prefilling) > 0 && len(decoding) > 0 {
		pace *= mixedPace
	}
	generated := m.decode(decoding, pace)
	prefilled, alive := m.prefill(prefilling, pace)
	if !alive {
		return
	}
	m.processedTokens += prefilled + generated
	updateRate(&m.prefillRate, prefilled)
	updateRate(&m.decodeRate, generated)
	m.recordLoad()
}

// updateCold ends the cold start after ColdTime or WarmTokens.
func (m *Model) updateCold() {
	if !m.cold {
		return
	}
	timeElapsed := m.clock.Sub(m.coldSince) >= m.Settings.ColdTime
	tokensProcessed := m.Settings.WarmTokens > 0 && m.processedTokens >= m.Settings.WarmTokens
	m.cold = !timeElapsed && !tokensProcessed
}

// batch returns the tasks to prefill and those to decode, in the order of their priority.
func (m *Model) batch() (prefilling, decoding []*Task) {
	for _, t := range m.tasks {
		switch t.phase {
		case engine.PhaseWaiting, engine.PhasePrefill:
			prefilling = append(prefilling, t)
		case engine.PhaseDecode:
			decoding = append(decoding, t)
		}
	}
	return prefilling, decoding
}

// prefill prefills tasks for one tick and returns the number of tokens; alive is false if the prompt of a task killed
// the engine.
func (m *Model) prefill(prefilling []*Task, pace float64) (prefilled fleet.Tokens, alive bool) {
	m.prefillCredit += m.Settings.PrefillPace * pace * Tick.Seconds()
	budget := fleet.Tokens(m.prefillCredit)
	m.prefillCredit -= float64(budget)
	for _, t := range prefilling {
		if budget == 0 {
			break
		}
		t.phase = engine.PhasePrefill
		chunk := min(t.unprefilled, budget)
		t.unprefilled -= chunk
		budget -= chunk
		prefilled += chunk
		if t.unprefilled == 0 && !m.finishPrefill(t) {
			return prefilled, false
		}
	}
	return prefilled, true
}

// finishPrefill exports t's segment if the request asks for that, and moves t to decode, or ends it if there is nothing
// to generate. It reports false if the prompt killed the engine.
func (m *Model) finishPrefill(t *Task) bool {
	text := engine.Segment(t.Request.Prompt, t.Request.PromptFrom, t.segmentEnd)
	if strings.Contains(text, CrashMarker) {
		m.stats.CrashDeaths++
		m.die(m.clock)
		return false
	}
	event := engine.Event{
		Type: engine.EventPrefilled, Position: t.position, CachedTokens: t.cachedTokens, Incarnation: m.incarnation,
	}
	if t.Request.ExportKV {
		m.exportSegment(t)
		event.KVHandle = t.exported.handle
	}
	t.phase = engine.PhaseDecode
	t.emit(event)
	m.finishIfComplete(t)
	return true
}

// decode generates tokens for one tick and returns their number.
func (m *Model) decode(decoding []*Task, pace float64) fleet.Tokens {
	var generated fleet.Tokens
	slowdown := 1 + float64(len(decoding)-1)/m.Settings.DecodeBatch
	for _, t := range decoding {
		t.decodeCredit += m.Settings.DecodePace * pace / slowdown * Tick.Seconds()
		for t.decodeCredit >= 1 && t.position < t.Request.MaxTokens {
			t.decodeCredit--
			t.emit(engine.Event{
				Type: engine.EventToken, Position: t.position, Text: tokenText(t.digest, t.position), Incarnation: m.incarnation,
			})
			t.position++
			generated++
		}
		m.finishIfComplete(t)
	}
	return generated
}

// finishIfComplete ends t if its answer is complete. It then caches t.prefixes, unless t has exported its segment.
func (m *Model) finishIfComplete(t *Task) {
	if t.position < t.Request.MaxTokens {
		return
	}
	t.emit(engine.Event{
		Type: engine.EventDone, Position: t.position, CachedTokens: t.cachedTokens, Incarnation: m.incarnation,
	})
	m.stats.Done++
	m.endTask(t, EndingDone)
	if t.exported != nil {
		return
	}
	m.cache.store(m.clock, t.prefixes)
	m.recordLoad()
}

// updateRate updates the moving average of a rate with the tokens of one tick.
func updateRate(rate *float64, tokens fleet.Tokens) {
	current := float64(tokens) / Tick.Seconds()
	*rate += (current - *rate) * float64(Tick) / float64(rateWindow)
}

// skipFreeze skips the time during which the process itself was frozen, so that the model doesn't catch up on it.
func (m *Model) skipFreeze(now time.Time) {
	if m.Busy() && now.Sub(m.clock) > maxClockLag {
		m.clock = now
	}
}
