package ledger

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Key names one generation of a reservation.
type Key struct {
	// Reservation names the reservation; it is the request's within an endpoint.
	Reservation fleet.ReservationID
	// Generation grows with every reservation on the endpoint, also over changes of its owner.
	Generation fleet.Generation
}

// Reservation is memory that is set aside for one attempt.
type Reservation struct {
	// Key names it.
	Key Key
	// Attempt is the attempt that may run with it.
	Attempt fleet.AttemptID
	// Account is the client account that is charged.
	Account fleet.AccountID
	// Entry is the entry that runs the attempt.
	Entry fleet.EntryID
	// Prompt is the number of prompt tokens.
	Prompt fleet.Tokens
	// Output is the largest number of tokens to generate.
	Output fleet.Tokens
	// Uncached is the number of prompt tokens that are expected to be read.
	Uncached fleet.Tokens
	// Charged is the work that its account was charged, in prompt tokens or their like.
	Charged float64
	// Ahead is the number of prompt tokens that were to be read before its own when it was granted.
	Ahead fleet.Tokens
	// Priority is its priority at the endpoint.
	Priority int
	// Overtaken is the number of prompt tokens of a larger priority that had been granted when it was.
	Overtaken fleet.Tokens
	// Others is the number of attempts that ran when its first token came.
	Others int
	// Weight is the share of its account.
	Weight float64
	// Quick tells that its prompt is read in the quick band.
	Quick bool
	// Long tells that its prompt is read in the long band.
	Long bool
	// Exclusive tells that nothing else may run beside it.
	Exclusive bool
	// Held tells that its lease has lapsed or its stream broke, and that the endpoint may still hold its memory.
	Held bool
	// HeldAt is when it became held.
	HeldAt time.Time
	// GrantedAt is when it was granted.
	GrantedAt time.Time
	// StartedAt is when the first token was reported, or zero.
	StartedAt time.Time
	// ReadBy ends the time in which it may be renewed without a token.
	ReadBy time.Time
	// ExpiresAt is when its lease lapses.
	ExpiresAt time.Time
	// Position is the number of tokens generated so far.
	Position fleet.Tokens
	// SampledAt is when the pace was last measured, at SampledPosition.
	SampledAt time.Time
	// SampledPosition is the number of tokens generated then.
	SampledPosition fleet.Tokens
	// Incarnation is the life of the endpoint that answered it, or 0.
	Incarnation fleet.Incarnation

	// confirmed counts the consecutive listings that showed it while held.
	confirmed int
	// index is the place in the heap of expiries.
	index int
}

// Memory returns the tokens that are set aside.
func (r *Reservation) Memory() fleet.Tokens {
	return r.Prompt + r.Output
}

// Prefilling tells whether its prompt is still being read.
func (r *Reservation) Prefilling() bool {
	return r.StartedAt.IsZero() && !r.Held
}

// Stray is memory that an endpoint holds without a known reservation.
type Stray struct {
	// Attempt names the attempt, or is "" for a KV cache held outside of attempts.
	Attempt fleet.AttemptID
	// Handle names the KV cache, or is "".
	Handle string
	// Key names the reservation that the endpoint was given.
	Key Key
	// Memory is what it holds.
	Memory fleet.Tokens
	// SeenAt is when a listing first showed it.
	SeenAt time.Time
	// Listings counts the consecutive listings that showed it unchanged.
	Listings int
}
