package engine_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
	standin "wisteriadyke/standin/engine"
)

// epoch is the start time of the models in the tests.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newModel returns a model started at epoch.
func newModel(settings standin.Settings) *standin.Model {
	m := &standin.Model{Settings: settings}
	m.Start(epoch)
	return m
}

// warmSettings returns the default settings without a cold start.
func warmSettings() standin.Settings {
	settings := standin.DefaultSettings()
	settings.ColdTime = 0
	return settings
}

// newPrompt returns a prompt that starts with name and has the given length in tokens.
func newPrompt(name string, tokens int) string {
	const row = " row"
	return (name + strings.Repeat(row, tokens))[:tokens*engine.BytesPerToken]
}

// mustSubmit submits an attempt and fails the test if it is refused.
func mustSubmit(t *testing.T, m *standin.Model, now time.Time, request engine.Request) *standin.Task {
	t.Helper()
	task, err := m.Submit(now, request)
	if err != nil {
		t.Fatalf("submit %s: %v", request.AttemptID, err)
	}
	return task
}

// codeOf returns the code of a refusal, or "".
func codeOf(err error) engine.Code {
	var refusal *standin.Refusal
	if !errors.As(err, &refusal) {
		return ""
	}
	return refusal.Code
}

// textOf returns the concatenated text of events.
func textOf(events []engine.Event) string {
	var text strings.Builder
	for _, event := range events {
		text.WriteString(event.Text)
	}
	return text.String()
}

func TestMemoryNeverOverCapacity(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, seed))
			settings := warmSettings()
			settings.Memory = 10_000
			settings.PrefillPace = 10_000
			settings.LoadLag = 0
			m := newModel(settings)
			var handles []engine.KVHandle
			refused := 0
			now := epoch
			for n := range 300 {
				now = now.Add(time.Duration(random.IntN(500)) * time.Millisecond)
				id := fleet.AttemptID(fmt.Sprintf("a%d", n))
				_, err := m.Submit(now, engine.Request{
					AttemptID: id,
					Prompt:    newPrompt(fmt.Sprint(random.IntN(10)), 1+random.IntN(6_000)),
					MaxTokens: fleet.Tokens(random.IntN(200)),
					ExportKV:  random.IntN(4) == 0,
				})
				if codeOf(err) == engine.CodeNoMemory {
					refused++
				} else if err != nil {
					t.Fatalf("submit %s: %v", id, err)
				}
				if random.IntN(4) == 0 {
					_ = m.Cancel(now, id)
				}
				handles = handles[:0]
				for _, kv := range m.Listing(now).HeldKV {
					handles = append(handles, kv.Handle)
				}
				if len(handles) > 0 && random.IntN(3) == 0 {
					if err := m.DropKV(now, handles[random.IntN(len(handles))]); err != nil {
						t.Fatal(err)
					}
				}
				if load := m.Load(now); load.KVUsed+load.KVCached > settings.Memory {
					t.Fatalf("%d tokens used and %d cached, capacity %d", load.KVUsed, load.KVCached, settings.Memory)
				}
			}
			if peak := m.Stats().KVPeak; peak > settings.Memory {
				t.Errorf("got peak of %d tokens, capacity %d", peak, settings.Memory)
			}
			if refused == 0 {
				t.Error("no attempt was refused, so the memory limit was never reached")
			}
		})
	}
}

