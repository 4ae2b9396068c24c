package sharedload

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
)

// reasonOf returns the reason of a refusal, or "".
func reasonOf(err error) reservation.Reason {
	var refusal *reservation.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

// TestChooserFailsWithWaitingRequests guards against requests that are lost, placed twice, held beyond their time or
// overtaken by much younger ones because their chooser died or froze while a hundred of them waited.
func TestChooserFailsWithWaitingRequests(t *testing.T) {
	const requests = 100
	tests := map[string]func(n *waitNetwork, p *ChooserSet){"dies": (*waitNetwork).kill, "freezes": (*waitNetwork).freeze}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, stop := newWaitingFleet(t, 12)
				leader := w.leader()
				for i := range requests {
					p := w.entries[i%len(w.entries)]
					if p == leader {
						p = w.entries[(i+1)%len(w.entries)]
					}
					w.add(t.Context(), p, 800*time.Millisecond)
					time.Sleep(3 * time.Millisecond)
				}
				// The others are between two calls.
				got, want := waitingAt(leader), int(requests*0.9*holdTime.Seconds()/askInterval.Seconds())
				if ended := w.ended(); got < want || ended > 0 {
					t.Fatalf("%d requests wait at the leader and %d ended, want %d and none", got, ended, want)
				}
				fail(w.network, leader)
				// By then, no request can meet its objective, so that all are ordered by age.
				time.Sleep(waitObjective)
				for range testPool.Engine.Slots {
					w.occupy(-1)
					time.Sleep(20 * time.Millisecond)
				}
				_ = w.requests.Wait()
				stop()
				placed := 0
				for _, r := range w.results {
					if r.err == nil {
						placed++
					}
					if r.endedAt.Sub(r.arrivedAt) > waitCallerTimeout {
						t.Errorf("a request ended %v after its arrival, want at most %v", r.endedAt.Sub(r.arrivedAt), waitCallerTimeout)
					}
				}
				for _, r := range w.results {
					for _, later := range w.results {
						overtaken := later.arrivedAt.Before(r.arrivedAt.Add(-2*chooseTimeout)) && later.endedAt.After(r.endedAt)
						if r.err == nil && later.err == nil && overtaken {
							t.Fatalf("a request overtook one that arrived %v earlier", r.arrivedAt.Sub(later.arrivedAt))
						}
					}
				}
				if placed != requests {
					t.Errorf("%d of %d requests were placed, want all, since slots became free in time", placed, requests)
				}
				for id, most := range w.most {
					if most > testPool.Engine.Slots {
						t.Errorf("%s ran %d attempts at once, want at most its slots", id, most)
					}
				}
			})
		})
	}
}

// TestMixedVersions guards against requests that wait in vain between entries of different versions: both a chooser
// that doesn't know may_wait and an entry that doesn't set it place the request at once.
func TestMixedVersions(t *testing.T) {
	tests := map[string]struct{ oldChooser, oldEntry bool }{"old chooser": {oldChooser: true}, "old entry": {oldEntry: true}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, stop := newWaitingFleet(t, 6)
				defer stop()
				w.network.legacy[w.leader().Self.Address] = tc.oldChooser
				request := waitRequest(0)
				request.MayWait = !tc.oldEntry
				startedAt := time.Now()
				grant, err := w.reservers[w.follower().Self.ID].Reserve(t.Context(), request)
				if err != nil || time.Since(startedAt) > 0 || grant.Owner != w.leader().Self.ID {
					t.Errorf("got %v by %q after %v, want a placement by the leader at once", err, grant.Owner, time.Since(startedAt))
				}
			})
		})
	}
}

// TestTwoChoosers guards against a request that is placed by both choosers, or by none, while two are active at once.
func TestTwoChoosers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := newWaitingFleet(t, 8)
		leader := w.leader()
		w.network.separate(func(from fleet.EntryID, to netip.AddrPort) bool {
			return to == leader.Self.Address && leader.Self.ID != from && from[len(from)-1]%2 == 0
		})
		time.Sleep(time.Second)
		if got := len(leaders(w.entries)); got < 2 {
			t.Fatalf("got %d leaders, want two", got)
		}
		for i := range 40 {
			w.add(t.Context(), w.entries[i%len(w.entries)], time.Second)
		}
		time.Sleep(100 * time.Millisecond)
		w.occupy(-testPool.Engine.Slots)
		_ = w.requests.Wait()
		time.Sleep(peerTTL)
		for _, r := range w.results {
			if r.err != nil {
				t.Errorf("got %v, want each request placed", r.err)
			}
		}
		for _, p := range w.entries {
			for id, u := range p.Usages.Own() {
				if u != (Usage{}) {
					t.Errorf("%s still counts %d attempts at %s", p.Self.ID, u.Running, id)
				}
			}
			if got := waitingAt(p); got != 0 {
				t.Errorf("%d requests still wait at %s", got, p.Self.ID)
			}
		}
		stop()
	})
}

