package ledger

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
)

// Lister lists the memory that an endpoint holds and cancels attempts there.
type Lister interface {
	// List returns all memory that the endpoint holds for callers.
	List(ctx context.Context, endpoint fleet.Endpoint) (Listing, error)
	// Cancel cancels an attempt and returns nil once the endpoint has confirmed that it holds no memory for it.
	Cancel(ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID) error
}

// Listing is a snapshot of all memory that an endpoint holds for callers.
type Listing struct {
	// Incarnation is the incarnation of the endpoint.
	Incarnation fleet.Incarnation
	// Attempts lists the attempts that hold memory.
	Attempts []Attempt
	// HeldKV lists the KV caches held outside attempts.
	HeldKV []HeldKV
}

// Attempt is one attempt in a listing.
type Attempt struct {
	// ID identifies the attempt.
	ID fleet.AttemptID
	// Key identifies the reservation that it was sent with.
	Key Key
	// Fence is the fencing token that it was sent with.
	Fence fleet.Fence
	// Memory is the memory that it holds, including what is reserved for its answer.
	Memory fleet.Tokens
	// StartedAt is when the endpoint accepted it, by the endpoint's clock.
	StartedAt time.Time
}

// HeldKV is a KV cache, as shown in a listing, that the endpoint holds under a handle. Its memory is not part of the
// memory of any attempt in the listing, although a running attempt may use it.
type HeldKV struct {
	// Handle identifies the KV cache at the endpoint.
	Handle string
	// Memory is the memory that it holds.
	Memory fleet.Tokens
	// Attempt is the attempt that created it, or "".
	Attempt fleet.AttemptID
}

// Dropper drops KV caches that an endpoint holds outside attempts; a Lister may also implement it.
type Dropper interface {
	// Drop frees a KV cache as soon as no attempt uses it.
	Drop(ctx context.Context, endpoint fleet.Endpoint, handle string) error
}
