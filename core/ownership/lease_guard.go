package ownership

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// Owner grants, renews and releases reservations.
type Owner interface {
	// Reserve waits until the owner grants or refuses the request.
	Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error)
	// Renew reports the progress of a reservation.
	Renew(ctx context.Context, progress reservation.Progress) error
	// Release ends a reservation.
	Release(ctx context.Context, release reservation.Release) error
}

// LeaseGuard refuses reservations while the entry does not hold the membership lease. It checks the lease again after
// the owner has granted, since the process may have been paused while the request waited.
type LeaseGuard struct {
	Owner
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Active reports whether the entry may grant reservations at now.
	Active func(now time.Time) bool
}

// Reserve returns the grant or error of Owner. It returns a refusal with ReasonNotOwner instead if Active is false when
// Reserve is called, or once Owner has granted; in the latter case it releases the grant.
func (g *LeaseGuard) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	if !g.Active(time.Now()) {
		return reservation.Grant{}, newNotOwnerRefusal()
	}
	grant, err := g.Owner.Reserve(ctx, request)
	if err != nil || g.Active(time.Now()) {
		return grant, err
	}
	// A failed release does no harm, since the owner drops all reservations when the lease term ends.
	_ = g.Release(ctx, reservation.Release{
		Endpoint:    grant.Endpoint,
		Owner:       g.Entry,
		Reservation: grant.Reservation,
		Generation:  grant.Generation,
		Outcome:     reservation.OutcomeNotRun,
	})
	return reservation.Grant{}, newNotOwnerRefusal()
}

// newNotOwnerRefusal returns the refusal of an entry that may not grant.
func newNotOwnerRefusal() *reservation.Refusal {
	return &reservation.Refusal{Reason: reservation.ReasonNotOwner}
}
