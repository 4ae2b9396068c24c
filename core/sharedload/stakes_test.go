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
		"worth has a bound": {prompt: 900_000, objective: time.Second, want: ValueByPause{0, 0, maxValue * stakeUnit}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := stakeOf(testPool, tc.prompt, tc.objective)
			if got != tc.want {
				t.Errorf("stake = %v, want %v", got, tc.want)
			}
			if left := got.add(got).sub(got).sub(got); left != (ValueByPause{}) {
				t.Errorf("%v is left of equal sums", left)
			}
		})
	}
}

func TestStakesHarm(t *testing.T) {
	stakes := ValueByPause{200, 500, 1600}
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
			if got := stakes.harm(250*time.Millisecond, tc.before, tc.after); got != tc.want {
				t.Errorf("harm = %v, want %v", got, tc.want)
			}
		})
	}
}

// TestReadingAvoidsLongAnswers replays archives that come one after the other to a pool without quick requests: the
// parts of the next one are not read where the answer of an earlier one would stand still beyond its objective.
func TestReadingAvoidsLongAnswers(t *testing.T) {
	f := newFleet(4)
	f.use(0, 2, Usage{Running: 1, Memory: 155_000, ValueByPause: stakeOf(testPool, 154_000, time.Second)})
	need := placement.Need{Pool: testPool.Name, PromptTokens: 200_000, MaxTokens: 1000, Objective: archiveObjective}
	plan, found := planReading(testPool, f.states(), need.PromptTokens, need.MaxTokens, need.Objective)
	if !found {
		t.Fatal("no plan")
	}
	writers := map[fleet.EndpointID]bool{testEndpoint(0).ID: true, testEndpoint(1).ID: true}
	for _, s := range append(plan.helpers, plan.first) {
		if writers[s.endpoint.ID] {
			t.Errorf("a part of %v is read at %s, which writes a long answer", plan.part, s.endpoint.ID)
		}
	}
}
