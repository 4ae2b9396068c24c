package sharedload

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// TestPromptWithSlackTakesFewerEndpoints guards against long prompts that occupy most of a pool although they have
// seconds to spare: they took 13 helpers and more whatever their objective.
func TestPromptWithSlackTakesFewerEndpoints(t *testing.T) {
	const before = 13
	f := newContendedFleet(78)
	for _, objective := range []time.Duration{4 * time.Second, 8 * time.Second} {
		choice, err := f.choose(placement.Need{
			Pool: testPool.Name, PromptTokens: 220_000, MaxTokens: 1500, Objective: objective,
		})
		if err != nil {
			t.Fatal(err)
		}
		if safe := objective * 6 / 10; choice.Predicted > safe {
			t.Errorf("objective %v: predicted %v, want at most %v", objective, choice.Predicted, safe)
		}
		if len(choice.Helpers) >= before {
			t.Errorf("objective %v: %d helpers, want fewer than %d", objective, len(choice.Helpers), before)
		}
	}
}

// TestEndpointsOfQuickRequestsStayFree guards against a burst of long prompts that leaves quick requests no endpoint
// without prefill: the endpoints that twice the current quick demand takes stay free of it.
func TestEndpointsOfQuickRequestsStayFree(t *testing.T) {
	f := newContendedFleet(40)
	states := f.endpointStates()
	quick := make(map[fleet.EndpointID]bool)
	usages := make(map[fleet.EndpointID]Usage)
	for _, s := range states[:8] {
		usages[s.endpoint.ID] = Usage{Running: 12, Quick: 12, Memory: 80_000, ValueByPause: ValueByPause{12 * valueUnit, 0, 0}}
	}
	for _, s := range states[:16] {
		quick[s.endpoint.ID] = true
	}
	now := time.Now()
	f.policy.Usages.UpdatePeer("entry-2", usages, 0, now.Add(time.Hour))
	for range 200 {
		f.policy.demand.countQuick(testPool.Name, now)
	}
	need := placement.Need{Pool: testPool.Name, PromptTokens: 160_000, MaxTokens: 1500, Objective: 8 * time.Second}
	for i := range 12 {
		choice, err := f.chooser.Choose(need, RoleLeader, now, func(c Choice) {
			f.policy.Usages.AddPending("entry-3", uint64(i+1), c.initialUsages(), now)
		})
		if err != nil {
			t.Fatal(err)
		}
		for id := range choice.initialUsages() {
			if quick[id] {
				t.Errorf("prompt %d: a part is prefilled at %s, which quick requests need", i, id)
			}
		}
	}
}

// TestValueInContendedPools guards against values that only fit the payments of one customer: between requests of a
// contended pool, the value grows with the time that they take of an engine and falls with the rank.
func TestValueInContendedPools(t *testing.T) {
	pool := contendedPool()
	value := func(prompt, output fleet.Tokens, rank int) float64 {
		return valueOf(pool, placement.Need{PromptTokens: prompt, ExpectedOutput: output, Rank: rank})
	}
	mean := value(pool.Engine.MeanPrompt, pool.Engine.MeanOutput, 0)
	if mean < 0.99 || mean > 1.01 {
		t.Errorf("value of a request of mean lengths = %.2f, want 1", mean)
	}
	for name, order := range map[string][2]float64{
		"longer prompt": {value(45_000, 1500, 1), value(220_000, 1500, 1)},
		"longer answer": {value(5000, 300, 0), value(5000, 3000, 0)},
		"higher rank":   {value(45_000, 1500, 2), value(45_000, 1500, 1)},
		"unknown answer counts as the mean": {
			value(5000, pool.Engine.MeanOutput-1, 0), value(5000, 0, 0),
		},
	} {
		if order[0] >= order[1] {
			t.Errorf("%s: values %.3f and %.3f, want the second one higher", name, order[0], order[1])
		}
	}
}
