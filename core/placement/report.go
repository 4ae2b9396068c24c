package placement

import (
	"cmp"
	"time"

	"wisteriadyke/core/fleet"
)

// Report is the last report of an endpoint's owner, which all entries use for placement. It may be outdated.
type Report struct {
	// MeasuredAt is the time of the measurement.
	MeasuredAt time.Time
	// Accepting reports whether the owner accepts new requests for the endpoint.
	Accepting bool
	// FreeSlots is the number of further requests that a cold endpoint accepts, or UnlimitedFreeSlots. Unlike Slots of
	// fleet.Endpoint, it does not count the requests that run.
	FreeSlots int
	// FreeShort is the free memory for a short request, in tokens.
	FreeShort fleet.Tokens
	// FreeLong is the free memory for a long request, in tokens.
	FreeLong fleet.Tokens
	// WaitShort is the predicted wait of a short request.
	WaitShort time.Duration
	// WaitLong is the predicted wait of a long request.
	WaitLong time.Duration
	// Prefill is the prefill pace in prompt tokens per second.
	Prefill float64
	// Decode is the decode pace of one stream in tokens per second.
	Decode float64
}

// UnlimitedFreeSlots is the number of free slots of a warm endpoint.
const UnlimitedFreeSlots = 1 << 30

// Paces of endpoints without a report.
const (
	// defaultPrefill is in prompt tokens per second.
	defaultPrefill = 50_000
	// defaultDecode is in generated tokens per second.
	defaultDecode = 60
)

// estimatedReport returns the report that is assumed for an endpoint without one. It is derived from the last load; an
// endpoint without a load is assumed to be idle.
func estimatedReport(endpoint fleet.Endpoint, load fleet.Load) Report {
	free := max(0, endpoint.Memory-load.UsedMemory)
	wait := time.Duration(load.Running+load.Waiting) * waitPerAttempt
	return Report{
		MeasuredAt: load.MeasuredAt,
		Accepting:  true,
		FreeSlots:  UnlimitedFreeSlots,
		FreeShort:  free,
		FreeLong:   free,
		WaitShort:  wait,
		WaitLong:   wait,
		Prefill:    defaultPrefill,
		Decode:     defaultDecode,
	}
}

// waitPerAttempt is the assumed wait for each attempt that a load reports as running or waiting.
const waitPerAttempt = 10 * time.Millisecond

// wait returns the predicted wait of a long or shorter prompt at the time of the report. A long prompt shares the
// prefill capacity with those in prefill, whose remaining tokens are at most the memory in use; memory is the whole
// memory of the endpoint, in tokens.
func (r *Report) wait(long bool, memory fleet.Tokens) time.Duration {
	if !long {
		return r.WaitShort
	}
	used := max(0, memory-r.FreeShort)
	return r.WaitLong + seconds(float64(used)/cmp.Or(r.Prefill, defaultPrefill))
}

// fits reports whether a request that needs the given memory, in tokens, could start at once: the memory that is free
// for its length must suffice, and an endpoint that is still cold must accept a further request.
func (r *Report) fits(long bool, memory fleet.Tokens) bool {
	free := r.FreeShort
	if long {
		free = r.FreeLong
	}
	return memory <= free && r.FreeSlots > 0
}
