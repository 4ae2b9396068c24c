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

// The trial of the ways to serve a prompt larger than an engine's memory.
const (
	// trialEngines is the number of engines of one availability zone.
	trialEngines = 6
	// trialPrompt is the length of the large prompt.
	trialPrompt fleet.Tokens = 1_000_000
	// trialSegment is the length of one segment.
	trialSegment fleet.Tokens = 142_858
	// trialTransfer is the KV cache tokens moved a second between engines or to and from the object store.
	trialTransfer = 20_000
	// trialShort is the load of short requests in parts of the capacity.
	trialShort = 0.2
	// trialCrash is when an engine that works on the large prompt dies, in the runs with a crash.
	trialCrash = 6 * time.Second
	// trialTime bounds a run.
	trialTime = 2 * time.Minute
)

// trial is one run of one way.
type trial struct {
	clock
	models   []*standin.Model
	random   *rand.Rand
	attempts int
	shorts   []time.Duration
	// held is the memory held for the large prompt, now and times time in seconds.
	held     fleet.Tokens
	heldAt   time.Time
	heldTime float64
	read     fleet.Tokens
	ended    time.Time
}

// newTrial returns warm engines under short requests.
func newTrial(seed uint64) *trial {
	t := &trial{clock: clock{now: epoch}, random: rand.New(rand.NewPCG(seed, 5)), heldAt: epoch}
	for range trialEngines {
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
	t.short()
	return t
}

// short sends a short request to a random engine and plans the next.
func (t *trial) short() {
	tokens := fleet.Tokens(500 + t.random.IntN(3_500))
	rate := trialShort * trialEngines * engineSettings().PrefillPace * mixedPace / 2_250
	t.after(time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), t.short)
	begun := t.now
	start := t.random.IntN(corpusTokens-5_000) * engine.BytesPerToken
	r := engine.Request{Prompt: corpus()[start : start+int(tokens)*engine.BytesPerToken], MaxTokens: answerTokens, Priority: 40}
	t.submit(t.random.IntN(trialEngines), r, func(first time.Time, ok bool) {
		if ok && t.ended.IsZero() {
			t.shorts = append(t.shorts, first.Sub(begun))
		}
	}, func(engine.KVHandle, bool) {})
}

// submit runs an attempt; first is called with its first token and done with its end.
func (t *trial) submit(on int, r engine.Request, first func(at time.Time, ok bool), done func(handle engine.KVHandle, ok bool)) {
	t.attempts++
	r.AttemptID = fleet.AttemptID(fmt.Sprint(t.attempts))
	task, err := t.models[on].Submit(t.now, r)
	if err != nil {
		t.after(100*time.Millisecond, func() { t.submit(on, r, first, done) })
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
				first(t.now, true)
			}
		}
		if ending != standin.EndingNone {
			done(handle, ending == standin.EndingDone)
		}
		return ending == standin.EndingNone
	})
}

// hold changes the memory held for the large prompt.
func (t *trial) hold(tokens fleet.Tokens) {
	t.heldTime += float64(t.held) * t.now.Sub(t.heldAt).Seconds()
	t.heldAt = t.now
	t.held += tokens
}

// end ends the run.
func (t *trial) end() {
	t.hold(-t.held)
	t.ended = t.now
}

// crash gives an engine another life without what it held; who ran there learns of it.
func (t *trial) crash(on int) {
	old := t.models[on]
	m := &standin.Model{Settings: old.Settings}
	m.Start(t.now)
	t.models[on] = m
	for _, a := range old.Listing(t.now).Attempts {
		// An attempt that has just ended needs no end.
		_ = old.Cancel(t.now, a.AttemptID)
	}
}

// way serves the large prompt and calls end.
type way func(t *trial, crash bool)

// ways holds the ways that are weighed.
var ways = map[string]way{
	"gang":         func(t *trial, crash bool) { newChain(t, 4, crash).next() },
	"object_store": func(t *trial, crash bool) { newChain(t, 1, crash).next() },
	"readings":     serveReadings,
}

// chain reads the segments in order, each with the KV cache of the one before. A gang of several engines is held until
// the end and moves caches between its members; a single one saves each cache to the object store meanwhile.
type chain struct {
	*trial
	engines int
	on      int
	from    fleet.Tokens
	number  int
	handle  engine.KVHandle
	crashed bool
	crash   bool
}

// newChain begins with all memory reserved.
func newChain(t *trial, engines int, crash bool) *chain {
	t.hold(2 * trialSegment * fleet.Tokens(engines))
	return &chain{trial: t, engines: engines, crash: crash}
}

// next reads the next segment.
func (c *chain) next() {
	to := min(c.from+trialSegment, trialPrompt)
	r := engine.Request{Prompt: largePrompt(), PromptFrom: c.from, PromptTo: to, MaxTokens: 1, ExportKV: true, Keep: true}
	if to == trialPrompt {
		r.MaxTokens = answerTokens
	}
	if c.handle != "" {
		r.ImportKV = []engine.KVHandle{c.handle}
	}
	c.read += to - c.from
	begun := c.number
	if c.crash && !c.crashed {
		c.at(epoch.Add(trialCrash), func() {
			if !c.crashed {
				c.crashed = true
				c.trial.crash(c.on)
			}
		})
	}
	c.submit(c.on, r, func(time.Time, bool) {}, func(handle engine.KVHandle, ok bool) {
		if begun != c.number {
			return
		}
		if !ok {
			c.recover()
			return
		}
		c.done(handle, to)
	})
}

