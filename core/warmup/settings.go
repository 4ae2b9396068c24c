package warmup

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Settings bounds what a cold endpoint is given.
type Settings struct {
	// Attempts is the number of attempts at once that a cold endpoint is given at first.
	Attempts int
	// Tokens is the memory in use that a cold endpoint is given at first.
	Tokens fleet.Tokens
	// TokensPerRaise is the number of tokens generated at the warm pace, for each attempt at once, that doubles the limit.
	TokensPerRaise fleet.Tokens
	// WarmAttempts is the limit of attempts from which an endpoint counts as warm.
	WarmAttempts int
	// SlowRatio is how many times slower than the warm pace an outcome must be to tell of a cold start.
	SlowRatio float64
	// Slack is the delay that is not taken for slowness.
	Slack time.Duration
	// SlowOutcomes is the number of outcomes in a row that turn a warm endpoint cold.
	SlowOutcomes int
	// SlowWindow is the time within which these outcomes must come.
	SlowWindow time.Duration
	// Plateau is how long a pace must last since the cold start to be taken for the warm pace.
	Plateau time.Duration
	// IdleRamp is the time after which an idle cold endpoint is given twice the memory.
	IdleRamp time.Duration
	// DefaultPace is the pace that predictions start from while none is known.
	DefaultPace Pace
}

// DefaultSettings returns the settings in use unless an owner has others.
func DefaultSettings() Settings {
	return Settings{
		Attempts:       1,
		Tokens:         20_000,
		TokensPerRaise: 64,
		WarmAttempts:   16,
		SlowRatio:      2.5,
		Slack:          50 * time.Millisecond,
		SlowOutcomes:   2,
		SlowWindow:     3 * time.Second,
		Plateau:        6 * time.Second,
		IdleRamp:       5 * time.Second,
		DefaultPace:    Pace{Prefill: 50_000, Decode: 60, Batch: 32},
	}
}
