package dispatch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/report"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/retry"
)

// newTestDispatcher returns a dispatcher over fakes with five engines in two availability zones.
func newTestDispatcher(engines *fakeEngines, reservations *fakeReservations) *Dispatcher {
	state := &clusterstate.State{}
	engines.incarnation = make(map[fleet.EndpointID]fleet.Incarnation)
	for _, id := range []fleet.EndpointID{"a1", "a2", "a3", "b1", "b2"} {
		state.Endpoints.Set(id, fleet.Endpoint{ID: id, Kind: fleet.KindEngine, Pool: "p", Zone: fleet.Zone(id[:1]), State: fleet.StateLive, Memory: 1000})
		engines.incarnation[id] = 1
	}
	return &Dispatcher{
		State:        state,
		Views:        &report.ViewCache{State: state, Zone: "a"},
		Entry:        "entry",
		Zone:         "a",
		Reservations: reservations,
		Engines:      engines,
		Placement:    placement.LeastLoaded{},
		Budget:       &retry.Budget{Ratio: 0.1, Burst: 10},
		Suspects:     &retry.Suspects{Entry: "entry"},
	}
}

// newTestRequest returns the request used by all tests, which generates ten tokens.
func newTestRequest() Request {
	return Request{
		ID: "req", Account: "c", Weight: 1, Class: "summary", Pool: "p", Prompt: "prompt", PromptTokens: 2,
		MaxTokens: 10, FirstTokenDeadline: time.Now().Add(5 * time.Second), Deadline: time.Now().Add(time.Minute),
	}
}

func TestGenerate(t *testing.T) {
	tests := map[string]struct {
		script          []behavior
		refusals        []reservation.Reason
		loseReservation bool
		unanswered      int
		failure         *Failure
		attempts        int
		resumedAt       fleet.Tokens
		exclusive       bool
		// within bounds the time to the failure; the bound is at least 3s.
		within       time.Duration
		firstOutcome reservation.Outcome
	}{
		"whole answer":          {script: []behavior{{}}, attempts: 1, firstOutcome: "done"},
		"resumed where it cut":  {script: []behavior{{tokens: 4}, {}}, attempts: 2, resumedAt: 4, firstOutcome: "broken"},
		"resumed twice":         {script: []behavior{{tokens: 4}, {tokens: 3}, {}}, attempts: 3, resumedAt: 7},
		"repeated token":        {script: []behavior{{tokens: 4}, {repeatToken: true}}, attempts: 2, resumedAt: 4},
		"stalled answer":        {script: []behavior{{tokens: 2, stall: true}, {}}, attempts: 2, resumedAt: 2, firstOutcome: "canceled"},
		"last tokens lost":      {script: []behavior{{truncated: true}, {}}, attempts: 2, resumedAt: 8, firstOutcome: "canceled"},
		"crossed answer":        {script: []behavior{{mismatched: true}, {}}, attempts: 2},
		"refused by the engine": {script: []behavior{{refuse: true}, {}}, attempts: 2},
		"one death":             {script: []behavior{{die: true}, {}}, attempts: 2, exclusive: true, firstOutcome: "broken"},
		"death amid the answer": {script: []behavior{{tokens: 3, die: true}, {}}, attempts: 2, resumedAt: 3, exclusive: true, firstOutcome: "broken"},
		"two silences":          {script: []behavior{{tokens: 3}, {tokens: 3}, {}}, unanswered: 2, attempts: 3, resumedAt: 6, exclusive: true},
		"silent for long":       {script: []behavior{{tokens: 3}, {tokens: 3}, {}}, unanswered: 4, attempts: 2, resumedAt: 3, failure: &Failure{State: StateFailed, Reason: ReasonOnTrial}},
		"two deaths":            {script: []behavior{{die: true}}, attempts: 2, failure: &Failure{State: StateFailed, Reason: ReasonQuarantined}},
		"owner changes":         {script: []behavior{{}}, refusals: []reservation.Reason{reservation.ReasonNotOwner, reservation.ReasonUnreachable}, attempts: 1},
		"owners change long": {
			script:   []behavior{{}},
			refusals: []reservation.Reason{"not_owner", "not_owner", "not_owner", "not_owner", "not_owner", "not_owner", "not_owner"},
			attempts: 1,
		},
		"cold for some seconds": {
			script:   []behavior{{}},
			refusals: slices.Repeat([]reservation.Reason{"cold"}, 30),
			attempts: 1,
		},
		"cold for too long": {
			script:   []behavior{{}},
			refusals: slices.Repeat([]reservation.Reason{"cold"}, 300),
			failure:  &Failure{State: StateNotRun, Reason: "cold"},
			within:   5 * time.Second,
		},
		"too late everywhere": {
			script:   []behavior{{}},
			refusals: []reservation.Reason{"too_late", "too_late", "too_late", "too_late", "too_late"},
			failure:  &Failure{State: StateNotRun, Reason: "too_late"},
		},
		"refused by all engines": {
			script:   []behavior{{refuse: true}},
			attempts: 4,
			failure:  &Failure{State: StateNotRun, Reason: ReasonNoEndpoint},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &fakeEngines{script: tc.script, unanswered: tc.unanswered}
				reservations := &fakeReservations{refusals: tc.refusals, loseReservation: tc.loseReservation}
				d := newTestDispatcher(engines, reservations)
				var answer collector
				startedAt := time.Now()
				err := d.Generate(t.Context(), newTestRequest(), &answer)
				checkFailure(t, err, tc.failure)
				if tc.failure == nil && answer.text.String() != "abcdefghij" {
					t.Errorf("got answer %q, want %q", answer.text.String(), "abcdefghij")
				}
				if len(engines.attempts) != tc.attempts {
					t.Errorf("got %d attempts, want %d", len(engines.attempts), tc.attempts)
				}
				if n := len(engines.attempts); n > 0 && engines.attempts[n-1].ResumeAfter != tc.resumedAt {
					t.Errorf("last attempt resumes after %d, want %d", engines.attempts[n-1].ResumeAfter, tc.resumedAt)
				}
				if len(reservations.released) != len(engines.attempts) {
					t.Errorf("got %d releases, want one for each of %d grants", len(reservations.released), len(engines.attempts))
				}
				if tc.firstOutcome != "" && reservations.released[0].Outcome != tc.firstOutcome {
					t.Errorf("first attempt released with outcome %q, want %q", reservations.released[0].Outcome, tc.firstOutcome)
				}
				if last := reservations.requests[len(reservations.requests)-1]; last.Exclusive != tc.exclusive && tc.failure == nil {
					t.Errorf("last attempt exclusive: %t, want %t", last.Exclusive, tc.exclusive)
				}
				if took := time.Since(startedAt); tc.failure != nil && took > max(tc.within, 3*time.Second) {
					t.Errorf("request failed only after %s", took)
				}
			})
		})
	}
}

