package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// heartbeatInterval is the time between two progress reports of an attempt, apart from the report of the first token.
var heartbeatInterval = DefaultSettings().Ledger.Lease / 3

// outcome records the course of a simulated request.
type outcome struct {
	request      reservation.Request
	arrivedAt    time.Time
	grantedAt    time.Time
	firstTokenAt time.Time
	endedAt      time.Time
	reason       reservation.Reason
	done         bool
	// grantedInLoad reports whether the request was granted while the load lasted, and is done.
	grantedInLoad bool
	// died reports whether the entry of the request was killed.
	died bool
}

// simulation runs one owner, one engine and several entries in virtual time.
type simulation struct {
	t        *testing.T
	now      time.Time
	tick     time.Duration
	endpoint fleet.Endpoint
	owner    *Endpoint
	engine   *fakeEngine
	fence    fleet.Fence
	waiting  map[Ticket]*outcome
	running  map[fleet.AttemptID]*outcome
	// renewedAt is when the last progress report of each attempt was sent, or when it started.
	renewedAt map[fleet.AttemptID]time.Time
	// dead holds the killed entries. If keepOrphans is set, the engine retains the memory of their attempts.
	dead         map[fleet.EntryID]bool
	keepOrphans  bool
	outcomes     []*outcome
	lastRequest  int
	listingFails func() bool
}

// newSimulation returns a warm engine and its owner.
func newSimulation(t *testing.T, tick time.Duration) *simulation {
	s := &simulation{
		t:         t,
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		tick:      tick,
		engine:    newFakeEngine(),
		fence:     1,
		waiting:   make(map[Ticket]*outcome),
		running:   make(map[fleet.AttemptID]*outcome),
		renewedAt: make(map[fleet.AttemptID]time.Time),
		dead:      make(map[fleet.EntryID]bool),
	}
	s.endpoint = fleet.Endpoint{ID: "engine-1", State: fleet.StateLive, Memory: s.engine.memory}
	s.owner = &Endpoint{Entry: "entry-1", Settings: DefaultSettings()}
	s.owner.Start(s.now, s.endpoint, s.fence, s.warmTakeover())
	return s
}

// warmTakeover returns the takeover of a warm endpoint from an owner without reservations.
func (s *simulation) warmTakeover() Takeover {
	handover := &Handover{Endpoint: s.endpoint.ID}
	handover.Warmth.Incarnation = s.engine.incarnation
	handover.Warmth.Pace = s.engine.pace
	return Takeover{Handover: handover}
}

// submit sends a request to the owner.
func (s *simulation) submit(r reservation.Request) {
	s.lastRequest++
	r.Endpoint = s.endpoint.ID
	r.Request = fleet.RequestID(fmt.Sprintf("request-%d", s.lastRequest))
	r.Attempt = fleet.AttemptID(fmt.Sprintf("request-%d.1", s.lastRequest))
	o := &outcome{request: r, arrivedAt: s.now}
	s.outcomes = append(s.outcomes, o)
	ticket, refusal := s.owner.Submit(s.now, r)
	if refusal != nil {
		o.reason, o.endedAt = refusal.Reason, s.now
		return
	}
	s.waiting[ticket] = o
	s.applyDecisions()
}

// applyDecisions starts the granted requests and records the refused ones.
func (s *simulation) applyDecisions() {
	decisions := append([]Decision(nil), s.owner.Advance(s.now)...)
	for _, d := range decisions {
		o := s.waiting[d.Ticket]
		delete(s.waiting, d.Ticket)
		if d.Refusal != nil {
			o.reason, o.endedAt = d.Refusal.Reason, s.now
			continue
		}
		s.startAttempt(o, d.Grant)
	}
	s.checkInvariants(decisions)
}

// checkInvariants asserts the limit on memory and, if the last decision is a grant, the limits of a cold endpoint.
func (s *simulation) checkInvariants(decisions []Decision) {
	s.t.Helper()
	if used := s.owner.ledger.Used(); used > s.endpoint.Memory {
		s.t.Fatalf("at %s: %d tokens are used, memory is %d", s.now, used, s.endpoint.Memory)
	}
	attempts, tokens, limited := s.owner.warmth.Limit()
	if !limited || len(decisions) == 0 || decisions[len(decisions)-1].Refusal != nil {
		return
	}
	if s.owner.ledger.Attempts() > attempts || s.owner.ledger.Used() > tokens {
		s.t.Fatalf("at %s: cold endpoint holds %d attempts, limit is %d", s.now, s.owner.ledger.Attempts(), attempts)
	}
}

// startAttempt starts a granted attempt on the engine, unless its entry has died.
func (s *simulation) startAttempt(o *outcome, grant reservation.Grant) {
	o.grantedAt = s.now
	if s.dead[o.request.Entry] {
		o.died = true
		return
	}
	task := &fakeTask{grant: grant, request: o.request, attempt: o.request.Attempt, startedAt: s.now}
	if !s.engine.submit(s.now, task) {
		s.release(task, o, reservation.OutcomeRefused)
		return
	}
	s.running[task.attempt] = o
	s.renewedAt[task.attempt] = s.now
}

