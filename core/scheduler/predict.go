package scheduler

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// Parameters of the throughput estimate.
const (
	// throughputWindow is the shortest measuring time of one sample.
	throughputWindow = time.Second
	// throughputWeight is the weight of a new sample in the moving average.
	throughputWeight = 0.3
	// minThroughputRatio is the lowest throughput used, relative to the prefill pace.
	minThroughputRatio = 0.02
)

// PredictedRequest describes the request that a prediction is made for.
type PredictedRequest struct {
	// Account is the client account.
	Account fleet.AccountID
	// Weight is the account's weight relative to others.
	Weight float64
	// PromptTokens is the number of prompt tokens.
	PromptTokens fleet.Tokens
	// UncachedTokens is the number of prompt tokens to prefill.
	UncachedTokens fleet.Tokens
	// MaxTokens is the largest number of tokens to generate.
	MaxTokens fleet.Tokens
	// Exclusive reports whether the request must run alone.
	Exclusive bool
}

// PredictedRequestOf returns the PredictedRequest for a request.
func PredictedRequestOf(request reservation.Request) PredictedRequest {
	return PredictedRequest{
		Account:        request.Account,
		Weight:         request.Weight,
		PromptTokens:   request.PromptTokens,
		UncachedTokens: uncachedTokens(request),
		MaxTokens:      request.MaxTokens,
		Exclusive:      request.Exclusive,
	}
}

// Predict returns when a request that arrived now would get its first token and complete its answer. It uses totals
// only, not the queued items.
func (e *Endpoint) Predict(now time.Time, request PredictedRequest) Prediction {
	pace := e.warmth.CurrentPace()
	total := e.ledger.Total()
	wait := e.predictWait(request)
	if request.Exclusive {
		wait += max(0, e.predictedDrain(now).Sub(now))
	}
	prefillTime := pace.PrefillTime(request.UncachedTokens)
	decodeTime := pace.DecodeTime(request.MaxTokens, total.Running)
	start := now.Add(wait + prefillTime)
	return Prediction{Start: start, Finish: start.Add(decodeTime)}
}

// predictWait returns the time until the prefill of a request would begin.
func (e *Endpoint) predictWait(request PredictedRequest) time.Duration {
	total := e.ledger.Total()
	pace := e.warmth.WarmPace()
	band := e.band(request.PromptTokens)
	work := e.queue.WorkAhead(
		request.Account, band, max(request.Weight, minWeight), e.cost(request.UncachedTokens, request.MaxTokens),
	)
	wait := e.workTime(work)
	switch band {
	case admission.Quick:
		return wait + pace.PrefillTime(total.PendingQuick)
	case admission.Medium:
		return wait + pace.PrefillTime(total.PendingShort)
	}
	if total.PrefillingLong < e.longSlots() {
		return wait
	}
	return wait + pace.PrefillTime(total.PendingLong/2)
}

// minWeight is the lower bound of weights, and of sums of weights, in calculations. It prevents divisions by zero.
const minWeight = 1e-6

// workTime returns the time that queued work takes at the current throughput.
func (e *Endpoint) workTime(work float64) time.Duration {
	return time.Duration(work / e.rate() * float64(time.Second))
}

// rate returns the estimate of the work granted per second while requests wait, in prompt-token equivalents. It is at
// least minThroughputRatio of the warm prefill pace; without a sample it is that pace.
func (e *Endpoint) rate() float64 {
	full := e.warmth.WarmPace().Prefill
	if e.throughput.rate == 0 {
		return full
	}
	return max(e.throughput.rate, minThroughputRatio*full)
}

// throughput estimates the work granted per second while requests wait.
type throughput struct {
	// rate is the estimate, or 0 if there is none.
	rate float64
	// granted is the work granted in the current sample.
	granted float64
	// since is the start of the current sample.
	since time.Time
	// waiting reports whether requests wait.
	waiting bool
}

// update adds the work granted since the last call to the sample, or starts a new sample if requests begin or cease to
// wait. While none wait, the estimate moves towards full, the prefill pace in prompt tokens per second.
func (t *throughput) update(now time.Time, waiting bool, granted, full float64) {
	if waiting != t.waiting {
		t.waiting = waiting
		t.since = now
		t.granted = 0
		return
	}
	t.granted += granted
	elapsed := now.Sub(t.since)
	if elapsed < throughputWindow {
		return
	}
	sample := full
	if waiting {
		sample = t.granted / elapsed.Seconds()
	}
	if t.rate == 0 {
		t.rate = sample
	}
	t.rate += (sample - t.rate) * throughputWeight
	t.since = now
	t.granted = 0
}

// Status returns a snapshot of the endpoint's load, free memory, predicted waits and queued accounts.
func (e *Endpoint) Status(now time.Time) Status {
	total := e.ledger.Total()
	status := Status{
		Endpoint:       e.endpoint.ID,
		Fence:          e.fence,
		MeasuredAt:     now,
		Accepting:      e.owned && e.endpoint.State != fleet.StateLeaving,
		Resyncing:      e.resyncing,
		Memory:         e.endpoint.Memory,
		Used:           e.ledger.Used(),
		Held:           e.ledger.HeldAndStray(),
		FreeShort:      e.freeMemory(admission.Quick),
		FreeLong:       e.freeMemory(admission.Long),
		Running:        total.Running,
		PrefillingLong: total.PrefillingLong,
		LongSlots:      e.longSlots(),
		Queue:          e.queue.Len(),
		Backlog:        e.queue.Backlog(),
		Warmth:         e.warmth.State,
	}
	status.Warmth.Pace = e.warmth.WarmPace()
	status.WaitShort = e.predictWait(PredictedRequest{Weight: 1, PromptTokens: 1, UncachedTokens: 1})
	status.WaitLong = e.predictWait(
		PredictedRequest{Weight: 1, PromptTokens: e.Settings.MaxMediumPrompt + 1, UncachedTokens: 1},
	)
	e.queue.EachAccount(func(id fleet.AccountID, queued int, backlog float64) {
		status.Accounts = append(status.Accounts, AccountStatus{Account: id, Queue: queued, Backlog: backlog})
	})
	return status
}

// freeMemory returns the free memory within the limits of a cold endpoint and of the band. The headroom for accounts
// below their fair share is not deducted.
func (e *Endpoint) freeMemory(band admission.Band) fleet.Tokens {
	_, limit, _ := e.warmth.Limit()
	free := min(limit, e.endpoint.Memory) - e.ledger.Used()
	if band == admission.Long {
		free = min(free, e.longMemoryLimit()-e.ledger.Total().LongMemory)
	}
	return max(0, free)
}
