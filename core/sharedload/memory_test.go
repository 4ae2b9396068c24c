package sharedload

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// fakeMemory is a MemoryClient that records the leases at all helpers.
type fakeMemory struct {
	// refuse is the endpoint that refuses to reserve memory; loseReply is one that reserves it, but whose replies are
	// lost.
	refuse    fleet.EndpointID
	loseReply fleet.EndpointID
	// loseReleases is the number of releases at each helper that are lost.
	loseReleases int
	// onReserve is called with each request to reserve memory; nil means that nothing is called.
	onReserve func()

	mu          sync.Mutex
	leasedUntil map[string]time.Time
	requests    int
	releases    map[string]int
}

// Reserve reserves memory or renews the reservation.
func (m *fakeMemory) Reserve(_ context.Context, helper reservation.Helper, _ fleet.Tokens, ttl time.Duration) error {
	if m.onReserve != nil {
		m.onReserve()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests++
	if helper.Endpoint == m.refuse {
		return errors.New("no memory")
	}
	if m.leasedUntil == nil {
		m.leasedUntil = make(map[string]time.Time)
	}
	m.leasedUntil[helper.Ticket] = time.Now().Add(ttl)
	if helper.Endpoint == m.loseReply {
		return errors.New("no answer")
	}
	return nil
}

// Release releases reserved memory.
func (m *fakeMemory) Release(_ context.Context, helper reservation.Helper) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.releases == nil {
		m.releases = make(map[string]int)
	}
	m.releases[helper.Ticket]++
	if m.releases[helper.Ticket] <= m.loseReleases {
		return errors.New("no answer")
	}
	delete(m.leasedUntil, helper.Ticket)
	return nil
}

// heldLeases returns the number of leases that have not expired.
func (m *fakeMemory) heldLeases() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, until := range m.leasedUntil {
		if time.Now().Before(until) {
			count++
		}
	}
	return count
}

// hugeRequest fits into no single engine.
var hugeRequest = reservation.Request{
	Pool: testPool.Name, PromptTokens: 450_000, MaxTokens: 1000, Objective: archiveObjective,
}

// reserveHuge reserves endpoints for hugeRequest.
func reserveHuge(t *testing.T, f *testFleet) (reservation.Grant, error) {
	t.Helper()
	return f.reserver.Reserve(context.Background(), hugeRequest)
}

func TestMemoryAtHelpersIsHeldAndGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return f.reserver.Leases.Run(ctx) })
		grant, err := reserveHuge(t, f)
		if err != nil {
			t.Fatal(err)
		}
		tickets := make(map[string]bool)
		for _, h := range grant.Helpers {
			if h.Ticket != "" {
				tickets[h.Ticket] = true
			}
		}
		if len(tickets) == 0 || f.memory.heldLeases() != len(tickets) {
			t.Fatalf("%d tickets in the grant, %d leases held", len(tickets), f.memory.heldLeases())
		}
		// Sleep for several lease times.
		time.Sleep(10 * time.Second)
		if f.memory.heldLeases() != len(tickets) {
			t.Errorf("%d leases held after 10s, want %d", f.memory.heldLeases(), len(tickets))
		}
		_ = f.reserver.Release(ctx, reservation.Release{Reservation: grant.Reservation})
		time.Sleep(time.Second)
		if f.memory.heldLeases() != 0 {
			t.Errorf("%d leases held 1s after the release, want 0", f.memory.heldLeases())
		}
		if totals := f.policy.Usages.Totals(time.Now()); len(totals) != 0 {
			t.Errorf("usage after the release = %v, want none", totals)
		}
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestLostReleaseIsRepeated guards against memory that stays reserved until its lease expires, since the order that releases it
// was lost.
func TestLostReleaseIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		f.memory.loseReleases = 1
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return f.reserver.Leases.Run(ctx) })
		grant, err := reserveHuge(t, f)
		if err != nil {
			t.Fatal(err)
		}
		_ = f.reserver.Release(ctx, reservation.Release{Reservation: grant.Reservation})
		time.Sleep(time.Second)
		if f.memory.heldLeases() != 0 {
			t.Errorf("%d leases held 1s after the release, want 0", f.memory.heldLeases())
		}
		stop()
		_ = group.Wait()
	})
}

// TestMemoryAtHelpersEndsWithTheEntry covers an entry that is killed and stops renewing: its leases end before the
// memory counts as leaked.
func TestMemoryAtHelpersEndsWithTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const leakTime = 4 * time.Second
		f := newFleet(8)
		if _, err := reserveHuge(t, f); err != nil {
			t.Fatal(err)
		}
		time.Sleep(leakTime)
		if f.memory.heldLeases() != 0 {
			t.Errorf("%d leases held %v after the entry died, want 0", f.memory.heldLeases(), leakTime)
		}
	})
}

func TestMemoryAtHelpersIsAllOrNone(t *testing.T) {
	tests := map[string]func(m *fakeMemory, id fleet.EndpointID){
		"refused":     func(m *fakeMemory, id fleet.EndpointID) { m.refuse = id },
		"answer lost": func(m *fakeMemory, id fleet.EndpointID) { m.loseReply = id },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				states := f.endpointStates()
				plan, found := planPrefill(testPool, states, hugeRequest.PromptTokens, hugeRequest.MaxTokens, archiveObjective)
				if !found {
					t.Fatal("no plan")
				}
				for i, size := range plan.helperMemory {
					if size > 0 {
						fail(f.memory, plan.helpers[i].endpoint.ID)
					}
				}
				_, err := reserveHuge(t, f)
				var refusal *reservation.Refusal
				if !errors.As(err, &refusal) || refusal.Reason != reservation.ReasonNoMemory {
					t.Fatalf("error = %v, want a refusal with ReasonNoMemory", err)
				}
				f.reserver.Leases.maintain(t.Context(), time.Now())
				if f.memory.heldLeases() != 0 || len(f.policy.Usages.Totals(time.Now())) != 0 {
					t.Errorf("%d leases and usage %v left, want none", f.memory.heldLeases(), f.policy.Usages.Totals(time.Now()))
				}
			})
		})
	}
}
