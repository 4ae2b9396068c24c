package bench_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
	standin "wisteriadyke/standin/engine"
)

// Parameters of the comparison of strategies that serve a prompt larger than an engine's memory.
const (
	// longPromptEngines is the number of engines, those of one availability zone.
	longPromptEngines = 6
	// longPromptTokens is the length of the long prompt.
	longPromptTokens fleet.Tokens = 1_000_000
	// longPromptSegment is the length of one segment: a seventh of the prompt, rounded up.
	longPromptSegment fleet.Tokens = 142_858
	// transferTokensPerSecond is the speed at which KV caches move between engines or to and from the object store.
	transferTokensPerSecond = 20_000
	// shortLoad is the load of short requests as a fraction of the capacity.
	shortLoad = 0.2
	// crashTime is the time at which an engine that works on the long prompt crashes, in the runs with a crash.
	crashTime = 6 * time.Second
	// maxRunTime limits the virtual time of a run.
	maxRunTime = 2 * time.Minute
)

// longPromptRun is one run of one strategy.
type longPromptRun struct {
	clock
	models               []*standin.Model
	random               *rand.Rand
	attempts             int
	shortFirstTokenTimes []time.Duration
	// reservedTokens is the memory, in tokens, that is reserved for the long prompt since reservedSince.
	// reservedTokenSeconds is the integral of the reserved memory over the time before reservedSince.
	reservedTokens       fleet.Tokens
	reservedSince        time.Time
	reservedTokenSeconds float64
	prefilledTokens      fleet.Tokens
	endedAt              time.Time
}

// newLongPromptRun returns a run with warm engines that serve short requests.
func newLongPromptRun(seed uint64) *longPromptRun {
	t := &longPromptRun{clock: clock{now: epoch}, random: rand.New(rand.NewPCG(seed, 5)), reservedSince: epoch}
	for range longPromptEngines {
		settings := engineSettings()
		settings.ColdTime = 0
		m := &standin.Model{Settings: settings}
		m.Start(epoch)
		t.models = append(t.models, m)
	}
	t.every(0, standin.Tick/2, func() bool {
		for _, m := range t.models {
			m.Advance(t.now)
		}
		return true
	})
	t.sendShort()
	return t
}

// sendShort sends a short request to a random engine and schedules the next one.
func (t *longPromptRun) sendShort() {
	tokens := fleet.Tokens(500 + t.random.IntN(3_500))
	rate := shortLoad * longPromptEngines * engineSettings().PrefillPace * mixedPace / 2_250
	t.after(time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), t.sendShort)
	sentAt := t.now
	start := t.random.IntN(corpusTokens-5_000) * engine.BytesPerToken
	r := engine.Request{
		Prompt:    corpus()[start : start+int(tokens)*engine.BytesPerToken],
		MaxTokens: answerTokens,
		Priority:  40,
	}
	t.submit(t.random.IntN(longPromptEngines), r, func(first time.Time, ok bool) {
		if ok && t.endedAt.IsZero() {
			t.shortFirstTokenTimes = append(t.shortFirstTokenTimes, first.Sub(sentAt))
		}
	}, func(engine.KVHandle, bool) {})
}

// submit submits an attempt to an engine, and again after a pause each time that the engine refuses it. onFirstToken is
// called at the first token of the attempt, with ok always true; onEnd is called at the end of the attempt, with ok
// true if the answer is complete.
func (t *longPromptRun) submit(
	engineIndex int, r engine.Request,
	onFirstToken func(at time.Time, ok bool), onEnd func(handle engine.KVHandle, ok bool),
) {
	t.attempts++
	r.AttemptID = fleet.AttemptID(fmt.Sprint(t.attempts))
	task, err := t.models[engineIndex].Submit(t.now, r)
	if err != nil {
		t.after(100*time.Millisecond, func() { t.submit(engineIndex, r, onFirstToken, onEnd) })
		return
	}
	started := false
	var handle engine.KVHandle
	t.every(standin.Tick, standin.Tick, func() bool {
		events, ending := task.TakeEvents()
		for _, event := range events {
			if event.Type == engine.EventPrefilled {
				handle = event.KVHandle
			}
			if event.Type == engine.EventToken && !started {
				started = true
				onFirstToken(t.now, true)
			}
		}
		if ending != standin.EndingNone {
			onEnd(handle, ending == standin.EndingDone)
		}
		return ending == standin.EndingNone
	})
}

// reserve adds tokens to the memory reserved for the long prompt; a negative number releases memory.
func (t *longPromptRun) reserve(tokens fleet.Tokens) {
	t.reservedTokenSeconds += float64(t.reservedTokens) * t.now.Sub(t.reservedSince).Seconds()
	t.reservedSince = t.now
	t.reservedTokens += tokens
}

// end releases all memory and ends the run.
func (t *longPromptRun) end() {
	t.reserve(-t.reservedTokens)
	t.endedAt = t.now
}

