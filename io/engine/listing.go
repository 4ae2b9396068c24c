package engine

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"wisteriadyke/core/fleet"
)

// Phase tells how far an attempt is.
type Phase string

// The phases of an attempt.
const (
	// PhaseWaiting means no part of the prompt is read yet.
	PhaseWaiting Phase = "waiting"
	// PhasePrefill means the prompt is being read.
	PhasePrefill Phase = "prefill"
	// PhaseDecode means the answer is being generated.
	PhaseDecode Phase = "decode"
	// PhaseOrphaned means the caller is gone and the engine still holds the memory.
	PhaseOrphaned Phase = "orphaned"
)

// Attempt is what an engine tells of an attempt that holds memory.
type Attempt struct {
	// AttemptID names the attempt.
	AttemptID fleet.AttemptID
	// ReservationID names its reservation at the owner.
	ReservationID string
	// Generation numbers the reservation's lives.
	Generation uint64
	// Fence is the fencing number that it came with.
	Fence fleet.Fence
	// KVTokens is the memory that it holds, with what is set aside for its answer.
	KVTokens fleet.Tokens
	// Phase tells how far it is.
	Phase Phase
	// Position is the next token of the answer.
	Position fleet.Tokens
	// StartedAt is when the engine took it.
	StartedAt time.Time
}

// HeldKV is what an engine tells of a KV cache that it holds for callers.
type HeldKV struct {
	// Handle names it.
	Handle KVHandle
	// Tokens is the memory that it holds.
	Tokens fleet.Tokens
	// HeldSince is when it was exported or imported.
	HeldSince time.Time
	// AttemptID is the attempt that exported it; "" if it was imported.
	AttemptID fleet.AttemptID
}

// Listing is all the memory that an engine holds for callers.
type Listing struct {
	// Incarnation numbers the engine's life.
	Incarnation fleet.Incarnation
	// Attempts lists the attempts that hold memory.
	Attempts []Attempt
	// HeldKV lists the KV caches that it holds.
	HeldKV []HeldKV
}

// listingAnswer is the wire form of Listing.
type listingAnswer struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Attempts    []attemptRow      `json:"attempts"`
	HeldKV      []heldRow         `json:"held_kv"`
}

// attemptRow is the wire form of Attempt.
type attemptRow struct {
	AttemptID     fleet.AttemptID `json:"attempt_id"`
	ReservationID string          `json:"reservation_id"`
	Generation    uint64          `json:"generation"`
	Fence         fleet.Fence     `json:"fence"`
	KVTokens      fleet.Tokens    `json:"kv_tokens"`
	Phase         Phase           `json:"phase"`
	Position      fleet.Tokens    `json:"position"`
	StartedAt     time.Time       `json:"started_at"`
}

// heldRow is the wire form of HeldKV.
type heldRow struct {
	Handle    KVHandle        `json:"handle"`
	Tokens    fleet.Tokens    `json:"tokens"`
	HeldSince time.Time       `json:"held_since"`
	AttemptID fleet.AttemptID `json:"attempt_id"`
}

// Attempts lists what the engine runs and holds now.
func (c *Client) Attempts(ctx context.Context) (Listing, error) {
	var answer listingAnswer
	if err := c.call(ctx, http.MethodGet, "/v1/attempts", nil, &answer); err != nil {
		return Listing{}, err
	}
	listing := Listing{Incarnation: answer.Incarnation}
	for _, row := range answer.Attempts {
		listing.Attempts = append(listing.Attempts, Attempt(row))
	}
	for _, row := range answer.HeldKV {
		listing.HeldKV = append(listing.HeldKV, HeldKV(row))
	}
	return listing, nil
}

// Cancel ends an attempt and frees its memory; cancelling one that does not run changes nothing.
func (c *Client) Cancel(ctx context.Context, attempt fleet.AttemptID) error {
	err := c.call(ctx, http.MethodDelete, "/v1/attempts/"+url.PathEscape(string(attempt)), nil, nil)
	if CodeOf(err) == CodeUnknownAttempt {
		return nil
	}
	return err
}
