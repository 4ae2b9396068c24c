package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/reservation"
)

// waitingReservations grants a reservation after a wait, or refuses it then with err.
type waitingReservations struct {
	fakeReservations
	wait time.Duration
	err  error
}

// Reserve waits and then grants or refuses the reservation.
func (w *waitingReservations) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	time.Sleep(w.wait)
	if w.err != nil {
		return reservation.Grant{}, w.err
	}
	grant, err := w.fakeReservations.Reserve(ctx, request)
	grant.Waited = w.wait
	return grant, err
}

// TestEndsOfWait guards against requests that are sent although their key was revoked, their entry was frozen or their
// deadline passed while they waited, and against answers to callers that don't say so.
func TestEndsOfWait(t *testing.T) {
	full := &reservation.Refusal{Reason: reservation.ReasonWaitingFull, RetryAfter: 321 * time.Millisecond}
	tests := map[string]struct {
		wait    time.Duration
		err     error
		reason  string
		timeout time.Duration
		want    *Failure
	}{
		"in time":     {wait: 1900 * time.Millisecond},
		"key revoked": {wait: 100 * time.Millisecond, reason: "unknown_key", want: &Failure{State: StateNotRun, Reason: "unknown_key"}},
		"frozen for too long": {
			wait: 2001 * time.Millisecond,
			want: &Failure{State: StateNotRun, Reason: "wait_too_long", RetryAfter: lateRetryAfter},
		},
		"deadline passed": {wait: 600 * time.Millisecond, timeout: 500 * time.Millisecond, want: &Failure{State: StateNotRun, Reason: ReasonTimeout}},
		"refused by the queue": {
			wait: 10 * time.Millisecond, err: full,
			want: &Failure{State: StateNotRun, Reason: "waiting_full", RetryAfter: full.RetryAfter},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines, reservations := &fakeEngines{script: []behavior{{}}}, &waitingReservations{wait: tc.wait, err: tc.err}
				d := newTestDispatcher(engines, &reservations.fakeReservations)
				d.Reservations = reservations
				request := newTestRequest()
				request.Objective, request.PauseObjective = 300*time.Millisecond, 200*time.Millisecond
				request.Revalidate = func() string { return tc.reason }
				if tc.timeout > 0 {
					request.Deadline = time.Now().Add(tc.timeout)
					request.FirstTokenDeadline = request.Deadline
				}
				err := d.Generate(t.Context(), request, &collector{})
				if tc.want == nil {
					if err != nil {
						t.Errorf("got %v, want an answer", err)
					}
					return
				}
				var got *Failure
				if !errors.As(err, &got) || got.State != tc.want.State || got.Reason != tc.want.Reason {
					t.Fatalf("got %v, want %v", err, tc.want)
				}
				if tc.want.Reason != ReasonTimeout && got.RetryAfter != tc.want.RetryAfter {
					t.Errorf("got retry after %v, want %v", got.RetryAfter, tc.want.RetryAfter)
				}
				if len(engines.attempts) > 0 || len(reservations.released) != len(reservations.requests) {
					t.Errorf("got %d attempts and %d releases of %d reservations, want none sent and all released",
						len(engines.attempts), len(reservations.released), len(reservations.requests))
				}
			})
		})
	}
}

// TestStartedRequestsDoNotWait guards against a request that waits, and may then be refused, although its caller has a
// part of the answer.
func TestStartedRequestsDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reservations := &fakeReservations{}
		d := newTestDispatcher(&fakeEngines{script: []behavior{{tokens: 4}, {}}}, reservations)
		request := newTestRequest()
		request.Objective = 300 * time.Millisecond
		if err := d.Generate(t.Context(), request, &collector{}); err != nil {
			t.Fatal(err)
		}
		if first, second := reservations.requests[0], reservations.requests[1]; !first.MayWait || second.MayWait {
			t.Errorf("first reservation may wait %t, second %t; want only the first", first.MayWait, second.MayWait)
		}
		if got, want := reservations.requests[0].LatestStart.Sub(reservations.requests[0].ArrivedAt), minCallerTimeout; got != want {
			t.Errorf("got latest start after %v, want %v", got, want)
		}
	})
}

// TestForwardedRequestsDoNotWait guards against a request that is sent after its key was revoked while it waited at an
// entry that can't check it.
func TestForwardedRequestsDoNotWait(t *testing.T) {
	reservations := &fakeReservations{}
	d := newTestDispatcher(&fakeEngines{script: []behavior{{}}}, reservations)
	request := newTestRequest()
	request.Objective, request.ForwardedBy = 300*time.Millisecond, "entry-2"
	if err := d.Generate(t.Context(), request, &collector{}); err != nil {
		t.Fatal(err)
	}
	if reservations.requests[0].MayWait {
		t.Error("the reservation of a forwarded request may wait, want not")
	}
}
