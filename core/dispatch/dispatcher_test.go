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

// fixture is a dispatcher over fakes with five engines in two availability zones.
func fixture(engines *fakeEngines, owners *fakeOwners) *Dispatcher {
	board := &clusterstate.State{}
	engines.incarnation = make(map[fleet.EndpointID]fleet.Incarnation)
	for _, id := range []fleet.EndpointID{"a1", "a2", "a3", "b1", "b2"} {
		board.Endpoints.Set(id, fleet.Endpoint{ID: id, Kind: fleet.KindEngine, Pool: "p", Zone: fleet.Zone(id[:1]), State: fleet.StateLive, Memory: 1000})
		engines.incarnation[id] = 1
	}
	return &Dispatcher{
		State:        board,
		Views:        &report.ViewCache{State: board, Zone: "a"},
		Entry:        "entry",
		Zone:         "a",
		Reservations: owners,
		Engines:      engines,
		Placement:    placement.LeastLoaded{},
		Budget:       &retry.Budget{Ratio: 0.1, Burst: 10},
		Suspects:     &retry.Suspects{Entry: "entry"},
	}
}

// request is the request of all tests; it asks for ten tokens.
func request() Request {
	return Request{
		ID: "req", Account: "c", Weight: 1, Class: "summary", Pool: "p", Prompt: "prompt", PromptTokens: 2,
		MaxTokens: 10, FirstTokenDeadline: time.Now().Add(5 * time.Second), Deadline: time.Now().Add(time.Minute),
	}
}

func TestGenerate(t *testing.T) {
	tests := map[string]struct {
		script    []behavior
		refusals  []reservation.Reason
		lapse     bool
		silent    int
		failure   *Failure
		attempts  int
		resumedAt fleet.Tokens
		trial     bool
		within    time.Duration
		first     reservation.Outcome
	}{
		"whole answer":          {script: []behavior{{}}, attempts: 1, first: "done"},
		"resumed where it cut":  {script: []behavior{{tokens: 4}, {}}, attempts: 2, resumedAt: 4, first: "broken"},
		"resumed twice":         {script: []behavior{{tokens: 4}, {tokens: 3}, {}}, attempts: 3, resumedAt: 7},
		"repeated token":        {script: []behavior{{tokens: 4}, {repeat: true}}, attempts: 2, resumedAt: 4},
		"stalled answer":        {script: []behavior{{tokens: 2, stall: true}, {}}, attempts: 2, resumedAt: 2, first: "canceled"},
		"last tokens lost":      {script: []behavior{{shortened: true}, {}}, attempts: 2, resumedAt: 8, first: "canceled"},
		"crossed answer":        {script: []behavior{{crossed: true}, {}}, attempts: 2},
		"refused by the engine": {script: []behavior{{refuse: true}, {}}, attempts: 2},
		"one death":             {script: []behavior{{die: true}, {}}, attempts: 2, trial: true, first: "broken"},
		"death amid the answer": {script: []behavior{{tokens: 3, die: true}, {}}, attempts: 2, resumedAt: 3, trial: true, first: "broken"},
		"two silences":          {script: []behavior{{tokens: 3}, {tokens: 3}, {}}, silent: 2, attempts: 3, resumedAt: 6, trial: true},
		"silent for long":       {script: []behavior{{tokens: 3}, {tokens: 3}, {}}, silent: 4, attempts: 2, resumedAt: 3, failure: &Failure{State: StateFailed, Reason: ReasonOnTrial}},
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
				engines := &fakeEngines{script: tc.script, silent: tc.silent}
				owners := &fakeOwners{refusals: tc.refusals, lapse: tc.lapse}
				d := fixture(engines, owners)
				var answer collector
				begun := time.Now()
				err := d.Generate(t.Context(), request(), &answer)
				checkFailure(t, err, tc.failure)
				if tc.failure == nil && answer.text.String() != "abcdefghij" {
					t.Errorf("answer %q", answer.text.String())
				}
				if len(engines.attempts) != tc.attempts {
					t.Errorf("%d attempts, want %d", len(engines.attempts), tc.attempts)
				}
				if n := len(engines.attempts); n > 0 && engines.attempts[n-1].ResumeAfter != tc.resumedAt {
					t.Errorf("last attempt starts at %d, want %d", engines.attempts[n-1].ResumeAfter, tc.resumedAt)
				}
				if len(owners.released) != len(engines.attempts) {
					t.Errorf("%d releases of %d grants", len(owners.released), len(engines.attempts))
				}
				if tc.first != "" && owners.released[0].Outcome != tc.first {
					t.Errorf("the owner was told %q of the first attempt, want %q", owners.released[0].Outcome, tc.first)
				}
				if last := owners.asked[len(owners.asked)-1]; last.Exclusive != tc.trial && tc.failure == nil {
					t.Errorf("last attempt exclusive: %t, want %t", last.Exclusive, tc.trial)
				}
				if took := time.Since(begun); tc.failure != nil && took > max(tc.within, 3*time.Second) {
					t.Errorf("final answer after %s", took)
				}
			})
		})
	}
}

