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
	// FairShareHeadroom is the share of the memory that accounts above their fair share can't take while others ask, and
	// of the reservations in force that they can't take at any time.
	FairShareHeadroom float64
	// ContentionWindow is how long after another account has asked this headroom is kept.
	ContentionWindow time.Duration
	// PrefillWindow is the time of reading that short requests are granted ahead.
	PrefillWindow time.Duration
	// LongSlots is the largest number of long prompts that are read at once.
	LongSlots int
	// LongPrefillShare is the least share of reading that is left to long prompts which are being read.
	LongPrefillShare float64
	// LongPrefillBurst is the time for which short requests may leave them less.
	LongPrefillBurst time.Duration
	// MaxRunning is the largest number of reservations in force.
	MaxRunning int
	// MaxQueue is the largest number of requests that wait.
	MaxQueue int
	// MaxAccountQueue is the largest number of requests of one account that wait.
	MaxAccountQueue int
	// Credit is the work that an account which comes back may be given ahead of others, for each unit of weight.
	Credit float64
	// ConfirmTimeout is how long an idle endpoint is given no more than a cold one bears while none of its grants has
	// been answered.
	ConfirmTimeout time.Duration
	// ListInterval is the time between listings.
	ListInterval time.Duration
	// UrgentListInterval is the time between listings while memory is held or the endpoint's life is in doubt.
	UrgentListInterval time.Duration
}

// DefaultSettings returns the settings in use unless an owner has others.
func DefaultSettings() Settings {
	return Settings{
		Ledger:             ledger.DefaultSettings(),
		Warmup:             warmup.DefaultSettings(),
		QuickPrompt:        4_000,
		LongPrompt:         32_000,
		ShortHeadroom:      0.15,
		FairShareHeadroom:  0.08,
		ContentionWindow:   time.Minute,
		PrefillWindow:      200 * time.Millisecond,
		LongSlots:          2,
		LongPrefillShare:   0.1,
		LongPrefillBurst:   time.Second,
		MaxRunning:         128,
		MaxQueue:           4096,
		MaxAccountQueue:    256,
		Credit:             20_000,
		ConfirmTimeout:     250 * time.Millisecond,
		ListInterval:       2 * time.Second,
		UrgentListInterval: 500 * time.Millisecond,
	}
}
