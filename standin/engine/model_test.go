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

// epoch is when the models of the tests start.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newModel returns a model that started at epoch.
func newModel(settings standin.Settings) *standin.Model {
	m := &standin.Model{Settings: settings}
	m.Start(epoch)
	return m
}

// warm returns the default settings without a cold start.
func warm() standin.Settings {
	settings := standin.DefaultSettings()
	settings.ColdTime = 0
	return settings
}

// promptOf returns a prompt of a length in tokens that starts with name.
func promptOf(name string, tokens int) string {
	const row = " row"
	return (name + strings.Repeat(row, tokens))[:tokens*engine.BytesPerToken]
}

// submit submits an attempt that must be taken.
func submit(t *testing.T, m *standin.Model, now time.Time, request engine.Request) *standin.Task {
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

// textOf returns the text of events.
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
			settings := warm()
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
					Prompt:    promptOf(fmt.Sprint(random.IntN(10)), 1+random.IntN(6_000)),
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
					t.Fatalf("used %d and cached %d of %d", load.KVUsed, load.KVCached, settings.Memory)
				}
			}
			if peak := m.Stats().KVPeak; peak > settings.Memory {
				t.Errorf("peak %d of %d", peak, settings.Memory)
			}
			if refused == 0 {
				t.Error("nothing was refused, so memory was never short")
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
					Prompt:    promptOf("cold", 1000),
					MaxTokens: 10,
				})
				if err == nil {
					tasks = append(tasks, task)
				}
			}
			stats := m.Stats()
			if stats.OverloadDeaths != test.deaths || stats.Deaths != test.deaths {
				t.Fatalf("deaths are %d and %d by overload, want %d", stats.Deaths, stats.OverloadDeaths, test.deaths)
			}
			if test.deaths == 0 {
				return
			}
			if m.Incarnation() <= first {
				t.Errorf("incarnation %d after %d", m.Incarnation(), first)
			}
			if load := m.Load(now.Add(settings.LoadLag)); load.KVUsed != 0 {
				t.Errorf("a new life uses %d tokens", load.KVUsed)
			}
			if !m.Cold() {
				t.Error("a new life is not cold")
			}
			for _, task := range tasks {
				if _, ending := task.TakeEvents(); ending != standin.EndingCut {
					t.Errorf("attempt %s ended with %d", task.Request.AttemptID, ending)
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
	task := submit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: promptOf("a", 30_000), MaxTokens: 1})
	m.Advance(epoch.Add(600 * time.Millisecond))
	if events, _ := task.TakeEvents(); len(events) != 1 {
		t.Errorf("a cold engine read 30000 tokens in 0.6 s: %v", events)
	}
	if !m.Cold() {
		t.Error("warm before it worked on 20000 tokens")
	}
	m.Advance(epoch.Add(2 * time.Second))
	if m.Cold() {
		t.Error("still cold after it worked on 20000 tokens")
	}
}

func TestPriority(t *testing.T) {
	m := newModel(warm())
	long := submit(t, m, epoch, engine.Request{AttemptID: "long", Prompt: promptOf("long", 300_000), MaxTokens: 10})
	now := epoch.Add(time.Second)
	short := submit(t, m, now, engine.Request{AttemptID: "short", Prompt: promptOf("short", 1000), MaxTokens: 10, Priority: 1})
	m.Advance(now.Add(time.Second))
	if _, ending := short.TakeEvents(); ending != standin.EndingDone {
		t.Errorf("the short attempt of high priority ended with %d", ending)
	}
	m.Advance(now.Add(8 * time.Second))
	if _, ending := long.TakeEvents(); ending != standin.EndingDone {
		t.Errorf("the long attempt ended with %d", ending)
	}
}

func TestResumeContinuesText(t *testing.T) {
	m := newModel(warm())
	prompt := promptOf("resume", 500)
	task := submit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: prompt, MaxTokens: 30, FirstToken: 12})
	m.Advance(epoch.Add(time.Second))
	events, ending := task.TakeEvents()
	if ending != standin.EndingDone {
		t.Fatalf("ended with %d", ending)
	}
	whole := standin.ExpectedText(prompt, 30)
	if got, want := textOf(events), strings.TrimPrefix(whole, standin.ExpectedText(prompt, 12)); got != want {
		t.Errorf("text from token 12 is %q, want %q", got, want)
	}
}