// release records the end of an attempt and releases its reservation.
func (s *simulation) release(task *fakeTask, o *outcome, result reservation.Outcome) {
	o.endedAt = s.now
	o.firstTokenAt = task.firstTokenAt
	o.done = result == reservation.OutcomeDone
	delete(s.running, task.attempt)
	release := reservation.Release{
		Reservation:     task.grant.Reservation,
		Generation:      task.grant.Generation,
		Outcome:         result,
		Incarnation:     s.engine.incarnation,
		PrefilledTokens: task.prefilled,
		GeneratedTokens: task.generated,
	}
	if result != reservation.OutcomeDone {
		release.Incarnation = 0
	} else {
		release.TimeToFirstToken = task.firstTokenAt.Sub(task.startedAt)
		release.DecodeTime = s.now.Sub(task.firstTokenAt)
	}
	_ = s.owner.Release(s.now, release)
	s.applyDecisions()
}

// step advances everything by one tick.
func (s *simulation) step() {
	s.now = s.now.Add(s.tick)
	for _, task := range s.engine.step(s.now, s.tick) {
		if o := s.running[task.attempt]; o != nil {
			s.release(task, o, reservation.OutcomeDone)
		}
	}
	for _, task := range s.engine.brokenTasks {
		if o := s.running[task.attempt]; o != nil {
			s.release(task, o, reservation.OutcomeBroken)
		}
	}
	s.engine.brokenTasks = nil
	for _, task := range s.engine.tasks {
		s.renew(task)
	}
	if !s.owner.NextListing().After(s.now) {
		s.reconcile()
	}
	s.applyDecisions()
}

// renew reports the progress of a running attempt.
func (s *simulation) renew(task *fakeTask) {
	if s.running[task.attempt] == nil {
		return
	}
	started := !task.firstTokenAt.IsZero() && task.firstTokenAt.Equal(s.now)
	if !started && s.now.Sub(s.renewedAt[task.attempt]) < heartbeatInterval {
		return
	}
	s.renewedAt[task.attempt] = s.now
	_ = s.owner.Renew(s.now, reservation.Progress{
		Reservation:      task.grant.Reservation,
		Generation:       task.grant.Generation,
		Incarnation:      s.engine.incarnation,
		Started:          !task.firstTokenAt.IsZero(),
		Position:         task.generated,
		PrefilledTokens:  task.prefilled,
		TimeToFirstToken: max(0, task.firstTokenAt.Sub(task.startedAt)),
	})
}

// reconcile lists the engine and reclaims the attempts that the owner returns.
func (s *simulation) reconcile() {
	if s.listingFails != nil && s.listingFails() {
		s.owner.ObserveListingFailure(s.now)
		return
	}
	reclaim := s.owner.ObserveListing(s.now, s.now, s.engine.listing())
	for _, attempt := range reclaim.Attempts {
		s.engine.remove(attempt)
		if o := s.running[attempt]; o != nil {
			s.t.Errorf("at %s: %s was reclaimed while its entry still runs it", s.now, attempt)
			o.endedAt = s.now
			delete(s.running, attempt)
		}
		s.owner.ConfirmCanceled(s.now, attempt)
	}
}

// killEntry ends an entry; the engine drops its attempts, or retains their memory if keepOrphans is set.
func (s *simulation) killEntry(entry fleet.EntryID) {
	s.dead[entry] = true
	for _, task := range append([]*fakeTask(nil), s.engine.tasks...) {
		if task.request.Entry != entry {
			continue
		}
		if o := s.running[task.attempt]; o != nil {
			o.died = true
			delete(s.running, task.attempt)
		}
		task.orphaned = s.keepOrphans
		if !s.keepOrphans {
			s.engine.remove(task.attempt)
		}
	}
	for ticket, o := range s.waiting {
		if o.request.Entry == entry {
			o.died = true
			if s.owner.Withdraw(s.now, ticket) {
				delete(s.waiting, ticket)
			}
		}
	}
}

// run advances the simulation by length and calls arrive before each step.
func (s *simulation) run(length time.Duration, arrive func()) {
	for end := s.now.Add(length); s.now.Before(end); {
		if arrive != nil {
			arrive()
		}
		s.step()
	}
}

// occurs reports at random whether an event of the given rate per second happens within a tick.
func (s *simulation) occurs(random *rand.Rand, rate float64) bool {
	return random.Float64() < rate*s.tick.Seconds()
}

// request returns a request that must get its first token after at most wait and end after at most finish, from now.
func (s *simulation) request(
	account fleet.AccountID, prompt, output fleet.Tokens, wait, finish time.Duration,
) reservation.Request {
	return reservation.Request{
		Account:            account,
		Entry:              "entry-1",
		Weight:             1,
		PromptTokens:       prompt,
		MaxTokens:          output,
		FirstTokenDeadline: s.now.Add(wait),
		Deadline:           s.now.Add(finish),
	}
}