// checkFailure compares an error with the failure that is wanted, but for the time to come back.
func checkFailure(t *testing.T, err error, want *Failure) {
	t.Helper()
	var got *Failure
	if errors.As(err, &got) != (want != nil) {
		t.Fatalf("error %v, want %v", err, want)
	}
	if want == nil {
		return
	}
	if got.State != want.State || got.Reason != want.Reason {
		t.Errorf("failure %v, want %v", got, want)
	}
	if want.Reason != ReasonQuarantined && got.RetryAfter <= 0 {
		t.Error("failure gives no time to come back")
	}
}

func TestGenerateLapsedReservationMovesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{script: []behavior{{tokens: 2, stall: true}, {}}}
		owners := &fakeOwners{lapse: true}
		d := fixture(engines, owners)
		var answer collector
		if err := d.Generate(t.Context(), request(), &answer); err != nil {
			t.Fatal(err)
		}
		if answer.text.String() != "abcdefghij" {
			t.Errorf("answer %q", answer.text.String())
		}
		if len(engines.canceled) != 1 {
			t.Errorf("%d attempts canceled at their engine, want 1", len(engines.canceled))
		}
	})
}

func TestOwnerHearsOfTheStartAndTheFirstTokenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		owners := &fakeOwners{}
		if err := fixture(&fakeEngines{script: []behavior{{}}}, owners).Generate(t.Context(), request(), &collector{}); err != nil {
			t.Fatal(err)
		}
		if len(owners.renewed) < 2 {
			t.Fatalf("%d renewals of an answer shorter than the lease, want 2", len(owners.renewed))
		}
		if start := owners.renewed[0]; start.Started || start.Incarnation != 1 {
			t.Errorf("first renewal %+v, want the start with its incarnation", start)
		}
		if first := owners.renewed[1]; !first.Started || first.Position != 1 || first.TimeToFirstToken != 10*time.Millisecond {
			t.Errorf("second renewal %+v, want the first token after 10ms", first)
		}
	})
}

func TestGenerateCallerGoneFreesTheEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{script: []behavior{{}}}
		owners := &fakeOwners{}
		d := fixture(engines, owners)
		if err := d.Generate(t.Context(), request(), &collector{failAfter: 3}); err == nil {
			t.Fatal("no error though the caller is gone")
		}
		if len(engines.canceled) != 1 || owners.released[0].Outcome != reservation.OutcomeCanceled {
			t.Errorf("canceled %v, released %v", engines.canceled, owners.released)
		}
	})
}

func TestCrashingRequestLosesTwoEndpointsHoweverOftenItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{script: []behavior{{die: true}}}
		first := fixture(engines, &fakeOwners{})
		second := fixture(engines, &fakeOwners{})
		second.Entry = "other"
		second.Suspects = &retry.Suspects{Entry: "other"}
		first.Suspects.Broadcaster = spreadTo{second.Suspects}
		second.Suspects.Broadcaster = spreadTo{first.Suspects}
		for i := range 10 {
			d := []*Dispatcher{first, second}[i%2]
			var failure *Failure
			if err := d.Generate(t.Context(), request(), &collector{}); !errors.As(err, &failure) {
				t.Fatalf("send %d: %v, want a failure", i, err)
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
		first := fixture(engines, &fakeOwners{})
		second := fixture(engines, &fakeOwners{})
		second.Entry = "other"
		second.Suspects = &retry.Suspects{Entry: "other"}
		first.Suspects.Broadcaster = spreadTo{second.Suspects}
		second.Suspects.Broadcaster = spreadTo{first.Suspects}
		first.Placement = &rotation{}
		second.Placement = &rotation{turn: 2}
		var group errgroup.Group
		for i := range 8 {
			d := []*Dispatcher{first, second}[i%2]
			group.Go(func() error {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				if err := d.Generate(t.Context(), request(), &collector{}); err == nil {
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
		d := fixture(engines, &fakeOwners{})
		d.Suspects.RecordDeath(t.Context(), retry.FingerprintOf("c", "prompt"), retry.Death{Endpoint: "a1", Incarnation: 1})
		var group errgroup.Group
		group.Go(func() error { return d.Generate(t.Context(), request(), &collector{}) })
		synctest.Wait()
		checkFailure(t, d.Generate(t.Context(), request(), &collector{}), &Failure{State: StateNotRun, Reason: ReasonOnTrial})
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if err := d.Generate(t.Context(), request(), &collector{}); err != nil {
			t.Errorf("a cleared request got %v", err)
		}
	})
}

// rotation prefers another endpoint with every choice.
type rotation struct {
	placement.LeastLoaded
	mu   sync.Mutex
	turn int
}

func (p *rotation) Candidates(view placement.View, need placement.Need) []fleet.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.LeastLoaded.Candidates(view, need)
	if len(found) == 0 {
		return nil
	}
	p.turn++
	at := p.turn % len(found)
	return append(found[at:len(found):len(found)], found[:at]...)
}

// spreadTo tells one other entry of notes.
type spreadTo struct {
	other *retry.Suspects
}

func (s spreadTo) Broadcast(_ context.Context, note retry.SuspectRecord) {
	s.other.Merge(note)
}
