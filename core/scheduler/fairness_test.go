package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// accountLoad is a steady load of one account; its rate is in requests per second. Its requests must get the first
// token within startTimeout and end within ten times that.
type accountLoad struct {
	account      fleet.AccountID
	weight       float64
	rate         float64
	prompt       fleet.Tokens
	output       fleet.Tokens
	startTimeout time.Duration
}

// loadDuration is how long requests arrive, unless a test case sets another length.
const loadDuration = 60 * time.Second

// drainDuration is how long requests may continue after the load has ended.
const drainDuration = time.Minute

// runLoads submits the requests of loads to one engine for the given length, runs on for drainDuration, and returns the
// outcomes by account.
func runLoads(t *testing.T, seed uint64, length time.Duration, loads []accountLoad) map[fleet.AccountID][]*outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	s := newSimulation(t, 4*time.Millisecond)
	s.run(length, func() {
		if s.owner.warmth.State.Cold {
			t.Fatalf("at %s: warm endpoint was classified as cold", s.now)
		}
		for _, l := range loads {
			for range int(l.rate*s.tick.Seconds()) + fractionalArrival(random, l.rate*s.tick.Seconds()) {
				r := s.request(l.account, l.prompt, l.output, l.startTimeout, 10*l.startTimeout)
				r.Weight = l.weight
				s.submit(r)
			}
		}
	})
	end := s.now
	s.run(drainDuration, nil)
	found := make(map[fleet.AccountID][]*outcome)
	for _, o := range s.outcomes {
		o.grantedInLoad = o.done && !o.grantedAt.After(end)
		found[o.request.Account] = append(found[o.request.Account], o)
	}
	return found
}

// fractionalArrival returns 1 with a probability equal to the fractional part of rate, else 0.
func fractionalArrival(random *rand.Rand, rate float64) int {
	if random.Float64() < rate-float64(int(rate)) {
		return 1
	}
	return 0
}

// waitP95 returns the 95th percentile of the time to the first token; a request that was not done counts as
// loadDuration.
func waitP95(outcomes []*outcome) time.Duration {
	var waits []time.Duration
	for _, o := range outcomes {
		if o.done {
			waits = append(waits, o.firstTokenAt.Sub(o.arrivedAt))
		} else {
			waits = append(waits, loadDuration)
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*95/100]
}

// grantedWork returns the work, in prompt-token equivalents, of the requests that were granted while the load lasted
// and were done; a generated token counts as 26.
func grantedWork(outcomes []*outcome) float64 {
	var sum float64
	for _, o := range outcomes {
		if o.grantedInLoad {
			sum += float64(o.request.PromptTokens) + 26*float64(o.request.MaxTokens)
		}
	}
	return sum
}

// smallAccountLoads returns the loads of four accounts that use far less than their fair share.
func smallAccountLoads() []accountLoad {
	var loads []accountLoad
	for n := range 4 {
		id := fleet.AccountID(fmt.Sprint("small-", n))
		loads = append(loads, accountLoad{
			account: id, weight: 1, rate: 1, prompt: 1_000, output: 50, startTimeout: 5 * time.Second,
		})
	}
	return loads
}

// TestFloodingAccount asserts that an account that sends far more work than the four others together (20 times as much
// in the case of quick prompts, 9.8 to 11.5 times in the other three) at most doubles the 95th percentile of their
// waits, and gets at least 0.9 of the capacity that they leave unused.
func TestFloodingAccount(t *testing.T) {
	tests := map[string]accountLoad{
		"quick prompts":  {prompt: 1_000, output: 50, rate: 80, startTimeout: 2 * time.Second},
		"medium prompts": {prompt: 16_000, output: 200, rate: 5, startTimeout: 10 * time.Second},
		"long prompts":   {prompt: 100_000, output: 500, rate: 0.8, startTimeout: 60 * time.Second},
		"full memory":    {prompt: 66_000, output: 500, rate: 1.2, startTimeout: 60 * time.Second},
	}
	for name, flood := range tests {
		flood.account = "large"
		flood.weight = 1
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				alone := runLoads(t, seed, loadDuration, []accountLoad{flood})
				both := runLoads(t, seed, loadDuration, append(smallAccountLoads(), flood))
				used := 0.0
				for _, small := range smallAccountLoads() {
					quiet := waitP95(runLoads(t, seed, loadDuration, []accountLoad{small})[small.account])
					busy := waitP95(both[small.account])
					t.Logf("%s waits %s, %s alone", small.account, busy, quiet)
					if busy > 2*quiet {
						t.Errorf("%s waits %s, %s alone", small.account, busy, quiet)
					}
					used += grantedWork(both[small.account])
				}
				left := grantedWork(alone["large"]) - used
				t.Logf("large gets %.3f of the remaining capacity", grantedWork(both["large"])/left)
				if grantedWork(both["large"]) < 0.9*left {
					t.Errorf("large gets %.3f of the remaining capacity", grantedWork(both["large"])/left)
				}
			})
		}
	}
}

// TestFloodingSmallAccounts asserts that an account of weight 4 gets at least 0.49 of the work that it gets alone (its
// fair share is a half) while four accounts of weight 1 flood the endpoint.
func TestFloodingSmallAccounts(t *testing.T) {
	quick := accountLoad{rate: 30, prompt: 1_000, output: 50, startTimeout: 2 * time.Second}
	medium := accountLoad{rate: 3, prompt: 16_000, output: 200, startTimeout: 10 * time.Second}
	tests := map[string]struct {
		large  accountLoad
		small  accountLoad
		length time.Duration
	}{
		"quick beside quick": {
			large:  accountLoad{prompt: 1_000, output: 50, rate: 60, startTimeout: 2 * time.Second},
			small:  quick,
			length: loadDuration,
		},
		"long beside quick": {
			large:  accountLoad{prompt: 100_000, output: 500, rate: 0.8, startTimeout: time.Minute},
			small:  quick,
			length: loadDuration,
		},
		"huge beside quick": {
			large:  accountLoad{prompt: 330_000, output: 100, rate: 0.3, startTimeout: time.Minute},
			small:  quick,
			length: 4 * loadDuration,
		},
		"huge beside medium": {
			large:  accountLoad{prompt: 330_000, output: 100, rate: 0.3, startTimeout: time.Minute},
			small:  medium,
			length: 4 * loadDuration,
		},
	}
	for name, tc := range tests {
		tc.large.account = "large"
		tc.large.weight = 4
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				loads := []accountLoad{tc.large}
				for n := range 4 {
					tc.small.account = fleet.AccountID(fmt.Sprint("small-", n))
					tc.small.weight = 1
					loads = append(loads, tc.small)
				}
				alone := runLoads(t, seed, tc.length, loads[:1])
				found := runLoads(t, seed, tc.length, loads)
				share := grantedWork(found["large"]) / grantedWork(alone["large"])
				t.Logf("large gets %.3f of what it gets alone", share)
				if share < 0.49 {
					t.Errorf("large gets %.3f of what it gets alone, want its share of a half", share)
				}
			})
		}
	}
}
