package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// heartbeat is how often an entry reports progress, besides the first token.
var heartbeat = DefaultSettings().Ledger.Lease / 3

// outcome is how a simulated request ended.
type outcome struct {
	request reservation.Request
	came    time.Time
	granted time.Time
	first   time.Time
	ended   time.Time
	reason  reservation.Reason
	done    bool
	inTime  bool
	died    bool
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
	renewed  map[fleet.AttemptID]time.Time
	dead     map[fleet.EntryID]bool
	orphans  bool
	outcomes []*outcome
	next     int
	listFail func() bool
}

// newSimulation returns a warm engine and its owner.
func newSimulation(t *testing.T, tick time.Duration) *simulation {
	s := &simulation{
		t:       t,
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		tick:    tick,
		engine:  newFakeEngine(),
		fence:   1,
		waiting: make(map[Ticket]*outcome),
		running: make(map[fleet.AttemptID]*outcome),
		renewed: make(map[fleet.AttemptID]time.Time),
		dead:    make(map[fleet.EntryID]bool),
	}
	s.endpoint = fleet.Endpoint{ID: "engine-1", State: fleet.StateLive, Memory: s.engine.memory}
	s.owner = &Endpoint{Entry: "entry-1", Settings: DefaultSettings()}
	s.owner.Start(s.now, s.endpoint, s.fence, s.warmHandover())
	return s
}

// warmHandover is a takeover from an owner that had nothing reserved.
func (s *simulation) warmHandover() Takeover {
	handover := &Handover{Endpoint: s.endpoint.ID}
	handover.Warmth.Incarnation = s.engine.incarnation
	handover.Warmth.Pace = s.engine.pace
	return Takeover{Handover: handover}
}

// offer sends a request from an entry.
func (s *simulation) offer(r reservation.Request) {
	s.next++
	r.Endpoint = s.endpoint.ID
	r.Request = fleet.RequestID(fmt.Sprintf("request-%d", s.next))
	r.Attempt = fleet.AttemptID(fmt.Sprintf("request-%d.1", s.next))
	o := &outcome{request: r, came: s.now}
	s.outcomes = append(s.outcomes, o)
	ticket, refusal := s.owner.Submit(s.now, r)
	if refusal != nil {
		o.reason, o.ended = refusal.Reason, s.now
		return
	}
	s.waiting[ticket] = o
	s.settle()
}

// settle carries out the due decisions.
func (s *simulation) settle() {
	decisions := append([]Decision(nil), s.owner.Advance(s.now)...)
	for _, d := range decisions {
		o := s.waiting[d.Ticket]
		delete(s.waiting, d.Ticket)
		if d.Refusal != nil {
			o.reason, o.ended = d.Refusal.Reason, s.now
			continue
		}
		s.begin(o, d.Grant)
	}
	s.check(decisions)
}

// check asserts what holds at any moment.
func (s *simulation) check(decisions []Decision) {
	s.t.Helper()
	if used := s.owner.ledger.Used(); used > s.endpoint.Memory {
		s.t.Fatalf("at %s: %d tokens are used of %d", s.now, used, s.endpoint.Memory)
	}
	attempts, tokens, limited := s.owner.warmth.Limit()
	if !limited || len(decisions) == 0 || decisions[len(decisions)-1].Refusal != nil {
		return
	}
	if s.owner.ledger.Attempts() > attempts || s.owner.ledger.Used() > tokens {
		s.t.Fatalf("at %s: a cold endpoint holds %d attempts of %d", s.now, s.owner.ledger.Attempts(), attempts)
	}
}

// begin runs a granted attempt.
func (s *simulation) begin(o *outcome, grant reservation.Grant) {
	o.granted = s.now
	if s.dead[o.request.Entry] {
		o.died = true
		return
	}
	task := &fakeTask{grant: grant, request: o.request, attempt: o.request.Attempt, begun: s.now}
	if !s.engine.submit(s.now, task) {
		s.release(task, o, reservation.OutcomeRefused)
		return
	}
	s.running[task.attempt] = o
	s.renewed[task.attempt] = s.now
}