// TestWaitEnds guards against requests that stay in the queue although their caller has left or their entry stops, and
// against bodies that fill the memory of an entry.
func TestWaitEnds(t *testing.T) {
	tests := map[string]struct {
		prepare func(g *Reserver, request *reservation.Request) (end func())
		leaves  bool
		want    reservation.Reason
		within  time.Duration
	}{
		"the caller leaves": {
			leaves: true,
			want:   reservation.ReasonUnreachable,
		},
		"the entry stops": {
			prepare: func(g *Reserver, _ *reservation.Request) (end func()) {
				g.Draining, end = context.WithCancel(context.Background())
				return end
			},
			want: reservation.ReasonEntryStopping,
		},
		"the memory is used": {
			prepare: func(g *Reserver, request *reservation.Request) (end func()) {
				g.WaitMemory, request.BodyBytes = semaphore.NewWeighted(20_000), 20_001
				return nil
			},
			want:   reservation.ReasonWaitingMemory,
			within: holdTime,
		},
		"the time is over": {want: reservation.ReasonWaitTooLong, within: waitCallerTimeout},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, stop := newWaitingFleet(t, 6)
				defer stop()
				reserver, request := w.reservers[w.follower().Self.ID], waitRequest(0)
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				var end func()
				if tc.leaves {
					end = leave
				}
				if tc.prepare != nil {
					end = tc.prepare(reserver, &request)
				}
				var got error
				w.requests.Go(func() error {
					_, got = reserver.Reserve(ctx, request)
					return nil
				})
				if end != nil {
					time.Sleep(200 * time.Millisecond)
					if waitingAt(w.leader()) != 1 {
						t.Fatal("the request does not wait")
					}
				}
				endedAt := time.Now()
				if end != nil {
					end()
				}
				_ = w.requests.Wait()
				if took := time.Since(endedAt); reasonOf(got) != tc.want || took > tc.within {
					t.Errorf("got %v after %v, want %s within %v", got, took, tc.want, tc.within)
				}
				synctest.Wait()
				if waitingAt(w.leader()) != 0 {
					t.Error("the request still waits at the leader")
				}
			})
		})
	}
}

// TestCostOfWaiting guards against a flood of messages by waiting requests: each may cost 12.5 messages a second.
func TestCostOfWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, stop := newWaitingFleet(t, 6)
		defer stop()
		leader := w.leader()
		messages := func() int {
			w.network.testNetwork.mu.Lock()
			defer w.network.testNetwork.mu.Unlock()
			return w.network.chooseRequests[leader.Self.Address]
		}
		for range 10 {
			w.add(t.Context(), w.follower(), time.Second)
		}
		time.Sleep(holdTime / 2)
		before := messages()
		const span = 10 * askInterval
		time.Sleep(span)
		if got, limit := messages()-before, int(10*12.5*span.Seconds()); got > limit || waitingAt(leader) != 10 {
			t.Errorf("%d waiting requests cost %d messages in %v, want %d for ten", waitingAt(leader), got, span, limit)
		}
		w.occupy(-testPool.Engine.Slots)
		_ = w.requests.Wait()
	})
}

// TestWaitingHidesNoChoices guards against choices that count twice at the chooser, as pending and as reported, because
// an earlier request of the same entry still waits.
func TestWaitingHidesNoChoices(t *testing.T) {
	b := &UsageTable{}
	now := time.Now()
	usages := map[fleet.EndpointID]Usage{"i-00": {Running: 1}}
	b.AddPending("entry-1", 8, usages, now)
	b.AddPending("entry-1", 9, usages, now)
	b.UpdatePeer("entry-1", usages, 6, now)
	b.DropSettled("entry-1", 9, []uint64{7, 9})
	if got := b.Totals(now)["i-00"].Running; got != 2 {
		t.Errorf("got %d attempts, want the reported one and the outstanding choice", got)
	}
}

// TestPlacementOfWaiting guards against quick requests that queue at an engine although they could wait for a better
// one, and against waiting that gains nothing.
func TestPlacementOfWaiting(t *testing.T) {
	full := Usage{Running: 16, Quick: 16}
	tests := map[string]struct {
		usage   Usage
		arrived time.Duration
		want    bool
	}{
		"idle":                                  {want: true},
		"last slot":                             {usage: Usage{Running: 15, Quick: 15}, want: true},
		"no slot":                               {usage: full},
		"backlog of others":                     {usage: Usage{Running: 3, PrefillTime: 400 * time.Millisecond}},
		"late, short backlog":                   {usage: Usage{Running: 3, PrefillTime: 100 * time.Millisecond}, arrived: 500 * time.Millisecond, want: true},
		"late, long backlog":                    {usage: Usage{Running: 3, PrefillTime: 200 * time.Millisecond}, arrived: 500 * time.Millisecond},
		"last chance":                           {usage: Usage{Running: 3, PrefillTime: 200 * time.Millisecond}, arrived: 1710 * time.Millisecond, want: true},
		"in time nowhere, even when it is idle": {usage: Usage{Running: 3, Memory: 3_000_000, PrefillTime: 400 * time.Millisecond}, want: true},
		"in time nowhere, but without a free slot": {usage: Usage{Running: 16, Memory: 3_000_000}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(2)
				pool := waitingTestPool()
				f.policy.Pool = func(fleet.PoolName) (routing.Pool, bool) { return pool, true }
				f.addUsage(0, 2, tc.usage)
				need := placement.Need{
					Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500, Objective: waitObjective, MayWait: true,
					ArrivedAt: time.Now().Add(-tc.arrived), LatestStart: time.Now().Add(waitCallerTimeout - tc.arrived),
				}
				startedAt := time.Now()
				choice, settle, err := f.reserver.Choosers.Choose(t.Context(), need)
				if err != nil {
					t.Fatal(err)
				}
				settle()
				if placed := !choice.Waiting && time.Since(startedAt) == 0; placed != tc.want {
					t.Errorf("placed at once %t, want %t", placed, tc.want)
				}
			})
		})
	}
}
