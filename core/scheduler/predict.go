package scheduler

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// Bounds of the measured throughput.
const (
	// throughputWindow is the least time over which it is measured.
	throughputWindow = time.Second
	// throughputShare is the share by which it moves towards a measured one.
	throughputShare = 0.3
	// minThroughput is its least part of the reading pace.
	minThroughput = 0.02
)

// Need is what a prediction is made for.
type Need struct {
	// Account is the client account.
	Account fleet.AccountID
	// Weight is its share relative to others.
	Weight float64
	// PromptTokens is the number of prompt tokens.
	PromptTokens fleet.Tokens
	// UncachedTokens is the number of prompt tokens to read.
	UncachedTokens fleet.Tokens
	// MaxTokens is the largest number of tokens to generate.
	MaxTokens fleet.Tokens
	// Exclusive asks for the endpoint alone.
	Exclusive bool
}

// NeedOf returns what a request needs.
func NeedOf(request reservation.Request) Need {
	return Need{
		Account:        request.Account,
		Weight:         request.Weight,
		PromptTokens:   request.PromptTokens,
		UncachedTokens: uncached(request),
		MaxTokens:      request.MaxTokens,
		Exclusive:      request.Exclusive,
	}
}

// Predict returns when a request that came now would start and finish, from sums only.
func (e *Endpoint) Predict(now time.Time, need Need) Prediction {
	pace := e.warmth.CurrentPace()
	total := e.ledger.Total()
	wait := e.predictWait(need)
	if need.Exclusive {
		wait += max(0, e.drainedAt(now).Sub(now))
	}
	read := pace.ReadTime(need.UncachedTokens)
	generate := pace.GenerateTime(need.MaxTokens, total.Running)
	start := now.Add(wait + read)
	return Prediction{Start: start, Finish: start.Add(generate)}
}

// predictWait returns the time until a request would be read.
func (e *Endpoint) predictWait(need Need) time.Duration {
	total := e.ledger.Total()
	pace := e.warmth.WarmPace()
	band := e.band(need.PromptTokens)
	work := e.queue.WorkAhead(need.Account, band, max(need.Weight, minWeight), e.cost(need.UncachedTokens, need.MaxTokens))
	wait := e.workTime(work)
	switch band {
	case admission.Quick:
		return wait + pace.ReadTime(total.PendingQuick)
	case admission.Medium:
		return wait + pace.ReadTime(total.PendingShort)
	}
	if total.PrefillingLong < e.longSlots() {
		return wait
	}
	return wait + pace.ReadTime(total.PendingLong/2)
}

// minWeight keeps a share positive.
const minWeight = 1e-6

// workTime returns the time that waiting work takes at the measured throughput.
func (e *Endpoint) workTime(work float64) time.Duration {
	return time.Duration(work / e.rate() * float64(time.Second))
}

// rate returns the work that the endpoint is granted a second while requests wait.
func (e *Endpoint) rate() float64 {
	full := e.warmth.WarmPace().Prefill
	if e.throughput.rate == 0 {
		return full
	}
	return max(e.throughput.rate, minThroughput*full)
}

// throughput measures the work granted a second while requests wait.
type throughput struct {
	// rate is the measured work a second, or 0.
	rate float64
	// granted is the work granted since since.
	granted float64
	// since is when the measured time began.
	since time.Time
	// waiting tells whether requests wait.
	waiting bool
}

// note tells whether requests wait and how much work was granted since the last call; while none wait, the measured
// throughput moves back to the full one.
func (t *throughput) note(now time.Time, waiting bool, granted, full float64) {
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
	t.rate += (sample - t.rate) * throughputShare
	t.since = now
	t.granted = 0
}

// Status returns the state of the endpoint.
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
		Held:           e.ledger.Held(),
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
	status.WaitShort = e.predictWait(Need{Weight: 1, PromptTokens: 1, UncachedTokens: 1})
	status.WaitLong = e.predictWait(Need{Weight: 1, PromptTokens: e.Settings.LongPrompt + 1, UncachedTokens: 1})
	e.queue.EachAccount(func(id fleet.AccountID, queued int, backlog float64) {
		status.Accounts = append(status.Accounts, AccountStatus{Account: id, Queue: queued, Backlog: backlog})
	})
	return status
}

// freeMemory returns the memory that a request of a band could get now.
func (e *Endpoint) freeMemory(band admission.Band) fleet.Tokens {
	_, limit, _ := e.warmth.Limit()
	free := min(limit, e.endpoint.Memory) - e.ledger.Used()
	if band == admission.Long {
		free = min(free, e.longMemory()-e.ledger.Total().Long)
	}
	return max(0, free)
}