// release ends an attempt.
func (s *simulation) release(task *fakeTask, o *outcome, result reservation.Outcome) {
	o.ended = s.now
	o.first = task.first
	o.done = result == reservation.OutcomeDone
	delete(s.running, task.attempt)
	release := reservation.Release{
		Reservation:     task.grant.Reservation,
		Generation:      task.grant.Generation,
		Outcome:         result,
		Incarnation:     s.engine.incarnation,
		PrefilledTokens: task.read,
		GeneratedTokens: task.made,
	}
	if result != reservation.OutcomeDone {
		release.Incarnation = 0
	} else {
		release.TimeToFirstToken = task.first.Sub(task.begun)
		release.DecodeTime = s.now.Sub(task.first)
	}
	_ = s.owner.Release(s.now, release)
	s.settle()
}

// step advances everything by one tick.
func (s *simulation) step() {
	s.now = s.now.Add(s.tick)
	for _, task := range s.engine.step(s.now, s.tick) {
		if o := s.running[task.attempt]; o != nil {
			s.release(task, o, reservation.OutcomeDone)
		}
	}
	for _, task := range s.engine.cut {
		if o := s.running[task.attempt]; o != nil {
			s.release(task, o, reservation.OutcomeBroken)
		}
	}
	s.engine.cut = nil
	for _, task := range s.engine.tasks {
		s.renew(task)
	}
	if !s.owner.NextListing().After(s.now) {
		s.sweep()
	}
	s.settle()
}

// renew reports the progress of a running attempt.
func (s *simulation) renew(task *fakeTask) {
	if s.running[task.attempt] == nil {
		return
	}
	started := !task.first.IsZero() && task.first.Equal(s.now)
	if !started && s.now.Sub(s.renewed[task.attempt]) < heartbeat {
		return
	}
	s.renewed[task.attempt] = s.now
	_ = s.owner.Renew(s.now, reservation.Progress{
		Reservation:      task.grant.Reservation,
		Generation:       task.grant.Generation,
		Incarnation:      s.engine.incarnation,
		Started:          !task.first.IsZero(),
		Position:         task.made,
		PrefilledTokens:  task.read,
		TimeToFirstToken: max(0, task.first.Sub(task.begun)),
	})
}

// sweep lists the engine.
func (s *simulation) sweep() {
	if s.listFail != nil && s.listFail() {
		s.owner.ObserveListingFailure(s.now)
		return
	}
	reclaim := s.owner.ObserveListing(s.now, s.now, s.engine.listing())
	for _, attempt := range reclaim.Attempts {
		s.engine.remove(attempt)
		if o := s.running[attempt]; o != nil {
			s.t.Errorf("at %s: %s is reclaimed while its entry runs it", s.now, attempt)
			o.ended = s.now
			delete(s.running, attempt)
		}
		s.owner.ConfirmCanceled(s.now, attempt)
	}
}

// kill ends an entry; the engine drops its attempts or keeps their memory.
func (s *simulation) kill(entry fleet.EntryID) {
	s.dead[entry] = true
	for _, task := range append([]*fakeTask(nil), s.engine.tasks...) {
		if task.request.Entry != entry {
			continue
		}
		if o := s.running[task.attempt]; o != nil {
			o.died = true
			delete(s.running, task.attempt)
		}
		task.orphaned = s.orphans
		if !s.orphans {
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

// run steps until some time has passed and calls arrive at each step.
func (s *simulation) run(length time.Duration, arrive func()) {
	for end := s.now.Add(length); s.now.Before(end); {
		if arrive != nil {
			arrive()
		}
		s.step()
	}
}

// poisson tells whether something of a rate a second happens in a tick.
func (s *simulation) poisson(random *rand.Rand, rate float64) bool {
	return random.Float64() < rate*s.tick.Seconds()
}

// request returns a request with bounds from now.
func (s *simulation) request(account fleet.AccountID, prompt, output fleet.Tokens, wait, finish time.Duration) reservation.Request {
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
