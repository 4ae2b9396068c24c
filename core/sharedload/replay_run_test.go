package sharedload

import (
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/fleet"
)

// replayScenarios change the engines of a replay at its start.
//
// In one, five of 78 engines take five times the published time; in another, 26 are away.
var replayScenarios = map[string]func(r *replay){
	"bursts":       func(*replay) {},
	"slow engines": func(r *replay) { r.slowDown(5) },
	"engines away": func(r *replay) {
		for i := range 26 {
			r.state.Endpoints.Delete(r.ids[i*3])
		}
	},
}

// slowDown sets the pace of five engines.
func (r *replay) slowDown(pace float64) {
	for i := range 5 {
		r.engines[r.ids[i*13]].pace = pace
	}
}

// runReplays returns the sum of replays of 28 s of arrivals with two seeds.
func runReplays(t *testing.T, contended bool, setUp func(r *replay), each func(r *replay, elapsed time.Duration)) *replay {
	t.Helper()
	var sum *replay
	for seed := range uint64(2) {
		synctest.Test(t, func(*testing.T) {
			r := newReplay(78, replayPool(contended), seed)
			setUp(r)
			r.run(28*time.Second, func(elapsed time.Duration) {
				if each != nil {
					each(r, elapsed)
				}
			})
			if sum != nil {
				r.merge(sum)
			}
			sum = r
		})
	}
	sum.log(t)
	return sum
}

// TestReplayServesMore guards against placement by cost that serves a kind of requests worse than placement without it,
// in bursts with equal requests of unequal cost, with slow engines and with engines away; and against large prompts that
// are served less than half as often as their kind.
func TestReplayServesMore(t *testing.T) {
	for name, setUp := range replayScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, now := runReplays(t, false, setUp, nil), runReplays(t, true, setUp, nil)
			t.Run("in time", func(t *testing.T) {
				for i, k := range replayKinds {
					if share, least := now.counts[i].share(), before.counts[i].share(); share < least {
						t.Errorf("%s in time: %.3f, want at least %.3f as before", k.name, share, least)
					}
				}
			})
			t.Run("largest tenth", func(t *testing.T) {
				c := now.counts[2]
				served := 1 - float64(c.refused)/float64(c.total)
				if large := 1 - float64(c.largeRefused)/float64(c.large); large < served/2 {
					t.Errorf("largest tenth of the long prompts served: %.3f, want at least half of %.3f", large, served)
				}
			})
		})
	}
}

// TestReplayPrediction guards against predictions by which requests are placed where they are late: the ratio of the
// measured to the predicted time to the first token.
func TestReplayPrediction(t *testing.T) {
	r := runReplays(t, true, replayScenarios["bursts"], nil)
	for i, bound := range map[int]float64{0: 1.25, 2: 1.5} {
		t.Run(replayKinds[i].name, func(t *testing.T) {
			if p90 := r.counts[i].errorAt(0.9); p90 > bound {
				t.Errorf("p90 = %.2f, want at most %.2f", p90, bound)
			}
			if p99 := r.counts[i].errorAt(0.99); p99 > 2.5 {
				t.Errorf("p99 = %.2f, want at most 2.5", p99)
			}
		})
	}
}

// TestReplayPaces guards against engines at three and seven times the published time that are not found, against others
// that count as slow, and against one that recovers and is still avoided.
func TestReplayPaces(t *testing.T) {
	for name, pace := range map[string]float64{"three": 3, "seven": 7} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				r := newReplay(78, replayPool(true), 1)
				r.slowDown(pace)
				r.run(16*time.Second, func(elapsed time.Duration) {
					switch elapsed {
					case 7 * time.Second:
						if found, wrong := r.slowEngines(); found < 3 || wrong > 2 {
							t.Errorf("%d of 5 slow engines are known after 7 s and %d others, want 3 and at most 2", found, wrong)
						}
						r.slowDown(1)
					case 15 * time.Second:
						if found, wrong := r.slowEngines(); found+wrong > 2 {
							t.Errorf("%d engines count as slow 8 s after all recovered, want at most 2", found+wrong)
						}
					}
				})
			})
		})
	}
}

// slowEngines returns the number of engines at which slowDown changes the pace and that count as slow, and that of others.
func (r *replay) slowEngines() (changed, others int) {
	for i, id := range r.ids {
		endpoint, _ := r.state.Endpoints.Get(id)
		switch e := r.policy.Paces.Estimate(endpoint, time.Now()); {
		case e.Pace <= 1:
		case i%13 == 0 && i < 5*13:
			changed++
		default:
			others++
		}
	}
	return changed, others
}

// TestReplayRegret logs what the chooser loses since it has to learn the paces: the share of requests in time with the
// true paces known from the start.
func TestReplayRegret(t *testing.T) {
	setUp := replayScenarios["slow engines"]
	learned := runReplays(t, true, setUp, nil)
	known := runReplays(t, true, setUp, func(r *replay, elapsed time.Duration) {
		if elapsed%(200*time.Millisecond) != 0 {
			return
		}
		paces := &cost.Paces{}
		for i := range 5 {
			for entry := range 3 {
				paces.Merge(cost.PaceSample{
					Endpoint: r.ids[i*13], Pace: 5, At: time.Now(), Entry: fleet.EntryID(rune('a' + entry)),
				})
			}
		}
		r.policy.Paces = paces
	})
	for i, k := range replayKinds {
		regret := known.counts[i].share() - learned.counts[i].share()
		t.Logf("%s: regret %.3f", k.name, regret)
	}
}
