package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// TestTurnsCold asserts that an endpoint that turns cold in the same life is noticed by the outcomes that show it,
// that what waits beyond its limit is refused at once, and that it warms up again.
func TestTurnsCold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := newSimulation(t, 10*time.Millisecond)
	s.engine.coldBears = 1000
	load := func() {
		if s.poisson(random, 12) {
			s.offer(s.request("account", 2_000, 40, 10*time.Second, 30*time.Second))
		}
	}
	s.run(10*time.Second, load)
	if s.owner.warmth.State.Cold {
		t.Fatal("cold under a light load")
	}
	s.engine.coldUntil = s.now.Add(10 * time.Second)
	s.run(1500*time.Millisecond, load)
	if !s.owner.warmth.State.Cold {
		t.Error("not noticed")
	}
	if attempts, _, _ := s.owner.warmth.Limit(); len(s.waiting) > attempts {
		t.Errorf("%d requests wait for a cold endpoint that bears %d", len(s.waiting), attempts)
	}
	s.run(30*time.Second, load)
	if s.owner.warmth.State.Cold {
		t.Error("does not warm up")
	}
}

// TestColdTakeover asserts that a new owner stays within the cold limit until the former owner's grants have lapsed,
// counts what it can't explain as used, and grants nothing before it has listed the endpoint.
func TestColdTakeover(t *testing.T) {
	s := newSimulation(t, 10*time.Millisecond)
	for range 5 {
		s.offer(s.request("account", 20_000, 2_000, 10*time.Second, 10*time.Minute))
	}
	s.run(4*time.Second, nil)
	s.takeOver(false)
	if _, refusal := s.owner.Submit(s.now, s.request("account", 1_000, 10, time.Minute, time.Hour)); refusal == nil {
		t.Error("queued before the endpoint was listed")
	}
	s.step()
	if used := s.owner.ledger.Used(); used != s.engine.used() {
		t.Errorf("%d tokens are used, the engine holds %d", used, s.engine.used())
	}
	s.run(time.Second, func() { s.offer(s.request("account", 1_000, 10, time.Minute, time.Hour)) })
	if running := len(s.engine.tasks); running != 5 {
		t.Errorf("%d attempts run, want the 5 of the former owner", running)
	}
}

// TestExclusive asserts that an exclusive request runs alone, and that others go on after it.
func TestExclusive(t *testing.T) {
	s := newSimulation(t, 10*time.Millisecond)
	random := rand.New(rand.NewPCG(1, 1))
	s.run(20*time.Second, func() {
		if s.poisson(random, 10) {
			r := s.request(fleet.AccountID([]string{"a", "b"}[random.IntN(2)]), 1_000, 50, 15*time.Second, time.Minute)
			r.Exclusive = random.IntN(20) == 0
			s.offer(r)
		}
		for _, task := range s.engine.tasks {
			if task.request.Exclusive && len(s.engine.tasks) > 1 {
				t.Fatalf("%d attempts run beside an exclusive one", len(s.engine.tasks)-1)
			}
		}
	})
	exclusive := 0
	for _, o := range s.outcomes {
		if o.done && o.request.Exclusive {
			exclusive++
		}
	}
	if exclusive == 0 {
		t.Error("no exclusive request was done")
	}
}

// TestHopeless asserts that a request that can't be in time any more is refused when that is known, before it is due.
func TestHopeless(t *testing.T) {
	s := newSimulation(t, 10*time.Millisecond)
	s.offer(s.request("large", 390_000, 5_000, time.Minute, time.Hour))
	hopeless := s.request("small", 16_000, 600, 12*time.Second, 20*time.Second)
	s.offer(hopeless)
	s.run(20*time.Second, nil)
	o := s.outcomes[1]
	if o.reason != reservation.ReasonTooLate {
		t.Fatalf("ended for %q, want a refusal", o.reason)
	}
	if latest := hopeless.Deadline.Add(-10 * time.Second); o.ended.After(latest) {
		t.Errorf("refused at %s, its answer takes 10 s and is due at %s", o.ended, hopeless.Deadline)
	}
}

// TestShortBesideLong asserts that short requests stay quick while long prompts are read, and that these are done.
func TestShortBesideLong(t *testing.T) {
	short := stream{account: "short", weight: 1, rate: 5, prompt: 2_000, output: 50, wait: 5 * time.Second}
	long := stream{account: "long", weight: 1, rate: 0.08, prompt: 250_000, output: 200, wait: 60 * time.Second}
	for seed := range uint64(3) {
		alone := waitP95(serve(t, seed, fairLength, []stream{short})["short"])
		found := serve(t, seed, fairLength, []stream{short, long})
		beside := waitP95(found["short"])
		t.Logf("short requests wait %s beside long ones, %s alone", beside, alone)
		if float64(beside) > 1.2*float64(alone) {
			t.Errorf("seed %d: short requests wait %s beside long ones, %s alone", seed, beside, alone)
		}
		if work(found["long"]) == 0 {
			t.Errorf("seed %d: no long request was done", seed)
		}
	}
}