func TestColdDeath(t *testing.T) {
	tests := map[string]struct {
		attempts   int
		coldTokens fleet.Tokens
		after      time.Duration
		deaths     int
	}{
		"as many as it bears":  {attempts: 2, deaths: 0},
		"one more":             {attempts: 3, deaths: 1},
		"too many tokens":      {attempts: 2, coldTokens: 1500, deaths: 1},
		"one more, after cold": {attempts: 3, after: 5 * time.Second, deaths: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settings := standin.DefaultSettings()
			settings.ColdTokens = test.coldTokens
			m := newModel(settings)
			first := m.Incarnation()
			now := epoch.Add(test.after)
			var tasks []*standin.Task
			for n := range test.attempts {
				task, err := m.Submit(now, engine.Request{
					AttemptID: fleet.AttemptID(fmt.Sprint(n)),
					Prompt:    newPrompt("cold", 1000),
					MaxTokens: 10,
				})
				if err == nil {
					tasks = append(tasks, task)
				}
			}
			stats := m.Stats()
			if stats.OverloadDeaths != test.deaths || stats.Deaths != test.deaths {
				t.Fatalf("got %d deaths, %d of them by overload, want %d", stats.Deaths, stats.OverloadDeaths, test.deaths)
			}
			if test.deaths == 0 {
				return
			}
			if m.Incarnation() <= first {
				t.Errorf("got incarnation %d after %d", m.Incarnation(), first)
			}
			if load := m.Load(now.Add(settings.LoadLag)); load.KVUsed != 0 {
				t.Errorf("new incarnation uses %d tokens, want 0", load.KVUsed)
			}
			if !m.Cold() {
				t.Error("new incarnation is not cold")
			}
			for _, task := range tasks {
				if _, ending := task.TakeEvents(); ending != standin.EndingDied {
					t.Errorf("attempt %s: got ending %d, want %d", task.Request.AttemptID, ending, standin.EndingDied)
				}
			}
		})
	}
}

func TestColdPace(t *testing.T) {
	settings := standin.DefaultSettings()
	settings.ColdTime = time.Minute
	settings.WarmTokens = 20_000
	m := newModel(settings)
	task := mustSubmit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: newPrompt("a", 30_000), MaxTokens: 1})
	m.Advance(epoch.Add(600 * time.Millisecond))
	if events, _ := task.TakeEvents(); len(events) != 1 {
		t.Errorf("cold engine prefilled 30000 tokens in 0.6 s: %v", events)
	}
	if !m.Cold() {
		t.Error("warm before 20000 tokens were processed")
	}
	m.Advance(epoch.Add(2 * time.Second))
	if m.Cold() {
		t.Error("still cold after 20000 tokens were processed")
	}
}

func TestPriority(t *testing.T) {
	m := newModel(warmSettings())
	long := mustSubmit(t, m, epoch, engine.Request{AttemptID: "long", Prompt: newPrompt("long", 300_000), MaxTokens: 10})
	now := epoch.Add(time.Second)
	short := mustSubmit(t, m, now, engine.Request{AttemptID: "short", Prompt: newPrompt("short", 1000), MaxTokens: 10, Priority: 1})
	m.Advance(now.Add(time.Second))
	if _, ending := short.TakeEvents(); ending != standin.EndingDone {
		t.Errorf("short attempt of high priority: got ending %d, want %d", ending, standin.EndingDone)
	}
	m.Advance(now.Add(8 * time.Second))
	if _, ending := long.TakeEvents(); ending != standin.EndingDone {
		t.Errorf("long attempt: got ending %d, want %d", ending, standin.EndingDone)
	}
}

func TestResumeContinuesText(t *testing.T) {
	m := newModel(warmSettings())
	prompt := newPrompt("resume", 500)
	task := mustSubmit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: prompt, MaxTokens: 30, FirstToken: 12})
	m.Advance(epoch.Add(time.Second))
	events, ending := task.TakeEvents()
	if ending != standin.EndingDone {
		t.Fatalf("got ending %d, want %d", ending, standin.EndingDone)
	}
	whole := standin.ExpectedText(prompt, 30)
	if got, want := textOf(events), strings.TrimPrefix(whole, standin.ExpectedText(prompt, 12)); got != want {
		t.Errorf("got text %q from token 12, want %q", got, want)
	}
}

func TestCancelFrees(t *testing.T) {
	settings := warmSettings()
	settings.LoadLag = 0
	m := newModel(settings)
	task := mustSubmit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: newPrompt("a", 100_000), MaxTokens: 100})
	now := epoch.Add(100 * time.Millisecond)
	if load := m.Load(now); load.KVUsed != 100_100 {
		t.Errorf("got %d tokens used, want 100100", load.KVUsed)
	}
	if err := m.Cancel(now, "a"); err != nil {
		t.Fatal(err)
	}
	if _, ending := task.TakeEvents(); ending != standin.EndingCancelled {
		t.Errorf("got ending %d, want %d", ending, standin.EndingCancelled)
	}
	if load := m.Load(now); load.KVUsed != 0 {
		t.Errorf("got %d tokens used after cancel, want 0", load.KVUsed)
	}
	if err := m.Cancel(now, "a"); codeOf(err) != engine.CodeUnknownAttempt {
		t.Errorf("second cancel: got error %v", err)
	}
}

