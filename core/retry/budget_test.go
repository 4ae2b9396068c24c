package retry

import "testing"

// TestBudgetOfUnknownEntries guards against entries that start at the same time and each use the burst of all: while the
// number of entries is not known, an entry accumulates one retry.
func TestBudgetOfUnknownEntries(t *testing.T) {
	tests := map[string]struct{ entries, want int }{"unknown": {0, 1}, "one": {1, 90}, "nine": {9, 10}, "many": {900, 1}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			budget := &Budget{Burst: 90, EntryCount: func() int { return tc.entries }}
			retries := 0
			for budget.TryRetry() {
				retries++
			}
			if retries != tc.want {
				t.Errorf("got %d retries, want %d", retries, tc.want)
			}
		})
	}
}

// TestBudgetsOfRestartedEntries guards against entries that restart and each use their share of the burst once more: the
// processes of all entries together may retry as often as the platform allows, which is a third more than their budgets.
func TestBudgetsOfRestartedEntries(t *testing.T) {
	const (
		entries       = 9
		requests      = 50
		allowedBurst  = 120
		allowedRatio  = 0.2
		share         = 0.75
		leastOfBudget = 0.5
	)
	for name, restarts := range map[string]int{"none": 0, "one": 1, "three": 3} {
		t.Run(name, func(t *testing.T) {
			retries := 0
			for range entries {
				known := 0
				for range 1 + restarts {
					budget := &Budget{
						Ratio: allowedRatio * share, Burst: allowedBurst * share, EntryCount: func() int { return known },
					}
					for range requests {
						budget.AddRequest()
						for budget.TryRetry() {
							retries++
						}
						known = entries
					}
				}
			}
			earned := allowedRatio * float64(entries*(1+restarts)*requests)
			if most := allowedBurst + earned; float64(retries) > most || float64(retries) < earned*leastOfBudget {
				t.Errorf("got %d retries, want %.0f at most, and %.0f at least", retries, most, earned*leastOfBudget)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	tests := map[string]struct {
		// requests is the number of requests after the burst is spent, each followed by an attempt to retry. If it is
		// negative, its absolute value is the number of requests before the burst is spent.
		requests int
		// want is the number of retries that the budget allows in total.
		want int
	}{
		"burst alone":     {requests: 0, want: 5},
		"ratio of load":   {requests: 100, want: 15},
		"saved is capped": {requests: -100, want: 5},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			budget := &Budget{Ratio: 0.1, Burst: 5}
			for range -tc.requests {
				budget.AddRequest()
			}
			retries := 0
			for budget.TryRetry() {
				retries++
			}
			for range tc.requests {
				budget.AddRequest()
				if budget.TryRetry() {
					retries++
				}
			}
			if retries < tc.want-1 || retries > tc.want {
				t.Errorf("got %d retries, want %d", retries, tc.want)
			}
		})
	}
}
