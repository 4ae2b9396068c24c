package sharedload

import (
	"errors"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

// archiveObjective is the time to the first token that callers of long prompts hope for.
const archiveObjective = 3 * time.Second

func TestPlanReading(t *testing.T) {
	quick := Usage{Running: 10, Quick: 10, Memory: 70_000}
	tests := map[string]struct {
		use        func(f *testFleet)
		prompt     fleet.Tokens
		objective  time.Duration
		minHelpers int
		maxHelpers int
		// harm is the most quick answers that may be made late.
		harm float64
		done time.Duration
	}{
		"idle pool reads an archive with many": {
			use: func(*testFleet) {}, prompt: 154_000, objective: archiveObjective,
			minHelpers: 8, maxHelpers: 15, harm: 0, done: time.Second,
		},
		"parts that fit into the pauses of quick answers harm nobody": {
			use: func(f *testFleet) { f.use(0, 16, quick) }, prompt: 45_000, objective: 1500 * time.Millisecond,
			minHelpers: 3, maxHelpers: 15, harm: 0, done: 1500 * time.Millisecond,
		},
		"an archive keeps to engines without quick answers": {
			use: func(f *testFleet) { f.use(0, 8, quick) }, prompt: 154_000, objective: archiveObjective,
			minHelpers: 3, maxHelpers: 7, harm: 0, done: 2 * time.Second,
		},
		"an archive in a pool full of quick answers spoils few of them": {
			use: func(f *testFleet) { f.use(0, 16, quick) }, prompt: 154_000, objective: archiveObjective,
			minHelpers: 0, maxHelpers: 15, harm: 20, done: 5 * time.Second,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(16)
			tc.use(f)
			plan, found := planReading(testPool, f.states(), tc.prompt, 1000, tc.objective)
			if !found {
				t.Fatal("no plan")
			}
			if n := len(plan.helpers); n < tc.minHelpers || n > tc.maxHelpers {
				t.Errorf("%d helpers, want %d to %d", n, tc.minHelpers, tc.maxHelpers)
			}
			if plan.harm > tc.harm {
				t.Errorf("harm = %.2f, want %.2f at most", plan.harm, tc.harm)
			}
			if plan.done > tc.done {
				t.Errorf("first token after %v, want %v at most", plan.done, tc.done)
			}
		})
	}
}

// TestArchiveBurst replays the worst load of the calm days: quick requests keep coming to a pool that has been filled
// with them while archives burst. Each decision is taken as an entry takes it, with work ending by the engine model.
// Three in four of each kind have to be predicted in time.
func TestArchiveBurst(t *testing.T) {
	const (
		engines      = 16
		seconds      = 9
		quickRate    = 12
		archiveRate  = 3
		quickPrompt  = 5000
		longPrompt   = 154_000
		wantInTime   = 0.75
		quickFirstBy = 300 * time.Millisecond
	)
	s := newSimulation(engines)
	var quick, archives score
	for tick := range seconds * 100 {
		s.advance(10 * time.Millisecond)
		if tick%(100/quickRate) == 0 {
			quick.add(s.arrive(quickPrompt, quickFirstBy))
		}
		if tick%(100/archiveRate) == 0 {
			archives.add(s.arrive(longPrompt, archiveObjective))
		}
	}
	if quick.share() < wantInTime || archives.share() < wantInTime {
		t.Errorf("in time: quick %.2f, archives %.2f; want %.2f of each", quick.share(), archives.share(), wantInTime)
	}
}

// TestHugePromptWaitsForACalmPool also replays the start of all entries at once: the first of them that a huge prompt
// comes to has seen nothing of the others' work yet.
func TestHugePromptWaitsForACalmPool(t *testing.T) {
	tests := map[string]struct {
		use     Usage
		started bool
		want    bool
	}{
		"calm":         {use: Usage{Running: 1, Quick: 1, Memory: 7000}, want: true},
		"busy":         {use: Usage{Running: 9, Quick: 8, Memory: 150_000, PrefillTime: 400 * time.Millisecond}},
		"just started": {use: Usage{}, started: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(16)
			f.use(0, 16, tc.use)
			if tc.started {
				f.policy.demand = Demand{}
			}
			need := placement.Need{Pool: testPool.Name, PromptTokens: 600_000, MaxTokens: 1000, Objective: archiveObjective}
			_, err := f.choose(need)
			if (err == nil) != tc.want {
				t.Fatalf("error = %v, want it taken: %t", err, tc.want)
			}
			var refusal *reservation.Refusal
			if errors.As(err, &refusal) && (refusal.RetryAfter < archiveObjective || refusal.Reason != reservation.ReasonPoolBehind) {
				t.Errorf("refused for %s, to come back after %v, while the pool still catches up", refusal.Reason, refusal.RetryAfter)
			}
		})
	}
}

// TestLongPromptThatCameBackCountsMore replays a pool that is just too busy for a large prompt: its caller is sent off
// once, and served when it comes back.
func TestLongPromptThatCameBackCountsMore(t *testing.T) {
	f := newFleet(16)
	f.use(0, 16, Usage{Running: 6, Quick: 6, Memory: 40_000, PrefillTime: 20 * time.Millisecond})
	need := placement.Need{Pool: testPool.Name, MaxTokens: 1000, Objective: archiveObjective}
	refused, taken := 0, 0
	for need.PromptTokens = 150_000; need.PromptTokens < 600_000; need.PromptTokens += 10_000 {
		need.WaitedAfterRefusal = false
		_, first := f.choose(need)
		need.WaitedAfterRefusal = true
		_, second := f.choose(need)
		if first == nil && second != nil {
			t.Errorf("%d tokens are refused when they come back", need.PromptTokens)
		}
		if first != nil {
			refused++
		}
		if first != nil && second == nil {
			taken++
		}
	}
	if refused == 0 || taken == 0 {
		t.Errorf("%d lengths refused at first, %d of them taken later; want some of each", refused, taken)
	}
}

func TestQuickRequestsAvoidReadingAndFullEngines(t *testing.T) {
	f := newFleet(4)
	f.use(0, 1, Usage{Running: 1, PrefillTime: 500 * time.Millisecond, Memory: 150_000})
	f.use(1, 2, Usage{Running: 15, Quick: 15, Memory: 90_000})
	f.use(2, 3, Usage{Running: 16, Quick: 16, Memory: 100_000})
	got := f.policy.quickOrder(testPool, f.View(), placement.Need{Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500})
	if len(got) != 4 || got[0].endpoint.ID != testEndpoint(3).ID {
		t.Errorf("order = %v, want the idle engine first of 4", got)
	}
}

// TestQuickRequestsSpreadOverALargePool replays a stream of quick requests at the size of the grown deployments: they use
// the front of the pool, and none of them waits for a slot while engines are idle.
func TestQuickRequestsSpreadOverALargePool(t *testing.T) {
	const engines = 78
	s := newSimulation(engines)
	for range 300 {
		s.advance(10 * time.Millisecond)
		for range 3 {
			if !s.arrive(5000, 300*time.Millisecond) {
				t.Fatal("a request is predicted late while engines are idle")
			}
		}
	}
	most := 0
	for _, u := range s.policy.Usages.Totals(time.Now()) {
		most = max(most, u.Running)
	}
	if slots := testPool.Engine.Slots; most > slots {
		t.Errorf("an engine has %d requests for %d slots while others are idle", most, slots)
	}
}
