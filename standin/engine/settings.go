// Package engine is a stand-in for a model engine, used by tests and the local demo.
package engine

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Settings configures an engine.
type Settings struct {
	// Model is the model that is loaded at the start.
	Model string
	// Memory is the KV cache memory in tokens, including the prefix cache.
	Memory fleet.Tokens
	// MaxRunning bounds the concurrent attempts.
	MaxRunning int
	// PrefillPace is the number of prompt tokens prefilled per second, shared by all attempts.
	PrefillPace float64
	// DecodePace is the number of tokens per second that a single stream generates.
	DecodePace float64
	// DecodeBatch is the number of additional streams that halves the pace of each.
	DecodeBatch float64
	// ColdPace is the fraction of both paces at which a cold engine works.
	ColdPace float64
	// ColdLimit is the number of concurrent attempts above which a cold engine dies.
	ColdLimit int
	// ColdTokens is the memory use in tokens above which a cold engine dies; 0 means no limit.
	ColdTokens fleet.Tokens
	// ColdTime is the length of a cold start; 0 means the engine is never cold.
	ColdTime time.Duration
	// WarmTokens is the number of tokens prefilled and generated after which a cold start ends early; 0 means it does not.
	WarmTokens fleet.Tokens
	// RestartTime is the time from death to restart, during which the engine answers no request.
	RestartTime time.Duration
	// LoadLag is the age of the load reports.
	LoadLag time.Duration
	// CacheLag is the delay with which cache events are published.
	CacheLag time.Duration
	// CacheGap drops every CacheGap-th cache event; 0 drops none.
	CacheGap uint64
	// CheckFence makes the engine refuse attempts and orders with a smaller fencing token than the largest one it has
	// accepted in this incarnation.
	CheckFence bool
	// HoldOrphans makes attempts whose caller has disconnected keep their memory until they are canceled.
	HoldOrphans bool
}

// DefaultSettings returns the settings of a medium-sized engine.
func DefaultSettings() Settings {
	return Settings{
		Memory:      400_000,
		MaxRunning:  256,
		PrefillPace: 50_000,
		DecodePace:  60,
		DecodeBatch: 32,
		ColdPace:    0.25,
		ColdLimit:   2,
		ColdTime:    5 * time.Second,
		LoadLag:     time.Second,
		CacheLag:    2 * time.Second,
	}
}
