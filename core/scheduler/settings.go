package scheduler

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/warmup"
)

// Settings bounds what an owner grants of an endpoint.
type Settings struct {
	// Ledger bounds how long memory can stay reserved without use.
	Ledger ledger.Settings
	// Warmup bounds what a cold endpoint is given.
	Warmup warmup.Settings
	// QuickPrompt is the number of prompt tokens up to which a request is in the quick band.
	QuickPrompt fleet.Tokens
	// LongPrompt is the number of prompt tokens above which a request is in the long band.
	LongPrompt fleet.Tokens
	// ShortHeadroom is the share of the memory that long requests can't take.
	ShortHeadroom float64
	// LightHeadroom is the share of the memory that accounts above their fair share can't take while others ask, and
	// of the reservations in force that they can't take at any time.
	LightHeadroom float64
	// SharedWithin is how long after another account has asked this headroom is kept.
	SharedWithin time.Duration
	// ReadWindow is the time of reading that short requests are granted ahead.
	ReadWindow time.Duration
	// LongSlots is the largest number of long prompts that are read at once.
	LongSlots int
	// LongShare is the least share of reading that is left to long prompts which are being read.
	LongShare float64
	// LongBurst is the time for which short requests may leave them less.
	LongBurst time.Duration
	// MaxRunning is the largest number of reservations in force.
	MaxRunning int
	// MaxQueue is the largest number of requests that wait.
	MaxQueue int
	// MaxAccountQueue is the largest number of requests of one account that wait.
	MaxAccountQueue int
	// Credit is the work that an account which comes back may be given ahead of others, for each unit of weight.
	Credit float64
	// ConfirmWithin is how long an idle endpoint is given no more than a cold one bears while none of its grants has
	// been answered.
	ConfirmWithin time.Duration
	// SweepEvery is the time between listings.
	SweepEvery time.Duration
	// UrgentSweepEvery is the time between listings while memory is held or the endpoint's life is in doubt.
	UrgentSweepEvery time.Duration
}

// DefaultSettings returns the settings in use unless an owner has others.
func DefaultSettings() Settings {
	return Settings{
		Ledger:           ledger.DefaultSettings(),
		Warmup:           warmup.DefaultSettings(),
		QuickPrompt:      4_000,
		LongPrompt:       32_000,
		ShortHeadroom:    0.15,
		LightHeadroom:    0.08,
		SharedWithin:     time.Minute,
		ReadWindow:       200 * time.Millisecond,
		LongSlots:        2,
		LongShare:        0.1,
		LongBurst:        time.Second,
		MaxRunning:       128,
		MaxQueue:         4096,
		MaxAccountQueue:  256,
		Credit:           20_000,
		ConfirmWithin:    250 * time.Millisecond,
		SweepEvery:       2 * time.Second,
		UrgentSweepEvery: 500 * time.Millisecond,
	}
}
