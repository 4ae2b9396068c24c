package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// lengths are the prompts of the seeded load; the shorter ones come more often.
var lengths = []fleet.Tokens{
	500, 500, 500, 1_000, 1_000, 1_000, 1_000, 1_000, 2_000, 2_000, 2_000, 4_000, 4_000, 4_000, 16_000, 16_000, 64_000, 250_000,
}

// TestInvariants runs a seeded load with entries killed, the engine dying or turning cold, listings failing and the
// owner changing at any moment.
func TestInvariants(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			s := newSimulation(t, 10*time.Millisecond)
			s.orphans = seed%2 == 0
			s.listFail = func() bool { return random.Float64() < 0.2 }
			entries := 0
			s.run(40*time.Second, func() {
				if s.poisson(random, 8) {
					r := s.request(fleet.AccountID(fmt.Sprint("account-", random.IntN(5))),
						lengths[random.IntN(len(lengths))], fleet.Tokens(20+random.IntN(200)), 10*time.Second, 60*time.Second)
					r.Entry = fleet.EntryID(fmt.Sprint("entry-", entries+random.IntN(3)))
					r.Exclusive = random.IntN(100) == 0
					s.offer(r)
				}
				disturb(s, random, &entries)
			})
			for len(s.waiting)+len(s.running) > 0 && s.now.Before(s.outcomes[len(s.outcomes)-1].request.Deadline) {
				s.step()
			}
			s.run(30*time.Second, nil)
			checkEnded(t, s)
		})
	}
}

// disturb makes something fail now and then.
func disturb(s *simulation, random *rand.Rand, entries *int) {
	if !s.poisson(random, 0.25) {
		return
	}
	switch random.IntN(5) {
	case 0:
		s.engine.die(s.now)
	case 1:
		s.takeOver(true)
	case 2:
		s.takeOver(false)
	default:
		s.kill(fleet.EntryID(fmt.Sprint("entry-", *entries)))
		*entries++
	}
}

// takeOver gives the endpoint to another owner, which gets the former one's account or not.
func (s *simulation) takeOver(graceful bool) {
	s.fence++
	takeover := Takeover{Resync: true}
	if graceful {
		handover := s.owner.Handover(s.now)
		takeover = Takeover{Handover: &handover}
		s.settle()
	}
	for ticket, o := range s.waiting {
		o.reason, o.ended = reservation.ReasonNotOwner, s.now
		delete(s.waiting, ticket)
	}
	s.owner = &Endpoint{Entry: fleet.EntryID(fmt.Sprint("owner-", s.fence)), Settings: DefaultSettings()}
	s.owner.Start(s.now, s.endpoint, s.fence, takeover)
	s.owner.SetDefaultPace(s.engine.pace)
}

// checkEnded asserts that nothing is left of any request.
func checkEnded(t *testing.T, s *simulation) {
	t.Helper()
	done := 0
	for _, o := range s.outcomes {
		if o.ended.IsZero() && !o.died {
			t.Errorf("%s came at %s and never ended", o.request.Request, o.came)
		}
		if o.ended.After(o.request.Deadline) {
			t.Errorf("%s ended at %s, due at %s", o.request.Request, o.ended, o.request.Deadline)
		}
		if o.done {
			done++
		}
	}
	if used := s.owner.ledger.Used(); used != 0 {
		t.Errorf("%d tokens are used after the end", used)
	}
	if used := s.engine.used(); used != 0 {
		t.Errorf("the engine holds %d tokens after the end", used)
	}
	if done == 0 {
		t.Errorf("none of %d requests was done", len(s.outcomes))
	}
	if s.engine.overloads > 0 {
		t.Errorf("the engine died of overload %d times", s.engine.overloads)
	}
}
