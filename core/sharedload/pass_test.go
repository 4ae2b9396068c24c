package sharedload

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
)

// countingViews counts the views that are taken, at least one for each evaluation of the endpoints.
type countingViews struct {
	views interface{ View() placement.View }
	count int
}

// View returns the view.
func (v *countingViews) View() placement.View {
	v.count++
	return v.views.View()
}

// TestCallsShareOnePass guards against a chooser that spends its time on evaluations: slots are free, but none of 300
// waiting requests accepts them, and others ask that are refused unless a slot is found for them.
func TestCallsShareOnePass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, pool := newWaitingLoad(Usage{Running: 1, Quick: 1, Memory: 14_000, PrefillTime: time.Minute})
		views := &countingViews{views: p.Chooser.Views}
		p.Chooser.Views = views
		time.Sleep(minPassInterval)
		var calls []*heldCall
		for range 100 {
			need := placement.Need{
				Pool: testPool.Name, PromptTokens: 5000, Objective: waitObjective, MayWait: true, ArrivedAt: time.Now(),
				LatestStart: time.Now().Add(waitObjective / 2), Account: "0",
			}
			calls = append(calls, &heldCall{need: need, pool: pool, record: func(Choice) {}, ctx: t.Context(), receivedAt: time.Now(), done: make(chan struct{})})
			p.startCall(calls[len(calls)-1])
		}
		if views.count > 1 {
			t.Errorf("%d evaluations for 100 calls at once, want one", views.count)
		}
		time.Sleep(passInterval)
		p.placeWaiting(time.Now())
		for _, c := range calls {
			if !c.hasEnded() || reasonOf(c.err) != reservation.ReasonWaitingFull {
				t.Fatalf("a request beyond the limit ended %t with %v, want a refusal by the next pass", c.hasEnded(), c.err)
			}
		}
	})
}

// TestFrozenLeaderPlacesNothing guards against a leader that wakes from a freeze with expired reports and places all
// requests on endpoints that are full.
func TestFrozenLeaderPlacesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := newWaitingFleet(t, 6)
		stop()
		leader := w.leader()
		pool := waitingTestPool()
		now := time.Now()
		call := &heldCall{pool: pool, record: func(Choice) {}, ctx: t.Context(), receivedAt: time.Now(), done: make(chan struct{}), need: placement.Need{
			Pool: testPool.Name, PromptTokens: 5000, Objective: waitObjective, MayWait: true, ArrivedAt: now,
			LatestStart: now.Add(time.Hour), Account: "0",
		}}
		leader.startCall(call)
		leader.waiting.ticker.Stop()
		time.Sleep(peerTTL * 3 / 2)
		leader.tick()
		if !call.hasEnded() || !call.choice.Waiting {
			t.Errorf("the held call ended %t with %v, want the reply that it waits", call.hasEnded(), call.choice.Endpoint)
		}
		next := &heldCall{pool: pool, need: call.need, record: call.record, ctx: t.Context(), receivedAt: time.Now(), done: make(chan struct{})}
		leader.startCall(next)
		if next.hasEnded() && !next.choice.Waiting {
			t.Errorf("the next call is placed at %s before the entries have reported again", next.choice.Endpoint)
		}
		time.Sleep(time.Second)
	})
}

// TestAbandonedCallsAreDropped guards against slots, rates and shares of accounts that are spent on requests whose entry no
// longer waits for the reply.
func TestAbandonedCallsAreDropped(t *testing.T) {
	tests := map[string]struct {
		age  time.Duration
		gone bool
	}{
		"entry gone":  {gone: true},
		"call is old": {age: chooseTimeout + time.Millisecond},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2)
				pool := waitingTestPool()
				f.policy.Pool = func(fleet.PoolName) (routing.Pool, bool) { return pool, true }
				p := f.reserver.Choosers
				ctx, cancel := context.WithCancel(t.Context())
				if tc.gone {
					cancel()
				}
				defer cancel()
				now := time.Now()
				call := &heldCall{
					pool: pool, ctx: ctx, receivedAt: now.Add(-tc.age), done: make(chan struct{}),
					record: func(c Choice) { t.Errorf("the request was placed at %s", c.Endpoint) },
					need: placement.Need{
						Pool: testPool.Name, PromptTokens: 5000, Objective: waitObjective, MayWait: true, ArrivedAt: now,
						LatestStart: now.Add(waitCallerTimeout), Account: "0",
					},
				}
				p.startCall(call)
				if !call.hasEnded() || !call.choice.Waiting {
					t.Errorf("the call ended %t with %v, want the reply that it waits", call.hasEnded(), call.choice)
				}
			})
		})
	}
}

// TestLongPromptsLeaveFreedSlots guards against long prompts that queue at engines and take the next slots that become
// free, while quick requests that are at least as urgent wait for them.
func TestLongPromptsLeaveFreedSlots(t *testing.T) {
	tests := map[string]struct {
		quick, long, running int
		want                 reservation.Reason
	}{
		"less urgent":                     {quick: 0, long: 2, running: 16, want: reservation.ReasonPoolBehind},
		"equally urgent":                  {quick: 1, long: 1, running: 16, want: reservation.ReasonPoolBehind},
		"more urgent":                     {quick: 2, long: 1, running: 16},
		"less urgent, but a slot is free": {quick: 0, long: 2, running: 15},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2)
				pool := waitingTestPool()
				f.policy.Pool = func(fleet.PoolName) (routing.Pool, bool) { return pool, true }
				f.addUsage(0, 2, Usage{Running: 16})
				p := f.reserver.Choosers
				now := time.Now()
				quick := placement.Need{
					Pool: testPool.Name, PromptTokens: 5000, Objective: waitObjective, MayWait: true, ArrivedAt: now,
					LatestStart: now.Add(waitCallerTimeout), Rank: tc.quick,
				}
				p.startCall(&heldCall{
					pool: pool, ctx: t.Context(), receivedAt: now, need: quick, record: func(Choice) {}, done: make(chan struct{}),
				})
				f.addUsage(0, 2, Usage{Running: tc.running})
				long := placement.Need{
					Pool: testPool.Name, PromptTokens: 45_000, MaxTokens: 1500, Objective: 8 * time.Second, Rank: tc.long,
				}
				_, err := p.choose(t.Context(), long, RoleLeader, func(Choice) {})
				if got := reasonOf(err); got != tc.want {
					t.Errorf("got %q, want %q", got, tc.want)
				}
				time.Sleep(waitCallerTimeout)
			})
		})
	}
}
