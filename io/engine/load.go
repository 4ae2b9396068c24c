package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"wisteriadyke/core/fleet"
)

// Load is an engine's own report of its load, which lags.
type Load struct {
	// Incarnation numbers the engine's life.
	Incarnation fleet.Incarnation
	// Running counts the attempts whose prompt or answer is worked on.
	Running int
	// Waiting counts the attempts that wait for their first chunk.
	Waiting int
	// KVUsed is the memory in use, without the prefix cache.
	KVUsed fleet.Tokens
	// KVCached is the memory of the prefix cache, which is given up when it is needed.
	KVCached fleet.Tokens
	// KVCapacity is the whole memory.
	KVCapacity fleet.Tokens
	// PrefillPace is the prompt tokens read a second, smoothed.
	PrefillPace float64
	// DecodePace is the tokens generated a second by all streams, smoothed.
	DecodePace float64
	// MeasuredAt is when this was so, by the engine's clock.
	MeasuredAt time.Time
}

// loadAnswer is the wire form of Load.
type loadAnswer struct {
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

// CacheEventKind tells what happened to a cached prefix.
type CacheEventKind string

// The kinds of cache events.
const (
	// CacheStored means the engine now caches the prefix.
	CacheStored CacheEventKind = "stored"
	// CacheEvicted means it no longer does.
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of one incarnation; missing numbers are lost events.
	Sequence uint64
	// Kind tells what happened.
	Kind CacheEventKind
	// Prefix is the prefix it happened to.
	Prefix Prefix
}

// CacheEvents is a part of an engine's cache events, which come late and with gaps.
type CacheEvents struct {
	// Incarnation numbers the engine's life; the sequence starts again with each.
	Incarnation fleet.Incarnation
	// Events lists the events, oldest first.
	Events []CacheEvent
}

// cacheAnswer is the wire form of CacheEvents.
type cacheAnswer struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []cacheRow        `json:"events"`
}

// cacheRow is the wire form of CacheEvent.
type cacheRow struct {
	Sequence     uint64         `json:"sequence"`
	Kind         CacheEventKind `json:"kind"`
	PrefixDigest Digest         `json:"prefix_digest"`
	Tokens       fleet.Tokens   `json:"tokens"`
}

// Load returns the engine's last load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var answer loadAnswer
	err := c.call(ctx, http.MethodGet, "/v1/load", nil, &answer)
	return Load(answer), err
}

// CacheEvents returns the events with a sequence number larger than after.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var answer cacheAnswer
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	if err := c.call(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return CacheEvents{}, err
	}
	events := CacheEvents{Incarnation: answer.Incarnation}
	for _, row := range answer.Events {
		prefix := Prefix{Digest: row.PrefixDigest, Tokens: row.Tokens}
		events.Events = append(events.Events, CacheEvent{Sequence: row.Sequence, Kind: row.Kind, Prefix: prefix})
	}
	return events, nil
}
