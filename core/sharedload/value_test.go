package sharedload

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

func TestStakes(t *testing.T) {
	tests := map[string]struct {
		prompt    fleet.Tokens
		objective time.Duration
		want      ValueByPause
	}{
		"quick":             {prompt: 5000, objective: 250 * time.Millisecond, want: ValueByPause{100, 0, 0}},
		"no objective":      {prompt: 5000, want: ValueByPause{100, 0, 0}},
		"longer":            {prompt: 45_000, objective: 600 * time.Millisecond, want: ValueByPause{0, 500, 0}},
		"longest":           {prompt: 180_000, objective: time.Second, want: ValueByPause{0, 0, 2000}},
		"beyond the bands":  {prompt: 180_000, objective: time.Minute, want: ValueByPause{0, 0, 2000}},
		"worth has a bound": {prompt: 900_000, objective: time.Second, want: ValueByPause{0, 0, maxValue * valueUnit}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := valueByPauseOf(testPool, requestValue(tc.prompt), tc.objective)
			if got != tc.want {
				t.Errorf("value = %v, want %v", got, tc.want)
			}
			if rest := got.add(got).sub(got).sub(got); rest != (ValueByPause{}) {
				t.Errorf("difference of equal sums = %v, want zero", rest)
			}
		})
	}
}

func TestStakesHarm(t *testing.T) {
	values := ValueByPause{200, 500, 1600}
	tests := map[string]struct {
		before, after time.Duration
		want          float64
	}{
		"within all objectives":  {after: 100 * time.Millisecond},
		"quick answers late":     {after: 250 * time.Millisecond, want: 2},
		"longer answers too":     {after: 500 * time.Millisecond, want: 7},
		"all late":               {after: time.Second, want: 23},
		"quick ones late before": {before: 250 * time.Millisecond, after: 500 * time.Millisecond, want: 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := values.lateValue(250*time.Millisecond, tc.before, tc.after); got != tc.want {
				t.Errorf("late value = %v, want %v", got, tc.want)
			}
		})
	}
}

// TestReadingAvoidsLongAnswers guards against long answers that stall beyond their pause objective: the next of
// several long prompts must not be prefilled where the answer of an earlier one is decoded.
func TestReadingAvoidsLongAnswers(t *testing.T) {
	f := newFleet(4)
	f.addUsage(0, 2, Usage{Running: 1, Memory: 155_000, ValueByPause: valueByPauseOf(testPool, requestValue(154_000), time.Second)})
	need := placement.Need{Pool: testPool.Name, PromptTokens: 200_000, MaxTokens: 1000, Objective: archiveObjective}
	plan, found := planPrefill(testPool, f.endpointStates(), need.PromptTokens, need.MaxTokens, need.Objective)
	if !found {
		t.Fatal("no plan")
	}
	decoding := map[fleet.EndpointID]bool{testEndpoint(0).ID: true, testEndpoint(1).ID: true}
	for _, s := range append(plan.helpers, plan.decoder) {
		if decoding[s.endpoint.ID] {
			t.Errorf("a part of %v is prefilled at %s, which decodes a long answer", plan.prefillTime, s.endpoint.ID)
		}
	}
}
