package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// stream is a steady load of one account.
type stream struct {
	account fleet.AccountID
	weight  float64
	rate    float64
	prompt  fleet.Tokens
	output  fleet.Tokens
	wait    time.Duration
}

// fairLength is how long a load lasts.
const fairLength = 60 * time.Second

// drainLength is how long the requests of a load may go on after it.
const drainLength = time.Minute

// serve runs loads on one engine and returns the outcomes by account.
func serve(t *testing.T, seed uint64, length time.Duration, streams []stream) map[fleet.AccountID][]*outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	s := newSimulation(t, 4*time.Millisecond)
	s.run(length, func() {
		if s.owner.warmth.State.Cold {
			t.Fatalf("at %s: a warm endpoint is taken for a cold one", s.now)
		}
		for _, l := range streams {
			for range int(l.rate*s.tick.Seconds()) + chance(random, l.rate*s.tick.Seconds()) {
				r := s.request(l.account, l.prompt, l.output, l.wait, 10*l.wait)
				r.Weight = l.weight
				s.offer(r)
			}
		}
	})
	end := s.now
	s.run(drainLength, nil)
	found := make(map[fleet.AccountID][]*outcome)
	for _, o := range s.outcomes {
		o.inTime = o.done && !o.granted.After(end)
		found[o.request.Account] = append(found[o.request.Account], o)
	}
	return found
}

// chance returns 1 with the probability of the broken part of a rate, else 0.
func chance(random *rand.Rand, rate float64) int {
	if random.Float64() < rate-float64(int(rate)) {
		return 1
	}
	return 0
}

// waitP95 returns the 95th percentile of the time to the first token; a request that was not done counts as a
// long wait.
func waitP95(outcomes []*outcome) time.Duration {
	var waits []time.Duration
	for _, o := range outcomes {
		if o.done {
			waits = append(waits, o.first.Sub(o.came))
		} else {
			waits = append(waits, fairLength)
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*95/100]
}

// work returns the work that was granted while the load lasted, and done.
func work(outcomes []*outcome) float64 {
	var sum float64
	for _, o := range outcomes {
		if o.inTime {
			sum += float64(o.request.PromptTokens) + 26*float64(o.request.MaxTokens)
		}
	}
	return sum
}

// smallAccounts returns the loads of four accounts that use far less than their share.
func smallAccounts() []stream {
	var streams []stream
	for n := range 4 {
		id := fleet.AccountID(fmt.Sprint("small-", n))
		streams = append(streams, stream{account: id, weight: 1, rate: 1, prompt: 1_000, output: 50, wait: 5 * time.Second})
	}
	return streams
}

// TestFloodingAccount asserts that an account which sends 20 times the rest harms nobody and keeps what is left.
func TestFloodingAccount(t *testing.T) {
	tests := map[string]stream{
		"quick prompts":  {prompt: 1_000, output: 50, rate: 80, wait: 2 * time.Second},
		"medium prompts": {prompt: 16_000, output: 200, rate: 5, wait: 10 * time.Second},
		"long prompts":   {prompt: 100_000, output: 500, rate: 0.8, wait: 60 * time.Second},
		"full memory":    {prompt: 66_000, output: 500, rate: 1.2, wait: 60 * time.Second},
	}
	for name, flood := range tests {
		flood.account = "large"
		flood.weight = 1
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				alone := serve(t, seed, fairLength, []stream{flood})
				both := serve(t, seed, fairLength, append(smallAccounts(), flood))
				used := 0.0
				for _, small := range smallAccounts() {
					quiet := waitP95(serve(t, seed, fairLength, []stream{small})[small.account])
					busy := waitP95(both[small.account])
					t.Logf("%s waits %s, alone %s", small.account, busy, quiet)
					if busy > 2*quiet {
						t.Errorf("%s waits %s, alone %s", small.account, busy, quiet)
					}
					used += work(both[small.account])
				}
				left := work(alone["large"]) - used
				t.Logf("large gets %.3f of what is left", work(both["large"])/left)
				if work(both["large"]) < 0.9*left {
					t.Errorf("large gets %.3f of what is left", work(both["large"])/left)
				}
			})
		}
	}
}

// TestFloodingSmallAccounts asserts that a large account keeps its weighted share while many small ones flood.
func TestFloodingSmallAccounts(t *testing.T) {
	quick := stream{rate: 30, prompt: 1_000, output: 50, wait: 2 * time.Second}
	medium := stream{rate: 3, prompt: 16_000, output: 200, wait: 10 * time.Second}
	tests := map[string]struct {
		large  stream
		small  stream
		length time.Duration
	}{
		"quick beside quick": {
			large:  stream{prompt: 1_000, output: 50, rate: 60, wait: 2 * time.Second},
			small:  quick,
			length: fairLength,
		},
		"long beside quick": {
			large:  stream{prompt: 100_000, output: 500, rate: 0.8, wait: time.Minute},
			small:  quick,
			length: fairLength,
		},
		"huge beside quick": {
			large:  stream{prompt: 330_000, output: 100, rate: 0.3, wait: time.Minute},
			small:  quick,
			length: 4 * fairLength,
		},
		"huge beside medium": {
			large:  stream{prompt: 330_000, output: 100, rate: 0.3, wait: time.Minute},
			small:  medium,
			length: 4 * fairLength,
		},
	}
	for name, tc := range tests {
		tc.large.account = "large"
		tc.large.weight = 4
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				streams := []stream{tc.large}
				for n := range 4 {
					tc.small.account = fleet.AccountID(fmt.Sprint("small-", n))
					tc.small.weight = 1
					streams = append(streams, tc.small)
				}
				alone := serve(t, seed, tc.length, streams[:1])
				found := serve(t, seed, tc.length, streams)
				share := work(found["large"]) / work(alone["large"])
				t.Logf("large gets %.3f of what it has alone", share)
				if share < 0.49 {
					t.Errorf("large gets %.3f of what it has alone, its weight is a half", share)
				}
			})
		}
	}
}