// done goes on with the segment after one that is read.
func (c *chain) done(handle engine.KVHandle, to fleet.Tokens) {
	if c.handle != "" {
		// The cache before the last is no longer used.
		_ = c.models[c.on].DropKV(c.now, c.handle)
	}
	c.handle = handle
	c.from = to
	c.number++
	if to == trialPrompt {
		c.end()
		return
	}
	if c.engines > 1 && c.number%2 == 0 {
		c.move((c.on + 1) % trialEngines)
		return
	}
	c.next()
}

// move brings the last cache to another engine.
func (c *chain) move(to int) {
	kv, err := c.models[c.on].ExportKV(c.handle)
	if err != nil {
		c.restart(to)
		return
	}
	c.after(transferTime(kv.Tokens), func() { c.adopt(to, kv) })
}

// adopt imports a cache and goes on there.
func (c *chain) adopt(on int, kv engine.KV) {
	c.on = on
	c.handle = engine.KVHandle(fmt.Sprintf("moved-%d-%d", c.number, c.attempts))
	if err := c.models[on].ImportKV(c.now, c.handle, kv); err != nil {
		c.after(100*time.Millisecond, func() { c.adopt(on, kv) })
		return
	}
	c.next()
}

// recover goes on after a crash: a single engine's caches are in the object store but for the one in work; those of a
// gang's member are lost, and it reads from the first of its segments with the cache of the member before.
func (c *chain) recover() {
	if c.engines == 1 && c.number > 0 {
		from := c.from - trialSegment
		kv := engine.KV{Tokens: trialSegment, ChainFrom: from, From: from, To: c.from, Digest: engine.DigestText(engine.Segment(largePrompt(), from, c.from))}
		c.after(transferTime(kv.Tokens), func() { c.adopt((c.on+1)%trialEngines, kv) })
		return
	}
	c.restart((c.on + 1) % trialEngines)
}

// restart reads again from the first segment of the present member.
func (c *chain) restart(on int) {
	back := c.number
	if c.engines > 1 {
		back = c.number % 2
	}
	c.number -= back
	c.from -= trialSegment * fleet.Tokens(back)
	c.on = on
	c.handle = ""
	c.next()
}

// transferTime returns the time to move a KV cache.
func transferTime(tokens fleet.Tokens) time.Duration {
	return time.Duration(float64(tokens) / trialTransfer * float64(time.Second))
}

// serveReadings reads the segments side by side and answers from their readings.
func serveReadings(t *trial, crash bool) {
	waiting := int((trialPrompt + trialSegment - 1) / trialSegment)
	left := waiting
	var next func(on int)
	var read func(on int, from fleet.Tokens)
	read = func(on int, from fleet.Tokens) {
		to := min(from+trialSegment, trialPrompt)
		r := engine.Request{Prompt: engine.Segment(largePrompt(), from, to), MaxTokens: readingTokens}
		t.read += to - from
		t.hold(to - from + readingTokens)
		t.submit(on, r, func(time.Time, bool) {}, func(_ engine.KVHandle, ok bool) {
			t.hold(-(to - from + readingTokens))
			if !ok {
				read((on+1)%trialEngines, from)
				return
			}
			left--
			if left > 0 {
				next(on)
				return
			}
			answer := engine.Request{Prompt: engine.Segment(corpus(), 0, 7*readingTokens), MaxTokens: answerTokens}
			t.submit(on, answer, func(time.Time, bool) {}, func(engine.KVHandle, bool) { t.end() })
		})
	}
	next = func(on int) {
		if waiting > 0 {
			waiting--
			read(on, trialSegment*fleet.Tokens(waiting))
		}
	}
	for on := range segmentsAtOnce {
		next(on)
	}
	if crash {
		t.after(trialCrash, func() { t.crash(0) })
	}
}

// largePrompt returns the large prompt.
func largePrompt() string {
	return engine.Segment(corpus(), 1_000, 1_000+trialPrompt)
}

// BenchmarkLongPrompt reports the ways to serve a prompt larger than an engine's memory.
func BenchmarkLongPrompt(b *testing.B) {
	for _, name := range []string{"none", "gang", "object_store", "readings"} {
		for _, crash := range []bool{false, true} {
			if name == "none" && crash {
				continue
			}
			b.Run(fmt.Sprintf("%s/crash=%t", name, crash), func(b *testing.B) {
				for b.Loop() {
					reportTrials(b, ways[name], crash)
				}
			})
		}
	}
}

// reportTrials reports the means over the seeds.
func reportTrials(b *testing.B, serve way, crash bool) {
	var finish, held, read float64
	var shorts []time.Duration
	for _, seed := range seeds {
		t := newTrial(seed)
		if serve == nil {
			t.at(epoch.Add(30*time.Second), t.end)
		} else {
			serve(t, crash)
		}
		t.run(epoch.Add(trialTime), func() bool { return !t.ended.IsZero() })
		if t.ended.IsZero() {
			b.Fatalf("seed %d has not ended after %s", seed, trialTime)
		}
		finish += t.ended.Sub(epoch).Seconds()
		held += t.heldTime
		read += float64(t.read)
		shorts = append(shorts, t.shorts...)
	}
	runs := float64(len(seeds))
	slices.Sort(shorts)
	b.ReportMetric(finish/runs, "finish_s")
	b.ReportMetric(held/runs, "held_token_s")
	b.ReportMetric(read/runs, "read_tokens")
	b.ReportMetric(quantile(shorts, 0.5), "short_ttft_p50_s")
	b.ReportMetric(quantile(shorts, 0.95), "short_ttft_p95_s")
	b.ReportMetric(0, "ns/op")
}
