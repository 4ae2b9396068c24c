package engine

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"wisteriadyke/core/fleet"
)

// Phase is the progress of an attempt.
type Phase string

// The phases of an attempt.
const (
	// PhaseWaiting means that the prefill has not started.
	PhaseWaiting Phase = "waiting"
	// PhasePrefill means that the prompt is being prefilled.
	PhasePrefill Phase = "prefill"
	// PhaseDecode means that the answer is being generated.
	PhaseDecode Phase = "decode"
	// PhaseOrphaned means that the caller has disconnected and the engine still holds the memory.
	PhaseOrphaned Phase = "orphaned"
)

// Attempt is an attempt that holds memory at an engine, as listed by the engine.
type Attempt struct {
	// AttemptID is the ID of the attempt.
	AttemptID fleet.AttemptID
	// ReservationID is the ID of the attempt's reservation at the endpoint's owner.
	ReservationID string
	// Generation is the generation of the reservation.
	Generation uint64
	// Fence is the fencing token with which the attempt was started.
	Fence fleet.Fence
	// KVTokens is the memory that the attempt holds, including the memory reserved for its answer.
	KVTokens fleet.Tokens
	// Phase is the progress of the attempt.
	Phase Phase
	// Position is the position of the next token of the answer.
	Position fleet.Tokens
	// StartedAt is the time at which the engine accepted the attempt.
	StartedAt time.Time
}

// HeldKV is a KV cache that an engine holds for callers, as listed by the engine.
type HeldKV struct {
	// Handle identifies the KV cache.
	Handle KVHandle
	// Tokens is the memory that the KV cache occupies.
	Tokens fleet.Tokens
	// HeldSince is the time at which the KV cache was exported or imported.
	HeldSince time.Time
	// AttemptID is the attempt that exported the KV cache, or "" if the cache was imported.
	AttemptID fleet.AttemptID
}

// Listing lists all memory that an engine holds for callers.
type Listing struct {
	// Incarnation is the incarnation of the engine.
	Incarnation fleet.Incarnation
	// Attempts lists the attempts that hold memory.
	Attempts []Attempt
	// HeldKV lists the held KV caches.
	HeldKV []HeldKV
}

// listingResponse is the wire form of Listing.
type listingResponse struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Attempts    []attemptRow      `json:"attempts"`
	HeldKV      []heldKVRow       `json:"held_kv"`
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

// heldKVRow is the wire form of HeldKV.
type heldKVRow struct {
	Handle    KVHandle        `json:"handle"`
	Tokens    fleet.Tokens    `json:"tokens"`
	HeldSince time.Time       `json:"held_since"`
	AttemptID fleet.AttemptID `json:"attempt_id"`
}

// Attempts returns the attempts and the KV caches that hold memory at the engine.
func (c *Client) Attempts(ctx context.Context) (Listing, error) {
	var response listingResponse
	if err := c.call(ctx, http.MethodGet, "/v1/attempts", nil, &response); err != nil {
		return Listing{}, err
	}
	listing := Listing{Incarnation: response.Incarnation}
	for _, row := range response.Attempts {
		listing.Attempts = append(listing.Attempts, Attempt(row))
	}
	for _, row := range response.HeldKV {
		listing.HeldKV = append(listing.HeldKV, HeldKV(row))
	}
	return listing, nil
}

// Cancel cancels an attempt and frees its memory. It returns nil if the attempt is not running.
func (c *Client) Cancel(ctx context.Context, attempt fleet.AttemptID) error {
	err := c.call(ctx, http.MethodDelete, "/v1/attempts/"+url.PathEscape(string(attempt)), nil, nil)
	if CodeOf(err) == CodeUnknownAttempt {
		return nil
	}
	return err
}
