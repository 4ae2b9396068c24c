package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/retry"
)

// forwardStep scripts how another entry treats a request: it writes tokens and then returns err.
type forwardStep struct {
	tokens fleet.Tokens
	err    error
}

// fakeForwards runs one step for each entry that is asked.
type fakeForwards struct {
	steps    []forwardStep
	requests []Request
	asked    []fleet.EntryID
}

func (f *fakeForwards) Forward(_ context.Context, to fleet.Entry, request Request, sink Sink) error {
	step := f.steps[len(f.asked)]
	f.asked = append(f.asked, to.ID)
	f.requests = append(f.requests, request)
	for position := request.ResumeAfter + 1; position <= request.ResumeAfter+step.tokens; position++ {
		if err := sink.WriteToken(position, "x"); err != nil {
			return err
		}
	}
	return step.err
}

// TestForward checks what follows from each way in which other entries may treat a request of an entry that is cut off.
func TestForward(t *testing.T) {
	notRun := &AttemptError{Certainty: CertainNotRun, Err: errors.New("no connection")}
	declined := &AttemptError{Certainty: CertainRefused, Err: errors.New("declined")}
	broken := &AttemptError{Certainty: Uncertain, Err: errors.New("broken")}
	tests := map[string]struct {
		reached     bool
		forwardedBy fleet.EntryID
		policy      RetryPolicy
		maxAttempts int
		steps       []forwardStep
		// asked is the number of entries that are asked; served reports whether the answer is complete, else failure holds
		// the expected state and reason.
		asked   int
		served  bool
		failure Failure
		// resumedAt is the position after which the last of them continues.
		resumedAt fleet.Tokens
	}{
		"served":                   {steps: []forwardStep{{tokens: 10}}, asked: 1, served: true},
		"not cut off":              {reached: true, served: true},
		"forwarded already":        {forwardedBy: "other", served: true},
		"others can't be reached":  {steps: []forwardStep{{err: notRun}, {err: declined}, {tokens: 10}}, asked: 3, served: true},
		"others reach nothing":     {steps: []forwardStep{{err: &Failure{State: StateNotRun, Reason: ReasonNoEndpoint}}, {tokens: 10}}, asked: 2, served: true},
		"nobody accepts":           {steps: []forwardStep{{err: declined}, {err: declined}, {err: declined}}, asked: 3, served: true},
		"refused":                  {steps: []forwardStep{{err: &Failure{State: StateNotRun, Reason: "paused"}}}, asked: 1, failure: Failure{State: StateNotRun, Reason: "paused"}},
		"broken, may resume":       {steps: []forwardStep{{tokens: 4, err: broken}, {tokens: 6}}, asked: 2, served: true, resumedAt: 4},
		"broken, then refused":     {steps: []forwardStep{{err: broken}, {err: &Failure{State: StateNotRun, Reason: "paused"}}}, asked: 2, failure: Failure{State: StateFailed, Reason: "paused"}},
		"broken, runs once":        {policy: RetryNever, steps: []forwardStep{{err: broken}}, asked: 1, failure: Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}},
		"broken after a piece":     {policy: RetryFromStart, steps: []forwardStep{{tokens: 1, err: broken}}, asked: 1, failure: Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}},
		"broken, attempts are up":  {maxAttempts: 1, steps: []forwardStep{{err: broken}}, asked: 1, failure: Failure{State: StateFailed, Reason: ReasonNoAnswer}},
		"not run, runs once after": {policy: RetryNever, steps: []forwardStep{{err: notRun}, {tokens: 10}}, asked: 2, served: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwards := &fakeForwards{steps: tc.steps}
				failures := make(map[fleet.EntryID]bool)
				d := newTestDispatcher(&fakeEngines{script: []behavior{{}}}, &fakeReservations{})
				d.Forwarding = &Forwarding{
					CutOff:        func(fleet.PoolName) bool { return !tc.reached },
					Alternates:    func(fleet.PoolName) []fleet.Entry { return []fleet.Entry{{ID: "x"}, {ID: "y"}, {ID: "z"}} },
					RecordFailure: func(id fleet.EntryID, reached bool) { failures[id] = reached },
					Client:        forwards,
				}
				request := newTestRequest()
				request.ForwardedBy, request.RetryPolicy, request.MaxAttempts = tc.forwardedBy, tc.policy, tc.maxAttempts
				sink := &collector{}
				err := d.Generate(t.Context(), request, sink)
				if len(forwards.asked) != tc.asked {
					t.Errorf("asked %v, want %d entries", forwards.asked, tc.asked)
				}
				if tc.served != (err == nil) {
					t.Fatalf("got error %v, want served %v", err, tc.served)
				}
				for i, id := range forwards.asked {
					reached, failed := failures[id]
					if err := tc.steps[i].err; failed != (isCertainlyNotRun(err) || lacksEndpoints(err)) || failed && reached == errors.Is(err, notRun) {
						t.Errorf("failure of %s recorded %v, reached %v, after %v", id, failed, reached, err)
					}
				}
				for _, r := range forwards.requests {
					if r.ForwardedBy != d.Entry {
						t.Errorf("forwarded by %q, want %q", r.ForwardedBy, d.Entry)
					}
				}
				if n := len(forwards.requests); n > 0 && forwards.requests[n-1].ResumeAfter != tc.resumedAt {
					t.Errorf("resumed after %d, want %d", forwards.requests[n-1].ResumeAfter, tc.resumedAt)
				}
				var failure *Failure
				if errors.As(err, &failure) && (failure.State != tc.failure.State || failure.Reason != tc.failure.Reason) {
					t.Errorf("got failure %v, want %v", failure, &tc.failure)
				}
			})
		})
	}
}

