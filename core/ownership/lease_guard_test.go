package ownership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/membership"
	"wisteriadyke/core/reservation"
)

// fakeOwner grants every request after a delay and counts the releases.
type fakeOwner struct {
	delay    time.Duration
	released int
}

func (g *fakeOwner) Reserve(_ context.Context, r reservation.Request) (reservation.Grant, error) {
	time.Sleep(g.delay)
	return reservation.Grant{Endpoint: r.Endpoint}, nil
}

func (g *fakeOwner) Renew(context.Context, reservation.Progress) error { return nil }

func (g *fakeOwner) Release(context.Context, reservation.Release) error {
	g.released++
	return nil
}

// TestGateGrantsNothingAfterAFreeze asserts that a request gets no grant if the lease lapses before it or while it
// waits, even though no controller has run since, and that a grant made meanwhile is released.
func TestGateGrantsNothingAfterAFreeze(t *testing.T) {
	tests := map[string]struct {
		frozenBefore, frozenInside time.Duration
		granted                    bool
		released                   int
	}{
		"not frozen":                     {granted: true},
		"frozen before the request":      {frozenBefore: 2 * membership.LeaseDuration},
		"frozen while the request waits": {frozenInside: 2 * membership.LeaseDuration, released: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				z := newZone(1, 1, 1)
				n := z.nodes[0]
				z.run(t, func(func(*node)) { time.Sleep(10*time.Second + 100*time.Millisecond) })
				// No controller runs from here on, as in a frozen process.
				owner := &fakeOwner{delay: tc.frozenInside}
				guard := &LeaseGuard{Owner: owner, Entry: n.ownership.Entry, Active: n.ownership.Active}
				time.Sleep(tc.frozenBefore)
				_, err := guard.Reserve(t.Context(), reservation.Request{Endpoint: z.endpoints[0]})
				if granted := err == nil; granted != tc.granted {
					t.Errorf("granted = %t (error %v), want %t", granted, err, tc.granted)
				}
				if owner.released != tc.released {
					t.Errorf("got %d releases, want %d", owner.released, tc.released)
				}
			})
		})
	}
}
