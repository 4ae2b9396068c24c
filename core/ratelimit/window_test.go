package ratelimit

import (
	"testing"
	"time"
)

func TestTake(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		rate float64
		// at holds the times of requests after the start, and allowed holds whether each is within the rate.
		at      []time.Duration
		allowed []bool
	}{
		"within a second": {3, []time.Duration{0, 400 * ms, 900 * ms, 950 * ms, 1000 * ms, 1100 * ms}, []bool{true, true, true, false, true, false}},
		"fractions":       {2.9, []time.Duration{0, 1 * ms, 2 * ms}, []bool{true, true, false}},
		"below one":       {0.5, []time.Duration{0, 1500 * ms, 2000 * ms, 3999 * ms, 4000 * ms}, []bool{true, false, true, false, true}},
		"hardly any":      {1e-30, []time.Duration{0, time.Minute, time.Hour}, []bool{true, false, true}},
		"none":            {0, []time.Duration{0, 10 * time.Second}, []bool{false, false}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			var w Window
			for i, after := range tc.at {
				if got := w.Allow(tc.rate, start.Add(after)); got != tc.allowed[i] {
					t.Errorf("Allow after %v returned %t, want %t", after, got, tc.allowed[i])
				}
			}
		})
	}
}
