package warmup

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Settings holds the limits of a cold endpoint and the thresholds of the detection of cold starts.
type Settings struct {
	// InitialAttempts is the initial limit of concurrent attempts.
	InitialAttempts int
	// InitialTokens is the initial limit of the memory in use, in tokens.
	InitialTokens fleet.Tokens
	// TokensPerRaise, multiplied by the current attempt limit, is the number of tokens to generate at the warm pace
	// before the limits double; prefillPerGenerated prefilled tokens count as one generated token.
	TokensPerRaise fleet.Tokens
	// WarmAttempts is the attempt limit from which an endpoint counts as warm, once its whole memory is usable.
	WarmAttempts int
	// SlowRatio is the factor by which a slow sample exceeds the time at the warm pace.
	SlowRatio float64
	// Slack is the delay beyond that factor that does not count as slow.
	Slack time.Duration
	// SlowSamples is the number of consecutive slow samples that turn a warm endpoint cold; it takes twice as many
	// broken connections.
	SlowSamples int
	// SlowWindow is the longest time between two of these slow samples or broken connections.
	SlowWindow time.Duration
	// Plateau is how long a cold start must last before its best pace may become the warm pace.
	Plateau time.Duration
	// IdleRamp is the time after which an idle cold endpoint gets twice the memory.
	IdleRamp time.Duration
	// DefaultPace applies while no pace is known.
	DefaultPace Pace
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		InitialAttempts: 1,
		InitialTokens:   20_000,
		TokensPerRaise:  64,
		WarmAttempts:    16,
		SlowRatio:       2.5,
		Slack:           50 * time.Millisecond,
		SlowSamples:     2,
		SlowWindow:      3 * time.Second,
		Plateau:         6 * time.Second,
		IdleRamp:        5 * time.Second,
		DefaultPace:     Pace{Prefill: 50_000, Decode: 60, Batch: 32},
	}
}