// checkFailure compares the state and reason of an error with the expected failure. Failures other than quarantine must
// have a RetryAfter.
func checkFailure(t *testing.T, err error, want *Failure) {
	t.Helper()
	var got *Failure
	if errors.As(err, &got) != (want != nil) {
		t.Fatalf("got error %v, want %v", err, want)
	}
	if want == nil {
		return
	}
	if got.State != want.State || got.Reason != want.Reason {
		t.Errorf("got failure %v, want %v", got, want)
	}
	if want.Reason != ReasonQuarantined && got.RetryAfter <= 0 {
		t.Error("failure has no RetryAfter")
	}
}

func TestGenerateLapsedReservationMovesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{script: []behavior{{tokens: 2, stall: true}, {}}}
		reservations := &fakeReservations{loseReservation: true}
		d := newTestDispatcher(engines, reservations)
		var answer collector
		if err := d.Generate(t.Context(), newTestRequest(), &answer); err != nil {
			t.Fatal(err)
		}
		if answer.text.String() != "abcdefghij" {
			t.Errorf("got answer %q, want %q", answer.text.String(), "abcdefghij")
		}
		if len(engines.canceled) != 1 {
			t.Errorf("%d attempts canceled at their engine, want 1", len(engines.canceled))
		}
	})
}

func TestOwnerHearsOfTheStartAndTheFirstTokenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reservations := &fakeReservations{}
		if err := newTestDispatcher(&fakeEngines{script: []behavior{{}}}, reservations).Generate(t.Context(), newTestRequest(), &collector{}); err != nil {
			t.Fatal(err)
		}
		if len(reservations.renewed) < 2 {
			t.Fatalf("got %d renewals for an answer shorter than the lease, want at least 2", len(reservations.renewed))
		}
		if start := reservations.renewed[0]; start.Started || start.Incarnation != 1 {
			t.Errorf("first renewal %+v, want one before the first token with incarnation 1", start)
		}
		if first := reservations.renewed[1]; !first.Started || first.Position != 1 || first.TimeToFirstToken != 10*time.Millisecond {
			t.Errorf("second renewal %+v, want position 1 and a time to first token of 10ms", first)
		}
	})
}

func TestGenerateCallerGoneFreesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{script: []behavior{{}}}
		reservations := &fakeReservations{}
		d := newTestDispatcher(engines, reservations)
		if err := d.Generate(t.Context(), newTestRequest(), &collector{failAfter: 3}); err == nil {
			t.Fatal("got no error after the caller disconnected")
		}
		if len(engines.canceled) != 1 || reservations.released[0].Outcome != reservation.OutcomeCanceled {
			t.Errorf("canceled %v, released %v, want one attempt, canceled", engines.canceled, reservations.released)
		}
	})
}

func TestCrashingRequestLosesTwoEndpointsHoweverOftenItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{script: []behavior{{die: true}}}
		first := newTestDispatcher(engines, &fakeReservations{})
		second := newTestDispatcher(engines, &fakeReservations{})
		second.Entry = "other"
		second.Suspects = &retry.Suspects{Entry: "other"}
		first.Suspects.Broadcaster = broadcastTo{second.Suspects}
		second.Suspects.Broadcaster = broadcastTo{first.Suspects}
		for i := range 10 {
			d := []*Dispatcher{first, second}[i%2]
			var failure *Failure
			if err := d.Generate(t.Context(), newTestRequest(), &collector{}); !errors.As(err, &failure) {
				t.Fatalf("send %d: got %v, want a failure", i, err)
			}
		}
		if len(engines.attempts) != 2 {
			t.Errorf("the request ran %d times, want 2", len(engines.attempts))
		}
	})
}

func TestCopiesOfACrashingRequestLoseTwoEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{script: []behavior{{tokens: 3, die: true}}}
		first := newTestDispatcher(engines, &fakeReservations{})
		second := newTestDispatcher(engines, &fakeReservations{})
		second.Entry = "other"
		second.Suspects = &retry.Suspects{Entry: "other"}
		first.Suspects.Broadcaster = broadcastTo{second.Suspects}
		second.Suspects.Broadcaster = broadcastTo{first.Suspects}
		first.Placement = &rotatingPolicy{}
		second.Placement = &rotatingPolicy{calls: 2}
		var group errgroup.Group
		for i := range 8 {
			d := []*Dispatcher{first, second}[i%2]
			group.Go(func() error {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				if err := d.Generate(t.Context(), newTestRequest(), &collector{}); err == nil {
					return errors.New("a copy of the crashing request was served")
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if deaths := engines.deaths(); deaths > 2 {
			t.Errorf("%d endpoints died, want at most 2", deaths)
		}
	})
}

func TestOnlyOneTrialAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{script: []behavior{{}}}
		d := newTestDispatcher(engines, &fakeReservations{})
		d.Suspects.RecordDeath(t.Context(), retry.FingerprintOf("c", "prompt"), retry.Death{Endpoint: "a1", Incarnation: 1})
		var group errgroup.Group
		group.Go(func() error { return d.Generate(t.Context(), newTestRequest(), &collector{}) })
		synctest.Wait()
		checkFailure(t, d.Generate(t.Context(), newTestRequest(), &collector{}), &Failure{State: StateNotRun, Reason: ReasonOnTrial})
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if err := d.Generate(t.Context(), newTestRequest(), &collector{}); err != nil {
			t.Errorf("cleared request failed: %v", err)
		}
	})
}

// rotatingPolicy is a placement policy that rotates the candidates of LeastLoaded by one more with each call.
type rotatingPolicy struct {
	placement.LeastLoaded
	mu    sync.Mutex
	calls int
}

func (p *rotatingPolicy) Candidates(view placement.View, need placement.Need) []fleet.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.LeastLoaded.Candidates(view, need)
	if len(found) == 0 {
		return nil
	}
	p.calls++
	at := p.calls % len(found)
	return append(found[at:len(found):len(found)], found[:at]...)
}

// broadcastTo is a Broadcaster that merges records into the Suspects of one other entry.
type broadcastTo struct {
	other *retry.Suspects
}

func (s broadcastTo) Broadcast(_ context.Context, record retry.SuspectRecord) {
	s.other.Merge(record)
}
