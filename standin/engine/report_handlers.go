package engine

import (
	"net/http"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// listingBody is the wire form of a listing.
type listingBody struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Attempts    []attemptRow      `json:"attempts"`
	HeldKV      []heldRow         `json:"held_kv"`
}

// attemptRow is the wire form of an attempt in a listing.
type attemptRow struct {
	AttemptID     fleet.AttemptID `json:"attempt_id"`
	ReservationID string          `json:"reservation_id"`
	Generation    uint64          `json:"generation"`
	Fence         fleet.Fence     `json:"fence"`
	KVTokens      fleet.Tokens    `json:"kv_tokens"`
	Phase         engine.Phase    `json:"phase"`
	Position      fleet.Tokens    `json:"position"`
	StartedAt     time.Time       `json:"started_at"`
}

// heldRow is the wire form of a held KV cache in a listing.
type heldRow struct {
	Handle    engine.KVHandle `json:"handle"`
	Tokens    fleet.Tokens    `json:"tokens"`
	HeldSince time.Time       `json:"held_since"`
	AttemptID fleet.AttemptID `json:"attempt_id"`
}

// loadBody is the wire form of a load report.
type loadBody struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Running     int               `json:"running"`
	Waiting     int               `json:"waiting"`
	KVUsed      fleet.Tokens      `json:"kv_used"`
	KVCached    fleet.Tokens      `json:"kv_cached"`
	KVCapacity  fleet.Tokens      `json:"kv_capacity"`
	PrefillPace float64           `json:"prefill_tokens_per_second"`
	DecodePace  float64           `json:"decode_tokens_per_second"`
	MeasuredAt  time.Time         `json:"measured_at"`
}

// cacheBody is the wire form of a list of cache events.
type cacheBody struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []cacheRow        `json:"events"`
}

// cacheRow is the wire form of a cache event.
type cacheRow struct {
	Sequence     uint64                `json:"sequence"`
	Kind         engine.CacheEventKind `json:"kind"`
	PrefixDigest engine.Digest         `json:"prefix_digest"`
	Tokens       fleet.Tokens          `json:"tokens"`
}

// statsBody is the wire form of Stats, with the current incarnation and whether the engine is cold.
type statsBody struct {
	Attempts       int               `json:"attempts"`
	Done           int               `json:"done"`
	Cancelled      int               `json:"cancelled"`
	Refused        int               `json:"refused"`
	StaleAccepted  int               `json:"stale_accepted"`
	Deaths         int               `json:"deaths"`
	OverloadDeaths int               `json:"overload_deaths"`
	CrashDeaths    int               `json:"crash_deaths"`
	KVPeak         fleet.Tokens      `json:"kv_peak"`
	PeakCold       int               `json:"max_cold"`
	Cold           bool              `json:"cold"`
	Incarnation    fleet.Incarnation `json:"incarnation"`
}

// listAttempts handles GET /v1/attempts.
func listAttempts(m *Model, now time.Time, _ *http.Request) (any, error) {
	listing := m.Listing(now)
	body := listingBody{
		Incarnation: listing.Incarnation,
		Attempts:    make([]attemptRow, 0, len(listing.Attempts)),
		HeldKV:      make([]heldRow, 0, len(listing.HeldKV)),
	}
	for _, attempt := range listing.Attempts {
		body.Attempts = append(body.Attempts, attemptRow(attempt))
	}
	for _, kv := range listing.HeldKV {
		body.HeldKV = append(body.HeldKV, heldRow(kv))
	}
	return body, nil
}

// reportLoad handles GET /v1/load.
func reportLoad(m *Model, now time.Time, _ *http.Request) (any, error) {
	return loadBody(m.Load(now)), nil
}

// reportStats handles GET /control/stats.
func reportStats(m *Model, now time.Time, _ *http.Request) (any, error) {
	m.Advance(now)
	stats := m.Stats()
	return statsBody{
		Attempts:       stats.Attempts,
		Done:           stats.Done,
		Cancelled:      stats.Cancelled,
		Refused:        stats.Refused,
		StaleAccepted:  stats.StaleAccepted,
		Deaths:         stats.Deaths,
		OverloadDeaths: stats.OverloadDeaths,
		CrashDeaths:    stats.CrashDeaths,
		KVPeak:         stats.KVPeak,
		PeakCold:       stats.PeakCold,
		Cold:           m.Cold(),
		Incarnation:    m.Incarnation(),
	}, nil
}

// newCacheBody returns the wire form of cache events.
func newCacheBody(events engine.CacheEvents) cacheBody {
	body := cacheBody{Incarnation: events.Incarnation}
	for _, event := range events.Events {
		body.Events = append(body.Events, cacheRow{
			Sequence:     event.Sequence,
			Kind:         event.Kind,
			PrefixDigest: event.Prefix.Digest,
			Tokens:       event.Prefix.Tokens,
		})
	}
	return body
}
