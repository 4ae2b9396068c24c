package ledger

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Key identifies one generation of a reservation.
type Key struct {
	// Reservation is the id of the reservation; it equals the id of the request.
	Reservation fleet.ReservationID
	// Generation grows with every reservation on the endpoint, across changes of its owner.
	Generation fleet.Generation
}

// Reservation is memory reserved for one attempt. An adopted reservation is one that a former owner granted; this
// ledger knows it only from a listing, which shows its memory, and a progress report.
type Reservation struct {
	// Key identifies the reservation.
	Key Key
	// Attempt is the attempt that may use it.
	Attempt fleet.AttemptID
	// Account is the client account that is charged, or "" for an adopted reservation.
	Account fleet.AccountID
	// Entry is the entry that runs the attempt, or "" for an adopted reservation.
	Entry fleet.EntryID
	// Prompt is the number of prompt tokens.
	Prompt fleet.Tokens
	// Output is the largest number of tokens to generate. For an adopted reservation, whose Prompt is 0, it is all
	// of the memory that the listing showed.
	Output fleet.Tokens
	// Uncached is the expected number of prompt tokens to prefill.
	Uncached fleet.Tokens
	// Charged is the work charged to its account, in prompt-token equivalents.
	Charged float64
	// Ahead is the number of prompt tokens to be prefilled before its own when it was granted. When its first token or,
	// if there is none, its end is reported, those granted since at higher priorities are added.
	Ahead fleet.Tokens
	// Priority is its priority at the endpoint; higher values are prefilled first.
	Priority int
	// Overtaken is the number of prompt tokens granted at higher priorities before it was granted.
	Overtaken fleet.Tokens
	// Others is the number of other attempts running when its first token was reported.
	Others int
	// Weight is the weight of its account.
	Weight float64
	// Quick reports whether its prompt is in the quick band.
	Quick bool
	// Long reports whether its prompt is in the long band.
	Long bool
	// Exclusive reports whether nothing else may run beside it.
	Exclusive bool
	// Held reports whether its lease has lapsed or its stream has broken while the endpoint may still hold its memory.
	Held bool
	// HeldAt is when it was marked as held.
	HeldAt time.Time
	// GrantedAt is when it was granted.
	GrantedAt time.Time
	// StartedAt is when the first token was reported, or zero.
	StartedAt time.Time
	// ReadBy is when its prefill time limit ends; until then it may be renewed before the first token.
	ReadBy time.Time
	// ExpiresAt is when its lease lapses.
	ExpiresAt time.Time
	// Position is the number of tokens generated so far.
	Position fleet.Tokens
	// SampledAt is when the decode pace was last sampled, or zero.
	SampledAt time.Time
	// SampledPosition is the value of Position at SampledAt.
	SampledPosition fleet.Tokens
	// Incarnation is the incarnation of the endpoint that answered it, or 0.
	Incarnation fleet.Incarnation

	// heldListings counts the consecutive listings that showed it while it was held.
	heldListings int
	// heapIndex is its index in the heap of expiries, or -1 if it is held.
	heapIndex int
}

// Memory returns the reserved memory.
func (r *Reservation) Memory() fleet.Tokens {
	return r.Prompt + r.Output
}

// Prefilling reports whether the reservation is active and its first token has not been reported.
func (r *Reservation) Prefilling() bool {
	return r.StartedAt.IsZero() && !r.Held
}

// Stray is memory that an endpoint holds without a known reservation.
type Stray struct {
	// Attempt identifies the attempt; it is "" for a KV cache held outside attempts.
	Attempt fleet.AttemptID
	// Handle identifies the KV cache, or is "" for an attempt.
	Handle string
	// Key identifies the reservation that the attempt was sent with; it is zero for a KV cache.
	Key Key
	// Memory is the size of the stray memory, in tokens.
	Memory fleet.Tokens
	// SeenAt is when a listing first showed it.
	SeenAt time.Time
	// Listings counts the consecutive listings that showed it under the same key.
	Listings int
}
