package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"wisteriadyke/core/fleet"
)

// Load is the load that an engine reports, with a lag.
type Load struct {
	// Incarnation is the incarnation of the engine.
	Incarnation fleet.Incarnation
	// Running is the number of attempts in prefill or decode.
	Running int
	// Waiting is the number of attempts whose prefill has not started.
	Waiting int
	// KVUsed is the KV cache memory in use, excluding the prefix cache.
	KVUsed fleet.Tokens
	// KVCached is the memory of the prefix cache, which is evicted on demand.
	KVCached fleet.Tokens
	// KVCapacity is the total KV cache memory.
	KVCapacity fleet.Tokens
	// PrefillPace is the smoothed number of prompt tokens prefilled per second.
	PrefillPace float64
	// DecodePace is the smoothed number of tokens generated per second by all streams together.
	DecodePace float64
	// MeasuredAt is the time of the measurement by the engine's clock.
	MeasuredAt time.Time
}

// loadResponse is the wire form of Load.
type loadResponse struct {
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

// CacheEventKind specifies how the prefix cache changed.
type CacheEventKind string

// The kinds of cache events.
const (
	// CacheStored means that the engine has cached the prefix.
	CacheStored CacheEventKind = "stored"
	// CacheEvicted means that the engine has evicted the prefix.
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of one incarnation consecutively, so that a missing number means a lost event.
	Sequence uint64
	// Kind specifies the change.
	Kind CacheEventKind
	// Prefix is the prefix that was stored or evicted.
	Prefix Prefix
}

// CacheEvents is a batch of an engine's cache events, which arrive late and with gaps.
type CacheEvents struct {
	// Incarnation is the incarnation of the engine; the sequence restarts with each.
	Incarnation fleet.Incarnation
	// Events holds the events, oldest first.
	Events []CacheEvent
}

// cacheEventsResponse is the wire form of CacheEvents.
type cacheEventsResponse struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []cacheEventRow   `json:"events"`
}

// cacheEventRow is the wire form of CacheEvent.
type cacheEventRow struct {
	Sequence     uint64         `json:"sequence"`
	Kind         CacheEventKind `json:"kind"`
	PrefixDigest Digest         `json:"prefix_digest"`
	Tokens       fleet.Tokens   `json:"tokens"`
}

// Load returns the latest load report of the engine.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var response loadResponse
	err := c.call(ctx, http.MethodGet, "/v1/load", nil, &response)
	return Load(response), err
}

// CacheEvents returns the events whose sequence number is larger than the argument after.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (CacheEvents, error) {
	var response cacheEventsResponse
	path := "/v1/cache/events?after=" + strconv.FormatUint(after, 10)
	if err := c.call(ctx, http.MethodGet, path, nil, &response); err != nil {
		return CacheEvents{}, err
	}
	events := CacheEvents{Incarnation: response.Incarnation}
	for _, row := range response.Events {
		prefix := Prefix{Digest: row.PrefixDigest, Tokens: row.Tokens}
		events.Events = append(events.Events, CacheEvent{Sequence: row.Sequence, Kind: row.Kind, Prefix: prefix})
	}
	return events, nil
}