func TestCancelFrees(t *testing.T) {
	settings := warm()
	settings.LoadLag = 0
	m := newModel(settings)
	task := submit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: promptOf("a", 100_000), MaxTokens: 100})
	now := epoch.Add(100 * time.Millisecond)
	if load := m.Load(now); load.KVUsed != 100_100 {
		t.Errorf("used %d, want 100100", load.KVUsed)
	}
	if err := m.Cancel(now, "a"); err != nil {
		t.Fatal(err)
	}
	if _, ending := task.TakeEvents(); ending != standin.EndingCancelled {
		t.Errorf("ended with %d", ending)
	}
	if load := m.Load(now); load.KVUsed != 0 {
		t.Errorf("used %d after cancel", load.KVUsed)
	}
	if err := m.Cancel(now, "a"); codeOf(err) != engine.CodeUnknownAttempt {
		t.Errorf("second cancel: %v", err)
	}
}

func TestOrphansHoldMemoryUntilCancelled(t *testing.T) {
	settings := warm()
	settings.LoadLag = 0
	settings.HoldOrphans = true
	m := newModel(settings)
	task := submit(t, m, epoch, engine.Request{AttemptID: "a", Prompt: promptOf("a", 1000)})
	m.Disconnect(epoch, task)
	now := epoch.Add(time.Hour)
	listing := m.Listing(now)
	if len(listing.Attempts) != 1 || listing.Attempts[0].Phase != engine.PhaseOrphaned || listing.Attempts[0].KVTokens != 1000 {
		t.Fatalf("listing is %+v", listing)
	}
	if err := m.Cancel(now, "a"); err != nil {
		t.Fatal(err)
	}
	if load := m.Load(now); load.KVUsed != 0 {
		t.Errorf("used %d after cancel", load.KVUsed)
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
			settings := warm()
			settings.CheckFence = test.check
			m := newModel(settings)
			submit(t, m, epoch, engine.Request{AttemptID: "new", Prompt: "new", Fence: 7})
			_, err := m.Submit(epoch, engine.Request{AttemptID: "old", Prompt: "old", Fence: 6})
			if codeOf(err) != test.code {
				t.Errorf("old attempt: %v", err)
			}
			err = m.Order(epoch, engine.Order{Kind: engine.OrderLoadAdapter, Name: "x", Fence: 6})
			if codeOf(err) != test.code {
				t.Errorf("old order: %v", err)
			}
			if stale := m.Stats().StaleAccepted; stale != test.stale {
				t.Errorf("took %d stale calls, want %d", stale, test.stale)
			}
			if err := m.Order(epoch, engine.Order{Kind: engine.OrderSetRole, Name: "x", Fence: 7}); err != nil {
				t.Errorf("order of the present owner: %v", err)
			}
		})
	}
}

func TestCrashMarkerKills(t *testing.T) {
	m := newModel(warm())
	bystander := submit(t, m, epoch, engine.Request{AttemptID: "b", Prompt: promptOf("b", 10), MaxTokens: 1000})
	submit(t, m, epoch, engine.Request{AttemptID: "c", Prompt: "a " + standin.CrashMarker})
	m.Advance(epoch.Add(time.Second))
	if stats := m.Stats(); stats.CrashDeaths != 1 || stats.Deaths != 1 {
		t.Errorf("stats are %+v", stats)
	}
	if _, ending := bystander.TakeEvents(); ending != standin.EndingCut {
		t.Errorf("the bystander ended with %d", ending)
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
		t.Error("warm after it loaded a model")
	}
	_, err := m.Submit(now, engine.Request{AttemptID: "a", Prompt: "x", Model: "former"})
	if codeOf(err) != engine.CodeUnknownModel {
		t.Errorf("attempt for a model that is not loaded: %v", err)
	}
}
