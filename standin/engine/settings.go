// Package engine is a small stand-in for a model engine, for tests and the local run.
package engine

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Settings configures an engine.
type Settings struct {
	// Model is the model that is loaded at first.
	Model string
	// Memory is the KV cache memory in tokens.
	Memory fleet.Tokens
	// MaxRunning bounds the attempts that it takes at once.
	MaxRunning int
	// PrefillPace is the prompt tokens that it reads a second, shared by all attempts.
	PrefillPace float64
	// DecodePace is the tokens a second that one stream gets alone.
	DecodePace float64
	// DecodeBatch is the number of further streams that halves the pace of each.
	DecodeBatch float64
	// ColdPace is the fraction of both paces that a cold engine has.
	ColdPace float64
	// ColdLimit is the number of attempts at once that a cold engine bears.
	ColdLimit int
	// ColdTokens is the memory in use that a cold engine bears; 0 means all.
	ColdTokens fleet.Tokens
	// ColdTime is how long it stays cold.
	ColdTime time.Duration
	// WarmTokens is the number of tokens worked on that ends the cold start early; 0 means none does.
	WarmTokens fleet.Tokens
	// RestartTime is how long a dead engine answers nothing.
	RestartTime time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// CacheLag is how late cache events are published.
	CacheLag time.Duration
	// CacheGap loses every CacheGap-th cache event; 0 means none.
	CacheGap uint64
	// CheckFence refuses fencing numbers smaller than one seen before.
	CheckFence bool
	// HoldOrphans keeps the memory of attempts whose caller is gone until they are cancelled.
	HoldOrphans bool
}

// DefaultSettings returns the settings of an engine of middling size.
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