// TestForwardAfterConnectFailures checks that a request that can't connect to two endpoints is forwarded although its
// entry does not consider itself cut off yet.
func TestForwardAfterConnectFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwards := &fakeForwards{steps: []forwardStep{{tokens: 10}}}
		engines := &unreachableEngines{}
		d := newTestDispatcher(&fakeEngines{}, &fakeReservations{})
		d.Engines = engines
		d.Forwarding = &Forwarding{
			CutOff:        func(fleet.PoolName) bool { return false },
			Alternates:    func(fleet.PoolName) []fleet.Entry { return []fleet.Entry{{ID: "x"}} },
			RecordFailure: func(fleet.EntryID, bool) {},
			Client:        forwards,
		}
		if err := d.Generate(t.Context(), newTestRequest(), &collector{}); err != nil {
			t.Fatal(err)
		}
		if engines.attempts != minConnectFailures {
			t.Errorf("%d attempts before the request was forwarded, want %d", engines.attempts, minConnectFailures)
		}
	})
}

// TestConnectTimeouts guards against requests that are refused or forwarded because this entry, short of processor time,
// missed connections within the short connect timeout. They are forwarded only if probes of the endpoints failed too.
func TestConnectTimeouts(t *testing.T) {
	tests := map[string]struct {
		unreachable bool
		// attempts is the number of attempts before one is served or the request is forwarded.
		attempts, forwards int
	}{
		"endpoints are sound": {attempts: maxRefusals + 1},
		"probes failed too":   {unreachable: true, attempts: minConnectFailures, forwards: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				forwards := &fakeForwards{steps: []forwardStep{{tokens: 10}}}
				engines := &failingEngines{failures: maxRefusals, certainty: CertainNotConnected}
				engines.script = []behavior{{}}
				d := newTestDispatcher(&engines.fakeEngines, &fakeReservations{})
				d.Engines = engines
				d.Forwarding = &Forwarding{
					CutOff:        func(fleet.PoolName) bool { return false },
					Unreachable:   func(fleet.Endpoint, time.Time) bool { return tc.unreachable },
					Alternates:    func(fleet.PoolName) []fleet.Entry { return []fleet.Entry{{ID: "x"}} },
					RecordFailure: func(fleet.EntryID, bool) {},
					Client:        forwards,
				}
				if err := d.Generate(t.Context(), newTestRequest(), &collector{}); err != nil {
					t.Fatal(err)
				}
				if engines.tried != tc.attempts || len(forwards.asked) != tc.forwards {
					t.Errorf("%d attempts and %d forwards, want %d and %d", engines.tried, len(forwards.asked), tc.attempts, tc.forwards)
				}
			})
		})
	}
}

// TestAttemptsThatWereNotSent guards against requests that use up their attempts and the retry budget on attempts that this
// entry did not send.
func TestAttemptsThatWereNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &failingEngines{failures: 2, certainty: CertainNotSent}
		engines.script = []behavior{{}}
		reservations := &fakeReservations{}
		d := newTestDispatcher(&engines.fakeEngines, reservations)
		d.Engines, d.LimitRefusedRetries, d.Budget = engines, true, &retry.Budget{}
		request := newTestRequest()
		request.MaxAttempts = 1
		if err := d.Generate(t.Context(), request, &collector{}); err != nil {
			t.Fatal(err)
		}
		if got := reservations.released[0].Outcome; got != reservation.OutcomeNotSent {
			t.Errorf("outcome %q, want %q", got, reservation.OutcomeNotSent)
		}
	})
}

