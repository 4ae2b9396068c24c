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

// fakeMemory holds the memory at helpers under its leases.
type fakeMemory struct {
	// refuse lets an order at an endpoint fail; lost lets it fail though it is carried out.
	refuse fleet.EndpointID
	lost   fleet.EndpointID

	mu     sync.Mutex
	until  map[string]time.Time
	orders int
}

// Reserve takes or renews memory.
func (m *fakeMemory) Reserve(_ context.Context, helper reservation.Helper, _ fleet.Tokens, hold time.Duration) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.orders++
	if helper.Endpoint == m.refuse {
		return errors.New("no memory")
	}
	if m.until == nil {
		m.until = make(map[string]time.Time)
	}
	m.until[helper.Ticket] = time.Now().Add(hold)
	if helper.Endpoint == m.lost {
		return errors.New("no answer")
	}
	return nil
}

// Release gives memory back.
func (m *fakeMemory) Release(_ context.Context, helper reservation.Helper) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.until, helper.Ticket)
	return nil
}

// held returns the number of leases that hold.
func (m *fakeMemory) held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, until := range m.until {
		if time.Now().Before(until) {
			count++
		}
	}
	return count
}

// hugeRequest does not fit into any engine.
var hugeRequest = reservation.Request{Pool: testPool.Name, PromptTokens: 450_000, MaxTokens: 1000, Objective: archiveObjective}

// reserveHuge asks for the best place of the huge request.
func reserveHuge(t *testing.T, f *testFleet) (reservation.Grant, error) {
	t.Helper()
	return f.granter.Reserve(context.Background(), hugeRequest)
}

func TestMemoryAtHelpersIsHeldAndGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8)
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return f.granter.Leases.Run(ctx) })
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
		if len(tickets) == 0 || f.memory.held() != len(tickets) {
			t.Fatalf("%d tickets in the grant, %d held", len(tickets), f.memory.held())
		}
		// Longer than several leases.
		time.Sleep(10 * time.Second)
		if f.memory.held() != len(tickets) {
			t.Errorf("%d tickets held after ten seconds, want %d", f.memory.held(), len(tickets))
		}
		_ = f.granter.Release(ctx, reservation.Release{Reservation: grant.Reservation})
		time.Sleep(time.Second)
		if f.memory.held() != 0 {
			t.Errorf("%d tickets held a second after the attempt", f.memory.held())
		}
		if totals := f.policy.Usages.Totals(time.Now()); len(totals) != 0 {
			t.Errorf("usage left behind: %v", totals)
		}
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// TestMemoryAtHelpersEndsWithTheEntry stops renewing, as a killed entry does: leases end before memory counts as leaked.
func TestMemoryAtHelpersEndsWithTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const leakTime = 4 * time.Second
		f := newFleet(8)
		if _, err := reserveHuge(t, f); err != nil {
			t.Fatal(err)
		}
		time.Sleep(leakTime)
		if f.memory.held() != 0 {
			t.Errorf("%d tickets held %v after the entry died", f.memory.held(), leakTime)
		}
	})
}

func TestMemoryAtHelpersIsAllOrNone(t *testing.T) {
	tests := map[string]func(m *fakeMemory, id fleet.EndpointID){
		"refused":     func(m *fakeMemory, id fleet.EndpointID) { m.refuse = id },
		"answer lost": func(m *fakeMemory, id fleet.EndpointID) { m.lost = id },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				states := f.states()
				plan, found := planReading(testPool, states, hugeRequest.PromptTokens, hugeRequest.MaxTokens, archiveObjective)
				if !found {
					t.Fatal("no plan")
				}
				for i, size := range plan.stored {
					if size > 0 {
						fail(f.memory, plan.helpers[i].endpoint.ID)
					}
				}
				_, err := reserveHuge(t, f)
				var refusal *reservation.Refusal
				if !errors.As(err, &refusal) || refusal.Reason != reservation.ReasonNoMemory {
					t.Fatalf("error = %v, want a refusal for memory", err)
				}
				f.granter.Leases.tick(t.Context(), time.Now())
				if f.memory.held() != 0 || len(f.policy.Usages.Totals(time.Now())) != 0 {
					t.Errorf("%d tickets and usage %v left", f.memory.held(), f.policy.Usages.Totals(time.Now()))
				}
			})
		})
	}
}
