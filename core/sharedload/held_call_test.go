package sharedload

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

// TestHeldCallsOnSlowLink guards against a leader that counts as down because the replies to held calls are late: the
// zones are 4.9 ms apart, connections are dialled anew, and the entries answer 15 ms late.
func TestHeldCallsOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := newWaitingFleet(t, 6)
		const oneWay, busy = 4900 * time.Microsecond, 15 * time.Millisecond
		w.network.callTime, w.network.replyTime = 3*oneWay, oneWay+busy
		leader, follower := w.leader(), w.follower()
		for range 10 {
			w.add(t.Context(), follower, time.Second)
		}
		for range 15 {
			time.Sleep(chooseTimeout)
			if got := follower.roleChoosers()[0].entry.ID; got != leader.Self.ID {
				t.Fatalf("the requests wait at %s, want the leader %s", got, leader.Self.ID)
			}
		}
		w.occupy(-testPool.Engine.Slots)
		_ = w.requests.Wait()
		stop()
	})
}

// TestOneMissedCall guards against a queue that is split between two choosers by one late reply; the request itself goes
// on at the successor, and a second missed call in a row makes the successor the leader.
func TestOneMissedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := newWaitingFleet(t, 6)
		leader, follower := w.leader(), w.follower()
		ask := func() fleet.EntryID {
			now := time.Now()
			choice, settle, err := follower.Choose(t.Context(), placement.Need{
				Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500, Objective: waitObjective, MayWait: true,
				ArrivedAt: now, LatestStart: now.Add(waitCallerTimeout),
			})
			if err != nil {
				t.Fatal(err)
			}
			settle()
			return choice.Chooser
		}
		w.network.setSilent(leader, true)
		if got := ask(); got == leader.Self.ID || got == follower.Self.ID {
			t.Errorf("the request waits at %s, want the successor of the leader", got)
		}
		w.network.setSilent(leader, false)
		if got := ask(); got != leader.Self.ID {
			t.Errorf("the next request waits at %s, want the leader %s", got, leader.Self.ID)
		}
		w.network.setSilent(leader, true)
		ask()
		ask()
		if got := follower.roleChoosers()[0].entry.ID; got == leader.Self.ID {
			t.Error("the leader still chooses after two missed calls in a row")
		}
		w.network.setSilent(leader, false)
		stop()
	})
}

// excludedRecorder records the endpoints that choose requests exclude.
type excludedRecorder struct {
	Transport
	excluded []map[fleet.EndpointID]bool
}

// Choose records and forwards a choose request.
func (r *excludedRecorder) Choose(ctx context.Context, to netip.AddrPort, request ChooseRequest) (Choice, error) {
	r.excluded = append(r.excluded, request.Need.Excluded)
	return r.Transport.Choose(ctx, to, request)
}

// TestWaitKeepsExclusions guards against a choice of an endpoint that the entry doesn't know, which was made before and is
// made again after the request has waited.
func TestWaitKeepsExclusions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := newWaitingFleet(t, 6)
		defer stop()
		follower := w.follower()
		recorder := &excludedRecorder{Transport: follower.Transport}
		follower.Transport = recorder
		request := waitRequest(0)
		ctx, cancel := context.WithTimeout(t.Context(), 3*askInterval)
		defer cancel()
		_, _, err := w.reservers[follower.Self.ID].await(ctx, request, placement.Need{
			Pool: request.Pool, PromptTokens: request.PromptTokens, Objective: request.Objective, MayWait: true,
			ArrivedAt: request.ArrivedAt, LatestStart: request.LatestStart, Excluded: map[fleet.EndpointID]bool{"unknown": true},
		})
		if reasonOf(err) != reservation.ReasonUnreachable || len(recorder.excluded) < 3 {
			t.Fatalf("got %v after %d calls, want the end of the caller's time after three", err, len(recorder.excluded))
		}
		for i, excluded := range recorder.excluded {
			if !excluded["unknown"] {
				t.Errorf("call %d does not exclude the endpoint that the entry doesn't know", i)
			}
		}
	})
}
