package placement

import (
	"cmp"
	"time"

	"wisteriadyke/core/fleet"
)

// Report is what the owner of an endpoint last told of it, for placement by all entries; it lags.
type Report struct {
	// MeasuredAt is when the figures were true.
	MeasuredAt time.Time
	// Accepting tells whether the owner takes new work for the endpoint.
	Accepting bool
	// Slots is the number of requests that a cold endpoint bears beside those it has, or UnlimitedSlots.
	Slots int
	// FreeShort is the memory that a short request could get.
	FreeShort fleet.Tokens
	// FreeLong is the memory that a long request could get.
	FreeLong fleet.Tokens
	// WaitShort is the predicted wait of a short request.
	WaitShort time.Duration
	// WaitLong is the predicted wait of a long request.
	WaitLong time.Duration
	// Prefill is the prompt tokens read a second.
	Prefill float64
	// Decode is the tokens generated a second by one of the streams.
	Decode float64
}

// UnlimitedSlots is the number of slots of a warm endpoint.
const UnlimitedSlots = 1 << 30

// Paces that are taken for endpoints without a report.
const (
	// defaultPrefill is in prompt tokens a second.
	defaultPrefill = 50_000
	// defaultDecode is in generated tokens a second.
	defaultDecode = 60
)

// unreported returns what is taken for an endpoint without a report: its last load report, else that it is idle.
func unreported(endpoint fleet.Endpoint, load fleet.Load) Report {
	free := max(0, endpoint.Memory-load.Used)
	wait := time.Duration(load.Running+load.Waiting) * waitPerAttempt
	return Report{
		MeasuredAt: load.MeasuredAt,
		Accepting:  true,
		Slots:      UnlimitedSlots,
		FreeShort:  free,
		FreeLong:   free,
		WaitShort:  wait,
		WaitLong:   wait,
		Prefill:    defaultPrefill,
		Decode:     defaultDecode,
	}
}

// waitPerAttempt is the wait that is taken for each attempt of a load report.
const waitPerAttempt = 10 * time.Millisecond

// wait returns the predicted wait of a band at the time of the report. A long prompt shares the reading with those
// that are being read, whose rest is at most the memory in use.
func (r *Report) wait(long bool, memory fleet.Tokens) time.Duration {
	if !long {
		return r.WaitShort
	}
	used := max(0, memory-r.FreeShort)
	return r.WaitLong + seconds(float64(used)/cmp.Or(r.Prefill, defaultPrefill))
}

// fits tells whether a request of a band could start at once as far as memory and a cold start go.
func (r *Report) fits(long bool, memory fleet.Tokens) bool {
	free := r.FreeShort
	if long {
		free = r.FreeLong
	}
	return memory <= free && r.Slots > 0
}
