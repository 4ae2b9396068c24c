package ledger

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
)

// Lister asks an endpoint what it runs and ends attempts there.
type Lister interface {
	// List returns all memory that the endpoint holds for callers.
	List(ctx context.Context, endpoint fleet.Endpoint) (Listing, error)
	// Cancel ends an attempt and returns nil once the endpoint has confirmed that it holds no memory for it.
	Cancel(ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID) error
}

// Listing is all the memory that an endpoint holds for callers at one moment.
type Listing struct {
	// Incarnation is the life of the endpoint.
	Incarnation fleet.Incarnation
	// Attempts lists the attempts that hold memory.
	Attempts []Attempt
	// HeldKV lists the KV caches held outside of attempts.
	HeldKV []HeldKV
}

// Attempt is one attempt in a listing.
type Attempt struct {
	// ID names the attempt.
	ID fleet.AttemptID
	// Key names the reservation that it was sent with.
	Key Key
	// Fence is the fencing number that it was sent with.
	Fence fleet.Fence
	// Memory is what it holds, with what is set aside for its answer.
	Memory fleet.Tokens
	// StartedAt is when the endpoint took it, by the endpoint's clock.
	StartedAt time.Time
}

// HeldKV is one KV cache in a listing that no running attempt holds.
type HeldKV struct {
	// Handle names it at the endpoint.
	Handle string
	// Memory is what it holds.
	Memory fleet.Tokens
	// Attempt is the attempt that made it, or "".
	Attempt fleet.AttemptID
}

// Dropper frees KV caches that an endpoint holds outside of attempts; a Lister may implement it too.
type Dropper interface {
	// Drop frees a KV cache once no attempt uses it.
	Drop(ctx context.Context, endpoint fleet.Endpoint, handle string) error
}
