package engine_test

import (
	"testing"
	"time"

	"wisteriadyke/io/engine"
)

func TestLoadLags(t *testing.T) {
	m := newModel(warmSettings())
	now := epoch.Add(10 * time.Second)
	mustSubmit(t, m, now, engine.Request{AttemptID: "a", Prompt: newPrompt("a", 100_000), MaxTokens: 100})
	if load := m.Load(now.Add(900 * time.Millisecond)); load.KVUsed != 0 {
		t.Errorf("report of 0.1 s before the attempt: got %d tokens used, want 0", load.KVUsed)
	}
	load := m.Load(now.Add(1100 * time.Millisecond))
	if load.KVUsed != 100_100 {
		t.Errorf("report of 0.1 s after the attempt: got %d tokens used, want 100100", load.KVUsed)
	}
	if load.MeasuredAt.After(now.Add(100 * time.Millisecond)) {
		t.Errorf("report was measured at %v, want at most 0.1 s after the attempt", load.MeasuredAt)
	}
}

func TestCacheEventsLagAndHaveGaps(t *testing.T) {
	settings := warmSettings()
	settings.CacheGap = 2
	m := newModel(settings)
	prompt := newPrompt("cached", 10_000)
	mustSubmit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: prompt})
	now := epoch.Add(time.Second)
	if events := m.CacheEvents(now, 0); len(events.Events) != 0 {
		t.Errorf("got events before the lag has passed: %v", events.Events)
	}
	now = now.Add(settings.CacheLag)
	prefixes := engine.Prefixes(prompt)
	events := m.CacheEvents(now, 0).Events
	if len(prefixes) != 4 || len(events) != 2 {
		t.Fatalf("got %d prefixes and %d events, want 4 and 2", len(prefixes), len(events))
	}
	for _, event := range events {
		if want := prefixes[event.Sequence-1]; event.Kind != engine.CacheStored || event.Prefix != want {
			t.Errorf("got event %+v, want stored prefix %+v", event, want)
		}
	}
	again := mustSubmit(t, m, now, engine.Request{AttemptID: "b", Prompt: prompt})
	m.Advance(now.Add(time.Second))
	taken, _ := again.TakeEvents()
	if cached := taken[len(taken)-1].CachedTokens; cached != 8*engine.MinPrefixTokens {
		t.Errorf("got %d cached tokens in the second run, want %d", cached, 8*engine.MinPrefixTokens)
	}
}
