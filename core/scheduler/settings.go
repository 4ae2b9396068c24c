package scheduler

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/warmup"
)

// Settings configures the scheduling of an owned endpoint.
type Settings struct {
	// Ledger configures leases and the reclaim of stray memory.
	Ledger ledger.Settings
	// Warmup configures the limits of a cold endpoint.
	Warmup warmup.Settings
	// MaxQuickPrompt is the largest prompt, in tokens, of the quick band. Package sharedload defines quick prompts by
	// their prefill time instead.
	MaxQuickPrompt fleet.Tokens
	// MaxMediumPrompt is the largest prompt, in tokens, of the medium band; longer ones are in the long band.
	MaxMediumPrompt fleet.Tokens
	// ShortHeadroom is the share of the memory that long requests can't use; a single one that needs more may use all
	// memory.
	ShortHeadroom float64
	// FairShareHeadroom is the share of the memory that short requests of accounts above their fair share can't use while
	// several accounts send requests, and the share of MaxRunning that they can never use.
	FairShareHeadroom float64
	// ContentionWindow is how long FairShareHeadroom applies to the memory after a request of another account.
	ContentionWindow time.Duration
	// PrefillWindow bounds the prefill time of the short requests granted but not yet prefilled; for a quick request only
	// the quick ones count. An account below its fair share may use twice the bound, and a request may exceed it if none
	// is pending.
	PrefillWindow time.Duration
	// LongSlots is the largest number of long prompts in prefill at once; an account below its fair share may exceed it by
	// one.
	LongSlots int
	// LongPrefillShare is the smallest share of the prefill throughput that is left to long prompts in prefill.
	LongPrefillShare float64
	// LongPrefillBurst is the capacity, as prefill time, of the token bucket that limits the prefill of short requests
	// beside long prompts.
	LongPrefillBurst time.Duration
	// MaxRunning is the largest number of active reservations.
	MaxRunning int
	// MaxQueue is the largest number of queued requests.
	MaxQueue int
	// MaxAccountQueue is the largest number of queued requests of one account.
	MaxAccountQueue int
	// Credit is the work, in prompt-token equivalents, that a returning account of any weight may be granted ahead of
	// others.
	Credit float64
	// FirstAnswerTimeout is how long the grants on an idle endpoint are limited as on a cold one while none of them has
	// been answered.
	FirstAnswerTimeout time.Duration
	// ListInterval is the time between listings.
	ListInterval time.Duration
	// UrgentListInterval is the time between listings while memory is held, the owner resynchronizes or a restart of the
	// endpoint is suspected.
	UrgentListInterval time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Ledger:             ledger.DefaultSettings(),
		Warmup:             warmup.DefaultSettings(),
		MaxQuickPrompt:     4_000,
		MaxMediumPrompt:    32_000,
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
		FirstAnswerTimeout: 250 * time.Millisecond,
		ListInterval:       2 * time.Second,
		UrgentListInterval: 500 * time.Millisecond,
	}
}
