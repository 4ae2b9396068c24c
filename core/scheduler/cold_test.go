package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// TestTurnsCold asserts that an endpoint that turns cold within one incarnation is detected by its slow attempts, that
// no more requests stay queued than its limit allows, and that it warms up again.
func TestTurnsCold(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	s := newSimulation(t, 10*time.Millisecond)
	s.engine.coldLimit = 1000
	load := func() {
		if s.occurs(random, 12) {
			s.submit(s.request("account", 2_000, 40, 10*time.Second, 30*time.Second))
		}
	}
	s.run(10*time.Second, load)
	if s.owner.warmth.State.Cold {
		t.Fatal("endpoint turned cold under a light load")
	}
	s.engine.coldUntil = s.now.Add(10 * time.Second)
	s.run(1500*time.Millisecond, load)
	if !s.owner.warmth.State.Cold {
		t.Error("cold start was not detected")
	}
	if attempts, _, _ := s.owner.warmth.Limit(); len(s.waiting) > attempts {
		t.Errorf("%d requests are queued on a cold endpoint, want at most %d", len(s.waiting), attempts)
	}
	s.run(30*time.Second, load)
	if s.owner.warmth.State.Cold {
		t.Error("endpoint did not warm up")
	}
}

// TestColdTakeover asserts that a new owner without a handover queues nothing before it has listed the endpoint, counts
// stray memory as used, and grants nothing while the attempts of the former owner exceed the cold limit.
func TestColdTakeover(t *testing.T) {
	s := newSimulation(t, 10*time.Millisecond)
	for range 5 {
		s.submit(s.request("account", 20_000, 2_000, 10*time.Second, 10*time.Minute))
	}
	s.run(4*time.Second, nil)
	s.changeOwner(false)
	if _, refusal := s.owner.Submit(s.now, s.request("account", 1_000, 10, time.Minute, time.Hour)); refusal == nil {
		t.Error("request was queued before the endpoint was listed")
	}
	s.step()
	if used := s.owner.ledger.Used(); used != s.engine.used() {
		t.Errorf("got %d tokens used, want %d as held by the engine", used, s.engine.used())
	}
	s.run(time.Second, func() { s.submit(s.request("account", 1_000, 10, time.Minute, time.Hour)) })
	if running := len(s.engine.tasks); running != 5 {
		t.Errorf("got %d running attempts, want only the 5 of the former owner", running)
	}
}

// TestExclusive asserts that exclusive requests run alone although others keep arriving, and that at least one
// exclusive request is done.
func TestExclusive(t *testing.T) {
	s := newSimulation(t, 10*time.Millisecond)
	random := rand.New(rand.NewPCG(1, 1))
	s.run(20*time.Second, func() {
		if s.occurs(random, 10) {
			r := s.request(fleet.AccountID([]string{"a", "b"}[random.IntN(2)]), 1_000, 50, 15*time.Second, time.Minute)
			r.Exclusive = random.IntN(20) == 0
			s.submit(r)
		}
		for _, task := range s.engine.tasks {
			if task.request.Exclusive && len(s.engine.tasks) > 1 {
				t.Fatalf("%d attempts run beside an exclusive one, want none", len(s.engine.tasks)-1)
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

// TestHopeless asserts that a request that can no longer meet its deadline is refused as soon as that is known, not at
// its deadline.
func TestHopeless(t *testing.T) {
	s := newSimulation(t, 10*time.Millisecond)
	s.submit(s.request("large", 390_000, 5_000, time.Minute, time.Hour))
	lateRequest := s.request("small", 16_000, 600, 12*time.Second, 20*time.Second)
	s.submit(lateRequest)
	s.run(20*time.Second, nil)
	o := s.outcomes[1]
	if o.reason != reservation.ReasonTooLate {
		t.Fatalf("got reason %q, want too_late", o.reason)
	}
	if latest := lateRequest.Deadline.Add(-10 * time.Second); o.endedAt.After(latest) {
		t.Errorf("refused at %s, but its answer takes 10 s and its deadline is %s", o.endedAt, lateRequest.Deadline)
	}
}

// TestShortBesideLong asserts that long prompts raise the 95th percentile of the waits of short requests by at most a
// fifth, and that at least one long request is done.
func TestShortBesideLong(t *testing.T) {
	short := accountLoad{account: "short", weight: 1, rate: 5, prompt: 2_000, output: 50, startTimeout: 5 * time.Second}
	long := accountLoad{
		account: "long", weight: 1, rate: 0.08, prompt: 250_000, output: 200, startTimeout: 60 * time.Second}
	for seed := range uint64(3) {
		alone := waitP95(runLoads(t, seed, loadDuration, []accountLoad{short})["short"])
		found := runLoads(t, seed, loadDuration, []accountLoad{short, long})
		beside := waitP95(found["short"])
		t.Logf("short requests wait %s beside long ones, %s alone", beside, alone)
		if float64(beside) > 1.2*float64(alone) {
			t.Errorf("seed %d: short requests wait %s beside long ones, %s alone", seed, beside, alone)
		}
		if grantedWork(found["long"]) == 0 {
			t.Errorf("seed %d: no long request was done", seed)
		}
	}
}
