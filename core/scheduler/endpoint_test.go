package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// promptLengths are the prompt lengths of the seeded load; shorter ones are more frequent.
var promptLengths = []fleet.Tokens{
	500, 500, 500, 1_000, 1_000, 1_000, 1_000, 1_000, 2_000, 2_000, 2_000,
	4_000, 4_000, 4_000, 16_000, 16_000, 64_000, 250_000,
}

// TestInvariants runs a seeded load while entries are killed, the engine dies or turns cold, listings fail and the
// owner changes at random times.
func TestInvariants(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSimulation(t, 10*time.Millisecond)
			s.keepOrphans = seed%2 == 0
			s.listingFails = func() bool { return random.Float64() < 0.2 }
			entries := 0
			s.run(40*time.Second, func() {
				if s.occurs(random, 8) {
					r := s.request(fleet.AccountID(fmt.Sprint("account-", random.IntN(5))),
						promptLengths[random.IntN(len(promptLengths))], fleet.Tokens(20+random.IntN(200)), 10*time.Second, 60*time.Second)
					r.Entry = fleet.EntryID(fmt.Sprint("entry-", entries+random.IntN(3)))
					r.Exclusive = random.IntN(100) == 0
					s.submit(r)
				}
				injectFault(s, random, &entries)
			})
			for len(s.waiting)+len(s.running) > 0 && s.now.Before(s.outcomes[len(s.outcomes)-1].request.Deadline) {
				s.step()
			}
			s.run(30*time.Second, nil)
			checkDrained(t, s)
		})
	}
}

// injectFault causes a random fault with a low probability.
func injectFault(s *simulation, random *rand.Rand, entries *int) {
	if !s.occurs(random, 0.25) {
		return
	}
	switch random.IntN(5) {
	case 0:
		s.engine.die(s.now)
	case 1:
		s.changeOwner(true)
	case 2:
		s.changeOwner(false)
	default:
		s.killEntry(fleet.EntryID(fmt.Sprint("entry-", *entries)))
		*entries++
	}
}

// changeOwner transfers the endpoint to another owner, with a handover if graceful.
func (s *simulation) changeOwner(graceful bool) {
	s.fence++
	takeover := Takeover{Resync: true}
	if graceful {
		handover := s.owner.Handover(s.now)
		takeover = Takeover{Handover: &handover}
		s.applyDecisions()
	}
	for ticket, o := range s.waiting {
		o.reason, o.endedAt = reservation.ReasonNotOwner, s.now
		delete(s.waiting, ticket)
	}
	s.owner = &Endpoint{Entry: fleet.EntryID(fmt.Sprint("owner-", s.fence)), Settings: DefaultSettings()}
	s.owner.Start(s.now, s.endpoint, s.fence, takeover)
	s.owner.SetDefaultPace(s.engine.pace)
}

// checkDrained asserts that every request has ended and all memory is free.
func checkDrained(t *testing.T, s *simulation) {
	t.Helper()
	done := 0
	for _, o := range s.outcomes {
		if o.endedAt.IsZero() && !o.died {
			t.Errorf("%s arrived at %s and never ended", o.request.Request, o.arrivedAt)
		}
		if o.endedAt.After(o.request.Deadline) {
			t.Errorf("%s ended at %s, after its deadline %s", o.request.Request, o.endedAt, o.request.Deadline)
		}
		if o.done {
			done++
		}
	}
	if used := s.owner.ledger.Used(); used != 0 {
		t.Errorf("got %d tokens used after the end, want 0", used)
	}
	if used := s.engine.used(); used != 0 {
		t.Errorf("engine holds %d tokens after the end, want 0", used)
	}
	if done == 0 {
		t.Errorf("none of %d requests completed", len(s.outcomes))
	}
	if s.engine.overloads > 0 {
		t.Errorf("engine died of overload %d times, want 0", s.engine.overloads)
	}
}
