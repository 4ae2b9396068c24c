package engine_test

import (
	"testing"
	"time"

	"wisteriadyke/io/engine"
)

func TestLoadLags(t *testing.T) {
	m := newModel(warm())
	now := epoch.Add(10 * time.Second)
	submit(t, m, now, engine.Request{AttemptID: "a", Prompt: promptOf("a", 100_000), MaxTokens: 100})
	if load := m.Load(now.Add(900 * time.Millisecond)); load.KVUsed != 0 {
		t.Errorf("report of 0.1 s before the attempt has %d tokens", load.KVUsed)
	}
	load := m.Load(now.Add(1100 * time.Millisecond))
	if load.KVUsed != 100_100 {
		t.Errorf("report of 0.1 s after the attempt has %d tokens", load.KVUsed)
	}
	if load.MeasuredAt.After(now.Add(100 * time.Millisecond)) {
		t.Errorf("report is of %v", load.MeasuredAt)
	}
}

func TestCacheEventsLagAndHaveGaps(t *testing.T) {
	settings := warm()
	settings.CacheGap = 2
	m := newModel(settings)
	prompt := promptOf("cached", 10_000)
	submit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: prompt})
	now := epoch.Add(time.Second)
	if events := m.CacheEvents(now, 0); len(events.Events) != 0 {
		t.Errorf("events before the lag: %v", events.Events)
	}
	now = now.Add(settings.CacheLag)
	prefixes := engine.Prefixes(prompt)
	events := m.CacheEvents(now, 0).Events
	if len(prefixes) != 4 || len(events) != 2 {
		t.Fatalf("%d prefixes and %d events, want 4 and every other one", len(prefixes), len(events))
	}
	for _, event := range events {
		if want := prefixes[event.Sequence-1]; event.Kind != engine.CacheStored || event.Prefix != want {
			t.Errorf("event is %+v, want %+v stored", event, want)
		}
	}
	again := submit(t, m, now, engine.Request{AttemptID: "b", Prompt: prompt})
	m.Advance(now.Add(time.Second))
	taken, _ := again.TakeEvents()
	if cached := taken[len(taken)-1].CachedTokens; cached != 8*engine.PrefixBlock {
		t.Errorf("second run had %d tokens cached", cached)
	}
}
