package bench_test

import (
	"testing"
	"time"
)

// The targets.
const (
	// leastGoodput is the least useful tokens a second over the capacity at 95 in 100 of it.
	leastGoodput = 0.9
	// mostSlowdown is the largest slowdown of short requests by long ones at the 95th percentile.
	mostSlowdown = 1.2
	// mostWait is the longest time to the first token of short requests at the 95th percentile.
	mostWait = 560 * time.Millisecond
)

// Lengths of the runs of the targets.
const (
	// targetLoaded is how long requests arrive at 95 in 100 of the capacity.
	targetLoaded = 40 * time.Second
	// targetSteady is how long requests arrive where short requests are compared with and without long ones.
	targetSteady = 30 * time.Second
	// targetOutage is how long they arrive where a zone is gone.
	targetOutage = 24 * time.Second
)

// targetSeeds holds the seed of the useful tokens; the other targets take all.
var targetSeeds = []uint64{1}

func TestPolicyTargets(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			t.Run("useful_tokens", func(t *testing.T) { checkGoodput(t, d) })
			t.Run("short_beside_long", func(t *testing.T) { checkSlowdown(t, d) })
			t.Run("zone_leaves", func(t *testing.T) { checkOutage(t, d, zoneLeaves(targetOutage)) })
			t.Run("zone_cut", func(t *testing.T) { checkOutage(t, d, zoneCut(targetOutage)) })
		})
	}
}

// checkGoodput checks the useful tokens at 95 in 100 of the capacity.
func checkGoodput(t *testing.T, d deployment) {
	t.Parallel()
	m := runAll(scenario{deployment: d, policy: product, load: 0.95, lasting: targetLoaded}, targetSeeds)
	if got := m.goodput(targetLoaded/3, targetLoaded); got < leastGoodput {
		t.Errorf("useful tokens are %.3f of the capacity, want at least %.2f", got, leastGoodput)
	}
}

// checkSlowdown checks short requests beside long ones at 80 in 100 of the capacity.
func checkSlowdown(t *testing.T, d deployment) {
	t.Parallel()
	c := scenario{deployment: d, policy: product, load: 0.8, lasting: targetSteady}
	m := runAll(c, seeds)
	c.only = short
	alone := runAll(c, seeds)
	tests := map[string]float64{
		"first_token": firstTokenSlowdown(m, alone),
		"answer":      answerSlowdown(m, alone),
	}
	for name, got := range tests {
		t.Run(name, func(t *testing.T) {
			if got > mostSlowdown {
				t.Errorf("short requests take %.3f times as long beside long ones, want at most %.2f", got, mostSlowdown)
			}
		})
	}
	t.Run("in_time", func(t *testing.T) {
		if count := m.count(failed); count > 0 {
			t.Errorf("%d admitted requests failed or were late, want none", count)
		}
	})
}

// checkOutage checks the remaining zones while one is gone.
func checkOutage(t *testing.T, d deployment, change func(s *simulation)) {
	t.Parallel()
	m := runAll(scenario{deployment: d, policy: product, load: outageLoad, lasting: targetOutage, change: change}, seeds)
	for _, part := range phases(targetOutage) {
		t.Run(part.name, func(t *testing.T) {
			if got := quantile(m.waits(remaining(part)), 0.95); got > mostWait.Seconds() {
				t.Errorf("95th percentile to the first token is %.3f s, want at most %s", got, mostWait)
			}
		})
	}
	t.Run("none_failed", func(t *testing.T) {
		if count := m.count(failed); count > 0 {
			t.Errorf("%d admitted requests failed or were late, want none", count)
		}
	})
}