// crashEngine replaces an engine by one with empty memory and cancels the attempts on the old one, which thereby end
// without a complete answer.
func (t *longPromptRun) crashEngine(engineIndex int) {
	old := t.models[engineIndex]
	m := &standin.Model{Settings: old.Settings}
	m.Start(t.now)
	t.models[engineIndex] = m
	for _, a := range old.Listing(t.now).Attempts {
		// The engine returns an error if the attempt has ended, which then needs no cancellation.
		_ = old.Cancel(t.now, a.AttemptID)
	}
}

// strategy serves the long prompt and calls end. withCrash schedules the crash of an engine that works on the prompt.
type strategy func(t *longPromptRun, withCrash bool)

// strategies holds the compared strategies by their names in the results.
var strategies = map[string]strategy{
	"gang":         func(t *longPromptRun, withCrash bool) { newSegmentChain(t, 4, withCrash).prefillNext() },
	"object_store": func(t *longPromptRun, withCrash bool) { newSegmentChain(t, 1, withCrash).prefillNext() },
	"readings":     servePartialAnswers,
}

// segmentChain prefills the segments in order, each with the KV cache of the previous one. A gang of several engines is
// reserved until the end and moves caches between its members; a single engine saves each cache to the object store in
// the background.
type segmentChain struct {
	*longPromptRun
	gangSize    int
	engineIndex int
	from        fleet.Tokens
	segment     int
	handle      engine.KVHandle
	crashed     bool
	withCrash   bool
}

// newSegmentChain returns a chain and reserves memory for two segments at each of its engines.
func newSegmentChain(t *longPromptRun, gangSize int, withCrash bool) *segmentChain {
	t.reserve(2 * longPromptSegment * fleet.Tokens(gangSize))
	return &segmentChain{longPromptRun: t, gangSize: gangSize, withCrash: withCrash}
}

// prefillNext prefills the next segment; the last one also generates the answer.
func (c *segmentChain) prefillNext() {
	to := min(c.from+longPromptSegment, longPromptTokens)
	r := engine.Request{
		Prompt: longPrompt(), PromptFrom: c.from, PromptTo: to, MaxTokens: 1, ExportKV: true, Keep: true,
	}
	if to == longPromptTokens {
		r.MaxTokens = answerTokens
	}
	if c.handle != "" {
		r.ImportKV = []engine.KVHandle{c.handle}
	}
	c.prefilledTokens += to - c.from
	segment := c.segment
	if c.withCrash && !c.crashed {
		c.at(epoch.Add(crashTime), func() {
			if !c.crashed {
				c.crashed = true
				c.crashEngine(c.engineIndex)
			}
		})
	}
	c.submit(c.engineIndex, r, func(time.Time, bool) {}, func(handle engine.KVHandle, ok bool) {
		if segment != c.segment {
			return
		}
		if !ok {
			c.recoverFromCrash()
			return
		}
		c.handleSegmentDone(handle, to)
	})
}

// handleSegmentDone frees the imported cache and continues with the next segment, after every second one on the next
// member of a gang. It ends the run after the last segment.
func (c *segmentChain) handleSegmentDone(handle engine.KVHandle, to fleet.Tokens) {
	if c.handle != "" {
		// The imported cache is no longer used; if the engine no longer has it, there is nothing to free.
		_ = c.models[c.engineIndex].DropKV(c.now, c.handle)
	}
	c.handle = handle
	c.from = to
	c.segment++
	if to == longPromptTokens {
		c.end()
		return
	}
	if c.gangSize > 1 && c.segment%2 == 0 {
		c.moveCache((c.engineIndex + 1) % longPromptEngines)
		return
	}
	c.prefillNext()
}

// moveCache moves the last cache to another engine and continues there. If the cache was lost, it continues there
// without it.
func (c *segmentChain) moveCache(to int) {
	kv, err := c.models[c.engineIndex].ExportKV(c.handle)
	if err != nil {
		c.restartMember(to)
		return
	}
	c.after(transferTime(kv.Tokens), func() { c.importCache(to, kv) })
}

// importCache imports a cache at an engine and continues there. If the engine refuses the import, it tries again after
// a pause.
func (c *segmentChain) importCache(engineIndex int, kv engine.KV) {
	c.engineIndex = engineIndex
	c.handle = engine.KVHandle(fmt.Sprintf("moved-%d-%d", c.segment, c.attempts))
	if err := c.models[engineIndex].ImportKV(c.now, c.handle, kv); err != nil {
		c.after(100*time.Millisecond, func() { c.importCache(engineIndex, kv) })
		return
	}
	c.prefillNext()
}

// recoverFromCrash continues on the next engine after a crash. All finished caches of a single engine are in the object
// store, from which the last one is imported. Those of a gang's member are lost, and the next engine prefills that
// member's segments again: the previous member still has the cache of the segments before them, whose import is not
// simulated.
func (c *segmentChain) recoverFromCrash() {
	if c.gangSize == 1 && c.segment > 0 {
		from := c.from - longPromptSegment
		kv := engine.KV{
			Tokens: longPromptSegment, ChainFrom: from, From: from, To: c.from,
			Digest: engine.DigestText(engine.Segment(longPrompt(), from, c.from)),
		}
		c.after(transferTime(kv.Tokens), func() { c.importCache((c.engineIndex+1)%longPromptEngines, kv) })
		return
	}
	c.restartMember((c.engineIndex + 1) % longPromptEngines)
}