func TestOrphansHoldMemoryUntilCancelled(t *testing.T) {
	settings := warmSettings()
	settings.LoadLag = 0
	settings.HoldOrphans = true
	m := newModel(settings)
	task := mustSubmit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: newPrompt("a", 1000)})
	m.Disconnect(epoch, task)
	now := epoch.Add(time.Hour)
	listing := m.Listing(now)
	if len(listing.Attempts) != 1 || listing.Attempts[0].Phase != engine.PhaseOrphaned || listing.Attempts[0].KVTokens != 1000 {
		t.Fatalf("unexpected listing %+v", listing)
	}
	if err := m.Cancel(now, "a"); err != nil {
		t.Fatal(err)
	}
	if load := m.Load(now); load.KVUsed != 0 {
		t.Errorf("got %d tokens used after cancel, want 0", load.KVUsed)
	}
}

func TestFence(t *testing.T) {
	tests := map[string]struct {
		check bool
		code  engine.Code
		stale int
	}{
		"checked":     {check: true, code: engine.CodeStaleFence},
		"not checked": {check: false, stale: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settings := warmSettings()
			settings.CheckFence = test.check
			m := newModel(settings)
			mustSubmit(t, m, epoch, engine.Request{AttemptID: "new", Prompt: "new", Fence: 7})
			_, err := m.Submit(epoch, engine.Request{AttemptID: "old", Prompt: "old", Fence: 6})
			if codeOf(err) != test.code {
				t.Errorf("attempt with the old fencing token: got error %v", err)
			}
			err = m.Order(epoch, engine.Order{Kind: engine.OrderLoadAdapter, Name: "x", Fence: 6})
			if codeOf(err) != test.code {
				t.Errorf("order with the old fencing token: got error %v", err)
			}
			if stale := m.Stats().StaleAccepted; stale != test.stale {
				t.Errorf("got %d stale requests accepted, want %d", stale, test.stale)
			}
			if err := m.Order(epoch, engine.Order{Kind: engine.OrderSetRole, Name: "x", Fence: 7}); err != nil {
				t.Errorf("order with the current fencing token: %v", err)
			}
		})
	}
}

func TestCrashMarkerKills(t *testing.T) {
	m := newModel(warmSettings())
	other := mustSubmit(t, m, epoch, engine.Request{AttemptID: "b", Prompt: newPrompt("b", 10), MaxTokens: 1000})
	mustSubmit(t, m, epoch, engine.Request{AttemptID: "c", Prompt: "a " + standin.CrashMarker})
	m.Advance(epoch.Add(time.Second))
	if stats := m.Stats(); stats.CrashDeaths != 1 || stats.Deaths != 1 {
		t.Errorf("unexpected stats %+v", stats)
	}
	if _, ending := other.TakeEvents(); ending != standin.EndingDied {
		t.Errorf("other attempt: got ending %d, want %d", ending, standin.EndingDied)
	}
}

func TestOrderLoadModelTurnsCold(t *testing.T) {
	m := newModel(standin.DefaultSettings())
	now := epoch.Add(time.Minute)
	if m.Advance(now); m.Cold() {
		t.Fatal("still cold after a minute")
	}
	if err := m.Order(now, engine.Order{Kind: engine.OrderLoadModel, Name: "other"}); err != nil {
		t.Fatal(err)
	}
	if !m.Cold() {
		t.Error("warm after loading a model")
	}
	_, err := m.Submit(now, engine.Request{AttemptID: "a", Prompt: "x", Model: "former"})
	if codeOf(err) != engine.CodeUnknownModel {
		t.Errorf("attempt for a model that is not loaded: got error %v", err)
	}
}
