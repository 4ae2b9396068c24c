package sharedload

import (
	"errors"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

// archiveObjective is the first-token objective of archives, which are long prompts.
const archiveObjective = 3 * time.Second

func TestPlanReading(t *testing.T) {
	quick := Usage{Running: 10, Quick: 10, Memory: 70_000}
	tests := map[string]struct {
		addUsage   func(f *testFleet)
		prompt     fleet.Tokens
		objective  time.Duration
		minHelpers int
		maxHelpers int
		// maxLostValue is in quick requests.
		maxLostValue  float64
		maxFirstToken time.Duration
	}{
		"idle pool reads an archive with many": {
			addUsage: func(*testFleet) {}, prompt: 154_000, objective: archiveObjective,
			minHelpers: 8, maxHelpers: 15, maxLostValue: 0, maxFirstToken: time.Second,
		},
		"parts that fit into the pauses of quick answers harm nobody": {
			addUsage: func(f *testFleet) { f.addUsage(0, 16, quick) }, prompt: 45_000, objective: 1500 * time.Millisecond,
			minHelpers: 3, maxHelpers: 15, maxLostValue: 0, maxFirstToken: 1500 * time.Millisecond,
		},
		"an archive keeps to engines without quick answers": {
			addUsage: func(f *testFleet) { f.addUsage(0, 8, quick) }, prompt: 154_000, objective: archiveObjective,
			minHelpers: 3, maxHelpers: 7, maxLostValue: 0, maxFirstToken: 2 * time.Second,
		},
		"an archive in a pool full of quick answers spoils few of them": {
			addUsage: func(f *testFleet) { f.addUsage(0, 16, quick) }, prompt: 154_000, objective: archiveObjective,
			minHelpers: 0, maxHelpers: 15, maxLostValue: 20, maxFirstToken: 5 * time.Second,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(16)
			tc.addUsage(f)
			plan, found := planPrefill(testPool, f.endpointStates(), tc.prompt, 1000, tc.objective)
			if !found {
				t.Fatal("no plan")
			}
			if n := len(plan.helpers); n < tc.minHelpers || n > tc.maxHelpers {
				t.Errorf("%d helpers, want %d to %d", n, tc.minHelpers, tc.maxHelpers)
			}
			if plan.lostValue > tc.maxLostValue {
				t.Errorf("lost value = %.2f, want at most %.2f", plan.lostValue, tc.maxLostValue)
			}
			if plan.firstToken > tc.maxFirstToken {
				t.Errorf("first token after %v, want at most %v", plan.firstToken, tc.maxFirstToken)
			}
		})
	}
}

// TestArchiveBurst guards against archives that make most requests late: quick requests and archives arrive at constant
// rates at a pool that is idle at first. Requests end as the engine model predicts. At least three in four of each kind
// must be predicted in time.
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
	var quick, archives deadlineCount
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
		t.Errorf("share in time: quick %.2f, archives %.2f; want at least %.2f of each",
			quick.share(), archives.share(), wantInTime)
	}
}

// TestHugePromptWaitsForACalmPool guards against huge prompts that delay all other requests of a busy pool. An entry
// that has just started and does not know the demand yet must refuse them as well.
func TestHugePromptWaitsForACalmPool(t *testing.T) {
	tests := map[string]struct {
		usage       Usage
		justStarted bool
		accepted    bool
	}{
		"calm":         {usage: Usage{Running: 1, Quick: 1, Memory: 7000}, accepted: true},
		"busy":         {usage: Usage{Running: 9, Quick: 8, Memory: 150_000, PrefillTime: 400 * time.Millisecond}},
		"just started": {usage: Usage{}, justStarted: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(16)
			f.addUsage(0, 16, tc.usage)
			if tc.justStarted {
				f.policy.demand = Demand{}
			}
			need := placement.Need{Pool: testPool.Name, PromptTokens: 600_000, MaxTokens: 1000, Objective: archiveObjective}
			_, err := f.choose(need)
			if (err == nil) != tc.accepted {
				t.Fatalf("error = %v, want accepted: %t", err, tc.accepted)
			}
			var refusal *reservation.Refusal
			if errors.As(err, &refusal) &&
				(refusal.RetryAfter < archiveObjective || refusal.Reason != reservation.ReasonPoolBehind) {
				t.Errorf("refusal reason %s with retry after %v, want %s and at least %v",
					refusal.Reason, refusal.RetryAfter, reservation.ReasonPoolBehind, archiveObjective)
			}
		})
	}
}

// TestLongPromptThatCameBackCountsMore covers a pool that is slightly too busy for a large prompt: it refuses the
// prompt once and accepts it when its caller has waited.
func TestLongPromptThatCameBackCountsMore(t *testing.T) {
	f := newFleet(16)
	f.addUsage(0, 16, Usage{Running: 6, Quick: 6, Memory: 40_000, PrefillTime: 20 * time.Millisecond})
	need := placement.Need{Pool: testPool.Name, MaxTokens: 1000, Objective: archiveObjective}
	refused, acceptedLater := 0, 0
	for need.PromptTokens = 150_000; need.PromptTokens < 600_000; need.PromptTokens += 10_000 {
		need.WaitedAfterRefusal = false
		_, first := f.choose(need)
		need.WaitedAfterRefusal = true
		_, second := f.choose(need)
		if first == nil && second != nil {
			t.Errorf("a prompt of %d tokens is refused only after its caller has waited", need.PromptTokens)
		}
		if first != nil {
			refused++
		}
		if first != nil && second == nil {
			acceptedLater++
		}
	}
	if refused == 0 || acceptedLater == 0 {
		t.Errorf("%d lengths refused at first, %d of them accepted later; want some of each", refused, acceptedLater)
	}
}

func TestQuickRequestsAvoidReadingAndFullEngines(t *testing.T) {
	f := newFleet(4)
	f.addUsage(0, 1, Usage{Running: 1, PrefillTime: 500 * time.Millisecond, Memory: 150_000})
	f.addUsage(1, 2, Usage{Running: 15, Quick: 15, Memory: 90_000})
	f.addUsage(2, 3, Usage{Running: 16, Quick: 16, Memory: 100_000})
	got := f.policy.orderQuick(testPool, f.View(), placement.Need{
		Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500,
	})
	if len(got) != 4 || got[0].endpoint.ID != testEndpoint(3).ID {
		t.Errorf("order = %v, want the idle engine first of 4", got)
	}
}

// TestQuickRequestsSpreadOverALargePool guards against requests that wait for a slot while engines are idle: quick
// requests fill a pool of 78 engines, the largest size, from the front.
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
	mostRunning := 0
	for _, u := range s.policy.Usages.Totals(time.Now()) {
		mostRunning = max(mostRunning, u.Running)
	}
	if slots := testPool.Engine.Slots; mostRunning > slots {
		t.Errorf("an engine has %d requests for %d slots while others are idle", mostRunning, slots)
	}
}
