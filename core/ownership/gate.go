package ownership

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// Owner grants reservations.
type Owner interface {
	// Reserve waits until the owner grants or refuses.
	Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error)
	// Renew reports progress.
	Renew(ctx context.Context, progress reservation.Progress) error
	// Release gives a reservation back.
	Release(ctx context.Context, release reservation.Release) error
}

// LeaseGuard lets no grant out while the entry may not act for its zone. It looks at the lease when the grant is given, since
// an entry that was frozen may wake in the middle of a reservation.
type LeaseGuard struct {
	Owner
	// Entry is this entry.
	Entry fleet.EntryID
	// Active tells whether the entry may grant at a time.
	Active func(now time.Time) bool
}

// Reserve reserves if the entry may grant before and after the wait.
func (g *LeaseGuard) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	if !g.Active(time.Now()) {
		return reservation.Grant{}, suspended()
	}
	grant, err := g.Owner.Reserve(ctx, request)
	if err != nil || g.Active(time.Now()) {
		return grant, err
	}
	// The account is dropped with the term, so that a failed release does no harm.
	_ = g.Release(ctx, reservation.Release{
		Endpoint:    grant.Endpoint,
		Owner:       g.Entry,
		Reservation: grant.Reservation,
		Generation:  grant.Generation,
		Outcome:     reservation.OutcomeNotRun,
	})
	return reservation.Grant{}, suspended()
}

// suspended is the refusal of an entry that may not act.
func suspended() *reservation.Refusal {
	return &reservation.Refusal{Reason: reservation.ReasonNotOwner}
}
