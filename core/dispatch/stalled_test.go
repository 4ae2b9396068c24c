package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/retry"
)

// stallReservations grants reservations whose attempts count as stalled after a time.
type stallReservations struct {
	fakeReservations
	stallAfter time.Duration
}

func (s *stallReservations) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	grant, err := s.fakeReservations.Reserve(ctx, request)
	grant.Predicted, grant.StallAfter = s.stallAfter/3, s.stallAfter
	return grant, err
}

// slowEngines delays the first token of the first attempts.
type slowEngines struct {
	*fakeEngines
	delays []time.Duration
	sent   int
}

func (s *slowEngines) Generate(ctx context.Context, attempt Attempt) (Stream, error) {
	stream, err := s.fakeEngines.Generate(ctx, attempt)
	if s.sent++; s.sent > len(s.delays) {
		return stream, err
	}
	select {
	case <-time.After(s.delays[s.sent-1]):
	case <-ctx.Done():
	}
	return stream, err
}

// TestStalledAttemptIsMoved guards against requests that wait for a slow endpoint until their deadline while others are
// free, and against moves that the retry budget, the route or the kind of the request doesn't allow.
func TestStalledAttemptIsMoved(t *testing.T) {
	const slow = 3 * time.Second
	tests := map[string]struct {
		change     func(r *Request)
		noBudget   bool
		stallAfter time.Duration
		delays     []time.Duration
		attempts   int
	}{
		"moved":                 {stallAfter: 600 * time.Millisecond, delays: []time.Duration{slow}, attempts: 2},
		"moved once":            {stallAfter: 600 * time.Millisecond, delays: []time.Duration{slow, slow}, attempts: 2},
		"in time":               {stallAfter: 600 * time.Millisecond, delays: []time.Duration{500 * time.Millisecond}, attempts: 1},
		"pool is not contended": {delays: []time.Duration{slow}, attempts: 1},
		"no retry budget":       {stallAfter: 600 * time.Millisecond, delays: []time.Duration{slow}, attempts: 1, noBudget: true},
		"not resumable": {
			stallAfter: 600 * time.Millisecond, delays: []time.Duration{slow}, attempts: 1,
			change: func(r *Request) { r.RetryPolicy = RetryFromStart },
		},
		"last attempt of the route": {
			stallAfter: 600 * time.Millisecond, delays: []time.Duration{slow}, attempts: 1,
			change: func(r *Request) { r.MaxAttempts = 1 },
		},
		"no time left": {
			stallAfter: 4500 * time.Millisecond, delays: []time.Duration{4800 * time.Millisecond}, attempts: 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &fakeEngines{script: []behavior{{}}}
				reservations := &stallReservations{stallAfter: tc.stallAfter}
				d := newTestDispatcher(engines, &reservations.fakeReservations)
				d.Reservations = reservations
				d.Engines = &slowEngines{fakeEngines: engines, delays: tc.delays}
				if tc.noBudget {
					d.Budget = &retry.Budget{}
					d.Budget.TryRetry()
				}
				request := newTestRequest()
				if tc.change != nil {
					tc.change(&request)
				}
				sink := &collector{}
				if err := d.Generate(t.Context(), request, sink); err != nil {
					t.Fatal(err)
				}
				if sink.text.String() != "abcdefghij" {
					t.Errorf("answer = %q, want the whole one", sink.text.String())
				}
				endpoints := make(map[fleet.EndpointID]bool)
				for _, a := range engines.attempts {
					endpoints[a.Endpoint.ID] = true
				}
				if len(engines.attempts) != tc.attempts || len(endpoints) != tc.attempts {
					t.Errorf("%d attempts on %d endpoints, want %d", len(engines.attempts), len(endpoints), tc.attempts)
				}
			})
		})
	}
}
