package engine_test

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
	standin "wisteriadyke/standin/engine"
)

func TestControlTurnsAWarmEngineCold(t *testing.T) {
	settings := standin.DefaultSettings()
	settings.ColdLimit = 1
	m := newModel(settings)
	now := epoch.Add(time.Minute)
	for _, id := range []fleet.AttemptID{"a", "b"} {
		mustSubmit(t, m, now, engine.Request{AttemptID: id, Prompt: "x", MaxTokens: 1000})
	}
	cold := true
	m.Apply(now, standin.Control{Cold: &cold})
	m.Advance(now.Add(time.Second))
	if deaths := m.Stats().Deaths; deaths != 0 {
		t.Errorf("got %d deaths without a new attempt, want 0", deaths)
	}
	if _, err := m.Submit(now.Add(time.Second), engine.Request{AttemptID: "c", Prompt: "x"}); err == nil {
		t.Error("a cold engine survived a third attempt")
	}
	if deaths := m.Stats().OverloadDeaths; deaths != 1 {
		t.Errorf("got %d overload deaths, want 1", deaths)
	}
}

func TestControlPaceAndPause(t *testing.T) {
	half := 0.5
	tests := map[string]struct {
		control standin.Control
		tokens  int
	}{
		"as set":            {tokens: 60},
		"half the pace":     {control: standin.Control{Pace: &half}, tokens: 30},
		"half the time":     {control: standin.Control{Pause: 500 * time.Millisecond}, tokens: 30},
		"paused throughout": {control: standin.Control{Pause: time.Second}, tokens: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel(warmSettings())
			m.Apply(epoch, test.control)
			task := mustSubmit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: "x", MaxTokens: 1000})
			m.Advance(epoch.Add(time.Second))
			events, _ := task.TakeEvents()
			tokens := 0
			for _, event := range events {
				if event.Type == engine.EventToken {
					tokens++
				}
			}
			if tokens < test.tokens-2 || tokens > test.tokens {
				t.Errorf("got %d tokens in a second, want %d", tokens, test.tokens)
			}
		})
	}
}
