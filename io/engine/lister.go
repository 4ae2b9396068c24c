package engine

import (
	"context"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
)

// List returns the attempts and the KV caches that hold memory at an engine. Errors are *dispatch.AttemptError.
func (e *Engines) List(ctx context.Context, endpoint fleet.Endpoint) (ledger.Listing, error) {
	listing, err := e.client(endpoint).Attempts(ctx)
	if err != nil {
		return ledger.Listing{}, attemptError(err, false)
	}
	result := ledger.Listing{Incarnation: listing.Incarnation}
	for _, a := range listing.Attempts {
		result.Attempts = append(result.Attempts, ledger.Attempt{
			ID:        a.AttemptID,
			Key:       ledger.Key{Reservation: fleet.ReservationID(a.ReservationID), Generation: fleet.Generation(a.Generation)},
			Fence:     a.Fence,
			Memory:    a.KVTokens,
			StartedAt: a.StartedAt,
		})
	}
	for _, kv := range listing.HeldKV {
		result.HeldKV = append(result.HeldKV, ledger.HeldKV{
			Handle:  string(kv.Handle),
			Memory:  kv.Tokens,
			Attempt: kv.AttemptID,
		})
	}
	return result, nil
}
