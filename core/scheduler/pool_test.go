package scheduler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
)

var _ dispatch.ReservationClient = (*Pool)(nil)

// idleLister implements ledger.Lister for an endpoint that runs nothing.
type idleLister struct{}

// List returns an empty listing of the first incarnation.
func (idleLister) List(context.Context, fleet.Endpoint) (ledger.Listing, error) {
	return ledger.Listing{Incarnation: 1}, nil
}

// Cancel confirms the cancellation.
func (idleLister) Cancel(context.Context, fleet.Endpoint, fleet.AttemptID) error {
	return nil
}

// poolEndpoint is the endpoint of the pool tests.
var poolEndpoint = fleet.Endpoint{ID: "engine-1", State: fleet.StateLive, Memory: 100_000}

// poolRequest returns a request for the endpoint of the pool tests.
func poolRequest(prompt fleet.Tokens) reservation.Request {
	return reservation.Request{
		Endpoint:           poolEndpoint.ID,
		Request:            "request",
		Attempt:            "request.1",
		Account:            "account",
		Weight:             1,
		PromptTokens:       prompt,
		MaxTokens:          100,
		FirstTokenDeadline: time.Now().Add(20 * time.Second),
		Deadline:           time.Now().Add(time.Minute),
	}
}

// withPool runs a test in virtual time on a pool that owns one warm endpoint.
func withPool(t *testing.T, test func(ctx context.Context, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		p := &Pool{Entry: "entry-1", Lister: idleLister{}}
		group, ctx := errgroup.WithContext(ctx)
		group.Go(func() error { return p.Run(ctx) })
		handover := &Handover{}
		handover.Warmth.Incarnation = 1
		p.Acquire(poolEndpoint, 1, Takeover{Handover: handover})
		synctest.Wait()
		test(ctx, p)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// assertReason asserts that an error is a refusal with the given reason.
func assertReason(t *testing.T, err error, want reservation.Reason) {
	t.Helper()
	var refusal *reservation.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != want {
		t.Errorf("got %v, want a refusal with reason %s", err, want)
	}
}

// TestPoolRefusals asserts the reason for which each kind of request is refused.
func TestPoolRefusals(t *testing.T) {
	tests := map[string]struct {
		prepare func(p *Pool)
		change  func(r *reservation.Request)
		want    reservation.Reason
	}{
		"unknown endpoint": {change: func(r *reservation.Request) { r.Endpoint = "other" }, want: reservation.ReasonNotOwner},
		"too large": {
			change: func(r *reservation.Request) { r.PromptTokens = 100_000 }, want: reservation.ReasonTooLarge},
		"too late": {
			change: func(r *reservation.Request) { r.FirstTokenDeadline = time.Now() }, want: reservation.ReasonTooLate},
		"no time to finish": {
			change: func(r *reservation.Request) { r.Deadline = time.Now().Add(time.Second) },
			want:   reservation.ReasonTooLate,
		},
		"suspended": {prepare: (*Pool).Suspend, want: reservation.ReasonNotOwner},
		"resumed but not owned again": {
			prepare: func(p *Pool) { p.Suspend(); p.Resume() },
			want:    reservation.ReasonNotOwner,
		},
		"disowned": {prepare: func(p *Pool) { p.Relinquish(poolEndpoint.ID) }, want: reservation.ReasonNotOwner},
		"leaving": {
			prepare: func(p *Pool) {
				leaving := poolEndpoint
				leaving.State = fleet.StateLeaving
				p.Update(leaving)
			},
			want: reservation.ReasonLeaving,
		},
		"not listed yet": {
			prepare: func(p *Pool) { p.Acquire(poolEndpoint, 2, Takeover{Resync: true}) },
			want:    reservation.ReasonResynchronizing,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			withPool(t, func(ctx context.Context, p *Pool) {
				if tc.prepare != nil {
					tc.prepare(p)
				}
				r := poolRequest(1_000)
				if tc.change != nil {
					tc.change(&r)
				}
				_, err := p.Reserve(ctx, r)
				assertReason(t, err, tc.want)
			})
		})
	}
}

// TestPoolGenerations asserts that a repeated release of an older generation is refused and does not free the memory of
// the newer one.
func TestPoolGenerations(t *testing.T) {
	withPool(t, func(ctx context.Context, p *Pool) {
		first, err := p.Reserve(ctx, poolRequest(1_000))
		if err != nil {
			t.Fatal(err)
		}
		second, err := p.Reserve(ctx, poolRequest(2_000))
		if err != nil {
			t.Fatal(err)
		}
		if err := p.Release(ctx, unusedRelease(first)); err != nil {
			t.Error(err)
		}
		assertReason(t, p.Release(ctx, unusedRelease(first)), reservation.ReasonUnknownReservation)
		if used := p.Status()[0].Used; used != 2_100 {
			t.Errorf("got %d tokens used, want 2100", used)
		}
		if err := p.Release(ctx, unusedRelease(second)); err != nil {
			t.Error(err)
		}
	})
}

// TestPoolQueue asserts that a request waits for memory, that a withdrawn one leaves the queue, and that queued
// requests are refused immediately when the endpoint is relinquished.
func TestPoolQueue(t *testing.T) {
	withPool(t, func(ctx context.Context, p *Pool) {
		active, err := p.Reserve(ctx, poolRequest(90_000))
		if err != nil {
			t.Fatal(err)
		}
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := p.Reserve(short, poolRequest(60_000)); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v, want the error of the context", err)
		}
		group, groupCtx := errgroup.WithContext(ctx)
		group.Go(func() error {
			_, err := p.Reserve(groupCtx, poolRequest(60_000))
			assertReason(t, err, reservation.ReasonNotOwner)
			return nil
		})
		synctest.Wait()
		if queue := p.Status()[0].Queue; queue != 1 {
			t.Errorf("got %d queued requests, want 1", queue)
		}
		handover := p.Relinquish(poolEndpoint.ID)
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if len(handover.Reservations) != 1 || handover.Reservations[0].Key.Generation != active.Generation {
			t.Errorf("got reservations %v in the handover, want only the active one", handover.Reservations)
		}
	})
}

// TestPoolExpiry asserts that the memory of a reservation that is neither renewed nor released is free after 30
// seconds, as when its entry dies.
func TestPoolExpiry(t *testing.T) {
	withPool(t, func(ctx context.Context, p *Pool) {
		if _, err := p.Reserve(ctx, poolRequest(1_000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(30 * time.Second)
		if used := p.Status()[0].Used; used != 0 {
			t.Errorf("got %d tokens used, want 0", used)
		}
	})
}

// TestPoolResync asserts that grants on an endpoint start again once it has been acquired with resynchronization after
// a suspension.
func TestPoolResync(t *testing.T) {
	withPool(t, func(ctx context.Context, p *Pool) {
		p.Suspend()
		p.Resume()
		p.Acquire(poolEndpoint, 2, Takeover{Resync: true})
		time.Sleep(30 * time.Second)
		grant, err := p.Reserve(ctx, poolRequest(1_000))
		if err != nil {
			t.Fatal(err)
		}
		if grant.Fence != 2 {
			t.Errorf("got a grant with fence %d, want 2", grant.Fence)
		}
	})
}
