package bench_test

import (
	"testing"
	"time"
)

// Targets of the product's policy.
const (
	// minGoodput is the smallest goodput as a fraction of the capacity, at a load of 95 % of the capacity.
	minGoodput = 0.9
	// maxShortSlowdown is the largest slowdown of short requests by long ones, at the 95th percentile.
	maxShortSlowdown = 1.2
	// maxFirstTokenTime is the longest time to the first token of short requests, at the 95th percentile.
	maxFirstTokenTime = 560 * time.Millisecond
)

// Durations over which requests arrive in the runs of TestPolicyTargets.
const (
	// goodputDuration is the duration of the run at 95 % of the capacity.
	goodputDuration = 40 * time.Second
	// slowdownDuration is the duration of the runs that compare short requests with and without long ones.
	slowdownDuration = 30 * time.Second
	// targetOutageDuration is the duration of the runs in which a zone is missing for the second third.
	targetOutageDuration = 24 * time.Second
)

// goodputSeeds holds the only seed with which the goodput target is checked; the other targets use all seeds.
var goodputSeeds = []uint64{1}

func TestPolicyTargets(t *testing.T) {
	for _, d := range deployments {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			t.Run("useful_tokens", func(t *testing.T) { checkGoodput(t, d) })
			t.Run("short_beside_long", func(t *testing.T) { checkSlowdown(t, d) })
			t.Run("zone_leaves", func(t *testing.T) { checkOutage(t, d, zoneLeaves(targetOutageDuration)) })
			t.Run("zone_cut", func(t *testing.T) { checkOutage(t, d, zoneCut(targetOutageDuration)) })
		})
	}
}

// checkGoodput checks the goodput at 95 % of the capacity, after the first third of the run.
func checkGoodput(t *testing.T, d deployment) {
	t.Parallel()
	m := runAll(scenario{deployment: d, policy: product, load: 0.95, duration: goodputDuration}, goodputSeeds)
	if got := m.goodput(goodputDuration/3, goodputDuration); got < minGoodput {
		t.Errorf("got goodput %.3f of the capacity, want at least %.2f", got, minGoodput)
	}
}

// checkSlowdown checks at 80 % of the capacity how much long requests slow down short ones, and that no admitted
// request fails or is late.
func checkSlowdown(t *testing.T, d deployment) {
	t.Parallel()
	c := scenario{deployment: d, policy: product, load: 0.8, duration: slowdownDuration}
	m := runAll(c, seeds)
	c.keep = isShortArrival
	shortOnly := runAll(c, seeds)
	tests := map[string]float64{
		"first_token": firstTokenSlowdown(m, shortOnly),
		"answer":      answerSlowdown(m, shortOnly),
	}
	for name, got := range tests {
		t.Run(name, func(t *testing.T) {
			if got > maxShortSlowdown {
				t.Errorf("got slowdown %.3f of short requests by long ones, want at most %.2f", got, maxShortSlowdown)
			}
		})
	}
	t.Run("in_time", func(t *testing.T) {
		if count := m.count(failedOrLate); count > 0 {
			t.Errorf("got %d admitted requests that failed or were late, want none", count)
		}
	})
}

// checkOutage checks the first-token times of short requests in the remaining zones before, during and after the loss
// of a zone, and that no admitted request fails or is late.
func checkOutage(t *testing.T, d deployment, scheduleChanges func(s *simulation)) {
	t.Parallel()
	m := runAll(scenario{
		deployment: d, policy: product, load: outageLoad,
		duration: targetOutageDuration, scheduleChanges: scheduleChanges,
	}, seeds)
	for _, part := range phases(targetOutageDuration) {
		t.Run(part.name, func(t *testing.T) {
			if got := quantile(m.firstTokenTimes(shortInOtherZones(part)), 0.95); got > maxFirstTokenTime.Seconds() {
				t.Errorf("got 95th percentile of first-token times %.3f s, want at most %s", got, maxFirstTokenTime)
			}
		})
	}
	t.Run("none_failed", func(t *testing.T) {
		if count := m.count(failedOrLate); count > 0 {
			t.Errorf("got %d admitted requests that failed or were late, want none", count)
		}
	})
}
