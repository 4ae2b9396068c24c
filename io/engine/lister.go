package engine

import (
	"context"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
)

// List returns what an engine holds, for the account of its owner; an error is a *dispatch.AttemptError.
func (e *Engines) List(ctx context.Context, endpoint fleet.Endpoint) (ledger.Listing, error) {
	listing, err := e.client(endpoint).Attempts(ctx)
	if err != nil {
		return ledger.Listing{}, attemptError(err, false)
	}
	found := ledger.Listing{Incarnation: listing.Incarnation}
	for _, a := range listing.Attempts {
		found.Attempts = append(found.Attempts, ledger.Attempt{
			ID:        a.AttemptID,
			Key:       ledger.Key{Reservation: fleet.ReservationID(a.ReservationID), Generation: fleet.Generation(a.Generation)},
			Fence:     a.Fence,
			Memory:    a.KVTokens,
			StartedAt: a.StartedAt,
		})
	}
	for _, kv := range listing.HeldKV {
		found.HeldKV = append(found.HeldKV, ledger.HeldKV{
			Handle:  string(kv.Handle),
			Memory:  kv.Tokens,
			Attempt: kv.AttemptID,
		})
	}
	return found, nil
}