// TestCutShortWhileConnecting guards against attempts that are recorded as failures of the endpoint although this entry
// ended them while it connected.
func TestCutShortWhileConnecting(t *testing.T) {
	tests := map[string]func(ctx context.Context, d *Dispatcher) context.Context{
		"caller left": func(ctx context.Context, _ *Dispatcher) context.Context {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(50*time.Millisecond, cancel)
			return ctx
		},
		"deadline": func(ctx context.Context, _ *Dispatcher) context.Context {
			ctx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			context.AfterFunc(ctx, cancel)
			return ctx
		},
		"suspected": func(ctx context.Context, d *Dispatcher) context.Context {
			time.AfterFunc(50*time.Millisecond, func() { d.Suspects.RecordDeath(ctx, "f", retry.Death{Endpoint: "a1"}) })
			limited, cancel := context.WithTimeout(ctx, time.Second)
			context.AfterFunc(limited, cancel)
			return limited
		},
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reservations := &fakeReservations{}
				d := newTestDispatcher(&fakeEngines{}, reservations)
				d.Engines = &connectingEngines{}
				startedAt, request := time.Now(), newTestRequest()
				request.Fingerprint = "f"
				_ = d.Generate(end(t.Context(), d), request, &collector{})
				if release := reservations.released[0]; !release.CutShort || release.Outcome != reservation.OutcomeNotRun {
					t.Errorf("cut short = %v with outcome %q after %v", release.CutShort, release.Outcome, time.Since(startedAt))
				}
			})
		})
	}
}

// connectingEngines connect until the attempt is ended.
type connectingEngines struct {
	fakeEngines
}

func (*connectingEngines) Generate(ctx context.Context, _ Attempt) (Stream, error) {
	<-ctx.Done()
	return nil, &AttemptError{Certainty: CertainNotRun, Err: ctx.Err()}
}

// failingEngines fail the first attempts with a certainty.
type failingEngines struct {
	fakeEngines
	failures, tried int
	certainty       Certainty
}

func (s *failingEngines) Generate(ctx context.Context, attempt Attempt) (Stream, error) {
	s.tried++
	if s.tried <= s.failures {
		return nil, &AttemptError{Certainty: s.certainty, Err: errors.New("not sent")}
	}
	return s.fakeEngines.Generate(ctx, attempt)
}

// unreachableEngines accept no connection.
type unreachableEngines struct {
	fakeEngines
	attempts int
}

func (u *unreachableEngines) Generate(context.Context, Attempt) (Stream, error) {
	u.attempts++
	return nil, &AttemptError{Certainty: CertainNotRun, Err: errors.New("connection refused")}
}

// TestForwardReceiver checks which requests of other entries are accepted, and that stopping waits for them.
func TestForwardReceiver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cutOff, ready := false, true
		f := &ForwardReceiver{
			Unreached: func(pool fleet.PoolName) bool { return cutOff && pool == "p" },
			Ready:     func() bool { return ready },
			Memory:    semaphore.NewWeighted(100),
			Metrics:   metrics.NewRegistry(),
		}
		release, declined := f.Accept("p", 60)
		if declined != "" {
			t.Fatalf("declined with %s", declined)
		}
		check := func(pool fleet.PoolName, size int64, want string) {
			t.Helper()
			if _, got := f.Accept(pool, size); got != want {
				t.Errorf("pool %s, %d bytes: declined with %q, want %q", pool, size, got, want)
			}
		}
		check("p", 50, DeclinedMemory)
		check("p", -1, DeclinedMemory)
		cutOff = true
		check("p", 10, DeclinedCutOff)
		check("q", 0, "")
		ready = false
		check("p", 10, DeclinedNotReady)
		ready, cutOff = true, false
		f.inFlight.Done() // The accepted request to pool q has ended.
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		time.AfterFunc(time.Second, release)
		started := time.Now()
		f.Stop(ctx)
		if took := time.Since(started); took != time.Second {
			t.Errorf("stopping took %v, want 1s", took)
		}
		check("p", 10, DeclinedNotReady)
	})
}

// TestForwardedRequestIsCountedOnce checks that a forwarded request earns no retries at the entry that serves it.
func TestForwardedRequestIsCountedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeEngines{script: []behavior{{}}}, &fakeReservations{refusals: []reservation.Reason{}})
		d.Budget.Burst, d.Budget.Ratio = 1, 1
		if !d.Budget.TryRetry() {
			t.Fatal("no first retry")
		}
		request := newTestRequest()
		request.ForwardedBy = "other"
		if err := d.Generate(t.Context(), request, &collector{}); err != nil {
			t.Fatal(err)
		}
		if d.Budget.TryRetry() {
			t.Error("a forwarded request added a retry to the budget")
		}
	})
}