// restartMember continues on another engine without a cache. It first prefills again the segments that the current
// member has finished: at most one of a gang's member, which prefills two, or all of a single engine.
func (c *segmentChain) restartMember(engineIndex int) {
	repeated := c.segment
	if c.gangSize > 1 {
		repeated = c.segment % 2
	}
	c.segment -= repeated
	c.from -= longPromptSegment * fleet.Tokens(repeated)
	c.engineIndex = engineIndex
	c.handle = ""
	c.prefillNext()
}

// transferTime returns the time to move a KV cache of the given size.
func transferTime(tokens fleet.Tokens) time.Duration {
	return time.Duration(float64(tokens) / transferTokensPerSecond * float64(time.Second))
}

// servePartialAnswers sends the segments in parallel and generates the answer from their partial answers.
func servePartialAnswers(t *longPromptRun, withCrash bool) {
	unsent := int((longPromptTokens + longPromptSegment - 1) / longPromptSegment)
	unfinished := unsent
	var sendNext func(engineIndex int)
	var prefill func(engineIndex int, from fleet.Tokens)
	prefill = func(engineIndex int, from fleet.Tokens) {
		to := min(from+longPromptSegment, longPromptTokens)
		r := engine.Request{Prompt: engine.Segment(longPrompt(), from, to), MaxTokens: partialAnswerTokens}
		t.prefilledTokens += to - from
		t.reserve(to - from + partialAnswerTokens)
		t.submit(engineIndex, r, func(time.Time, bool) {}, func(_ engine.KVHandle, ok bool) {
			t.reserve(-(to - from + partialAnswerTokens))
			if !ok {
				prefill((engineIndex+1)%longPromptEngines, from)
				return
			}
			unfinished--
			if unfinished > 0 {
				sendNext(engineIndex)
				return
			}
			answer := engine.Request{
				Prompt:    engine.Segment(corpus(), 0, 7*partialAnswerTokens),
				MaxTokens: answerTokens,
			}
			t.submit(engineIndex, answer, func(time.Time, bool) {}, func(engine.KVHandle, bool) { t.end() })
		})
	}
	sendNext = func(engineIndex int) {
		if unsent > 0 {
			unsent--
			prefill(engineIndex, longPromptSegment*fleet.Tokens(unsent))
		}
	}
	for engineIndex := range maxParallelSegments {
		sendNext(engineIndex)
	}
	if withCrash {
		t.after(crashTime, func() { t.crashEngine(0) })
	}
}

// longPrompt returns the prompt of longPromptTokens tokens that the strategies serve, taken from the corpus.
func longPrompt() string {
	return engine.Segment(corpus(), 1_000, 1_000+longPromptTokens)
}

// BenchmarkLongPrompt reports metrics of the strategies that serve a prompt larger than an engine's memory, and of the
// short requests without a long prompt.
func BenchmarkLongPrompt(b *testing.B) {
	for _, name := range []string{"none", "gang", "object_store", "readings"} {
		for _, withCrash := range []bool{false, true} {
			if name == "none" && withCrash {
				continue
			}
			b.Run(fmt.Sprintf("%s/crash=%t", name, withCrash), func(b *testing.B) {
				for b.Loop() {
					reportLongPrompt(b, strategies[name], withCrash)
				}
			})
		}
	}
}

// reportLongPrompt reports the means of a strategy's metrics over the seeds, and quantiles of the first-token times of
// the short requests of all seeds. A nil strategy sends no long prompt and ends the run after 30 seconds.
func reportLongPrompt(b *testing.B, serve strategy, withCrash bool) {
	var finish, reserved, prefilled float64
	var shorts []time.Duration
	for _, seed := range seeds {
		t := newLongPromptRun(seed)
		if serve == nil {
			t.at(epoch.Add(30*time.Second), t.end)
		} else {
			serve(t, withCrash)
		}
		t.run(epoch.Add(maxRunTime), func() bool { return !t.endedAt.IsZero() })
		if t.endedAt.IsZero() {
			b.Fatalf("seed %d: run did not end within %s", seed, maxRunTime)
		}
		finish += t.endedAt.Sub(epoch).Seconds()
		reserved += t.reservedTokenSeconds
		prefilled += float64(t.prefilledTokens)
		shorts = append(shorts, t.shortFirstTokenTimes...)
	}
	runs := float64(len(seeds))
	slices.Sort(shorts)
	b.ReportMetric(finish/runs, "finish_s")
	b.ReportMetric(reserved/runs, "held_token_s")
	b.ReportMetric(prefilled/runs, "read_tokens")
	b.ReportMetric(quantile(shorts, 0.5), "short_ttft_p50_s")
	b.ReportMetric(quantile(shorts, 0.95), "short_ttft_p95_s")
	b.ReportMetric(0, "ns/op")
}
