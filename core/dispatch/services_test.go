package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/idempotency"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/report"
	"wisteriadyke/core/retry"
)

// fakeServices fails each call with the next certainty of its script; "" means success.
type fakeServices struct {
	script []Certainty
	calls  []fleet.EndpointID
}

func (f *fakeServices) Call(_ context.Context, endpoint fleet.Endpoint, _ fleet.AttemptID, _ Call) ([]byte, error) {
	certainty := f.script[min(len(f.calls), len(f.script)-1)]
	f.calls = append(f.calls, endpoint.ID)
	if certainty == "" {
		return []byte("result"), nil
	}
	return nil, &AttemptError{Certainty: certainty, Answer: []byte("why"), Err: errors.New("failed")}
}

// newTestServiceDispatcher returns a dispatcher over three plain services.
func newTestServiceDispatcher(services ServiceClient) *ServiceDispatcher {
	state := &clusterstate.State{}
	for _, id := range []fleet.EndpointID{"s1", "s2", "s3"} {
		state.Endpoints.Set(id, fleet.Endpoint{ID: id, Kind: fleet.KindService, Pool: "s", Zone: "a", State: fleet.StateLive})
	}
	return &ServiceDispatcher{
		Views:     &report.ViewCache{State: state, Zone: "a"},
		Entry:     "e",
		Services:  services,
		Placement: placement.LeastLoaded{},
		Budget:    &retry.Budget{Ratio: 0.1, Burst: 10},
	}
}

func TestServiceDispatcherCall(t *testing.T) {
	tests := map[string]struct {
		script     []Certainty
		atMostOnce bool
		calls      int
		failure    *Failure
	}{
		"answered":                    {script: []Certainty{""}, calls: 1},
		"not sent, then answered":     {script: []Certainty{CertainNotRun, ""}, calls: 2},
		"once: not sent, answered":    {script: []Certainty{CertainNotRun, ""}, atMostOnce: true, calls: 2},
		"uncertain, then answered":    {script: []Certainty{Uncertain, ""}, calls: 2},
		"once: uncertain":             {script: []Certainty{Uncertain, ""}, atMostOnce: true, calls: 1, failure: &Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}},
		"once: not sent, uncertain":   {script: []Certainty{CertainNotRun, Uncertain}, atMostOnce: true, calls: 2, failure: &Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}},
		"failed by the service":       {script: []Certainty{CertainFailed, ""}, calls: 1, failure: &Failure{State: StateFailed, Reason: ReasonServiceFailed}},
		"once: failed by the service": {script: []Certainty{CertainFailed, ""}, atMostOnce: true, calls: 1, failure: &Failure{State: StateFailed, Reason: ReasonServiceFailed}},
		"never sent":                  {script: []Certainty{CertainNotRun}, atMostOnce: true, calls: 3, failure: &Failure{State: StateNotRun, Reason: ReasonNoEndpoint}},
		"uncertain everywhere":        {script: []Certainty{Uncertain}, calls: 3, failure: &Failure{State: StateFailed, Reason: ReasonNoEndpoint}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				services := &fakeServices{script: tc.script}
				call := Call{ID: "c", Class: "filing", Pool: "s", AtMostOnce: tc.atMostOnce, Deadline: time.Now().Add(time.Minute)}
				result, err := newTestServiceDispatcher(services).Call(t.Context(), call)
				checkServiceFailure(t, err, tc.failure)
				if tc.failure == nil && string(result.Body) != "result" {
					t.Errorf("got result %q, want %q", result.Body, "result")
				}
				if len(services.calls) != tc.calls {
					t.Errorf("sent %d times, want %d", len(services.calls), tc.calls)
				}
			})
		})
	}
}

// checkServiceFailure compares the state, reason and EarlierUnknown of an error with the expected failure.
func checkServiceFailure(t *testing.T, err error, want *Failure) {
	t.Helper()
	var got *Failure
	if errors.As(err, &got) != (want != nil) {
		t.Fatalf("got error %v, want %v", err, want)
	}
	if want != nil && (got.State != want.State || got.Reason != want.Reason || got.EarlierUnknown != want.EarlierUnknown) {
		t.Errorf("got failure %v, want %v", got, want)
	}
}

// fakeExecutor is an AtMostOnceExecutor that returns a fixed result without a store.
type fakeExecutor struct {
	result idempotency.Result
	send   bool
	sent   idempotency.SendOutcome
}

func (f *fakeExecutor) Do(
	ctx context.Context, _ idempotency.Key, _ idempotency.Digest,
	send func(context.Context) (idempotency.Answer, idempotency.SendOutcome),
) (idempotency.Result, error) {
	if f.send {
		f.result.Answer, f.sent = send(ctx)
	}
	return f.result, nil
}

func TestOnceCaller(t *testing.T) {
	tests := map[string]struct {
		script   []Certainty
		executor fakeExecutor
		sent     idempotency.SendOutcome
		failure  *Failure
	}{
		"answered":      {script: []Certainty{""}, executor: fakeExecutor{send: true, result: idempotency.Result{State: idempotency.StateDone}}, sent: idempotency.SendAnswered},
		"unanswered":    {script: []Certainty{Uncertain}, executor: fakeExecutor{send: true, result: idempotency.Result{State: idempotency.StateOutcomeUnknown, Reason: "no_answer"}}, sent: idempotency.SendUnknown, failure: &Failure{State: StateOutcomeUnknown, Reason: "no_answer"}},
		"never sent":    {script: []Certainty{CertainNotRun}, executor: fakeExecutor{send: true, result: idempotency.Result{State: idempotency.StateNotRun, Reason: "not_sent"}}, sent: idempotency.SendNotSent, failure: &Failure{State: StateNotRun, Reason: "not_sent"}},
		"service fails": {script: []Certainty{CertainFailed}, executor: fakeExecutor{send: true, result: idempotency.Result{State: idempotency.StateFailed, Reason: "service_failed"}}, sent: idempotency.SendAnswered, failure: &Failure{State: StateFailed, Reason: "service_failed"}},
		"store is out":  {script: []Certainty{""}, executor: fakeExecutor{result: idempotency.Result{State: idempotency.StateNotRun, Reason: "store_unavailable", EarlierUnknown: true}}, failure: &Failure{State: StateNotRun, Reason: "store_unavailable", EarlierUnknown: true}},
		"in progress":   {script: []Certainty{""}, executor: fakeExecutor{result: idempotency.Result{State: idempotency.StateInProgress, Reason: "in_progress"}}, failure: &Failure{State: StateOutcomeUnknown, Reason: "in_progress"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := &AtMostOnceCaller{Executor: &tc.executor, Next: newTestServiceDispatcher(&fakeServices{script: tc.script})}
				call := Call{ID: "c", Class: "filing", Pool: "s", AtMostOnce: true, Deadline: time.Now().Add(time.Minute)}
				_, err := caller.Call(t.Context(), call)
				checkServiceFailure(t, err, tc.failure)
				if tc.executor.sent != tc.sent {
					t.Errorf("got send outcome %q, want %q", tc.executor.sent, tc.sent)
				}
			})
		})
	}
}
