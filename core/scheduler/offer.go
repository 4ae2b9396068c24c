package scheduler

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// Times to come back that a refusal gives.
const (
	// minRetryAfter is the least time to come back.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is the largest time to come back before jitter.
	maxRetryAfter = 30 * time.Second
)

// Submit queues a request or refuses it at once. Advance gives the decision on a queued one.
func (e *Endpoint) Submit(now time.Time, request reservation.Request) (Ticket, *reservation.Refusal) {
	if request.Weight <= 0 {
		request.Weight = 1
	}
	if refusal := e.reject(request); refusal != nil {
		return 0, refusal
	}
	e.warmth.UpdateIdle(now, e.ledger.Attempts() == 0)
	e.queue.RecordArrival(now, request.Account, request.Weight)
	prediction := e.Predict(now, NeedOf(request))
	if prediction.Start.After(request.FirstTokenDeadline) || prediction.Finish.After(request.Deadline) {
		return 0, e.tooLate(now, request, prediction)
	}
	ticket := e.enqueue(now, request)
	e.pump(now)
	return ticket, nil
}

// reject refuses a request that can't be queued whatever its deadlines.
func (e *Endpoint) reject(request reservation.Request) *reservation.Refusal {
	memory := request.PromptTokens + request.MaxTokens
	switch {
	case !e.owned:
		return &reservation.Refusal{Reason: reservation.ReasonNotOwner}
	case e.endpoint.State == fleet.StateLeaving:
		return &reservation.Refusal{Reason: reservation.ReasonLeaving}
	case memory > e.endpoint.Memory:
		return &reservation.Refusal{Reason: reservation.ReasonTooLarge}
	case e.unlisted():
		return &reservation.Refusal{Reason: reservation.ReasonResynchronizing}
	case e.beyondCold(memory, 1):
		return e.coldRefusal()
	case e.queue.Full(request.Account):
		return &reservation.Refusal{Reason: reservation.ReasonQueueFull, RetryAfter: e.jitter(e.drainTime())}
	default:
		return nil
	}
}

// unlisted tells whether a new owner does not know yet what the endpoint runs.
func (e *Endpoint) unlisted() bool {
	return e.resyncing && e.ledger.ConsecutiveListings() == 0
}

// beyondCold tells whether a cold endpoint can't bear more requests of some memory, in force and waiting.
func (e *Endpoint) beyondCold(memory fleet.Tokens, more int) bool {
	attempts, tokens, limited := e.warmth.Limit()
	if !limited || e.warmth.Suspect() {
		return false
	}
	return memory > tokens || e.queue.Len()+more > attempts
}

// coldRefusal is the refusal of a cold endpoint; another endpoint may be tried at once.
func (e *Endpoint) coldRefusal() *reservation.Refusal {
	if e.resyncing {
		return &reservation.Refusal{Reason: reservation.ReasonResynchronizing}
	}
	return &reservation.Refusal{Reason: reservation.ReasonCold}
}

// tooLate is the refusal of a request that can't be in time.
func (e *Endpoint) tooLate(now time.Time, request reservation.Request, p Prediction) *reservation.Refusal {
	late := max(p.Start.Sub(request.FirstTokenDeadline), p.Finish.Sub(request.Deadline))
	return &reservation.Refusal{
		Reason:         reservation.ReasonTooLate,
		RetryAfter:     e.jitter(min(late, p.Start.Sub(now))),
		PredictedStart: p.Start,
	}
}

// drainTime is the time that the queue takes at the present throughput.
func (e *Endpoint) drainTime() time.Duration {
	return e.workTime(e.queue.Backlog())
}

// jitter spreads a time to come back over half of itself more.
func (e *Endpoint) jitter(after time.Duration) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(e.random.Int64N(int64(after)/2+1))
}

// enqueue adds a request to the queue.
func (e *Endpoint) enqueue(now time.Time, request reservation.Request) Ticket {
	e.ticket++
	i := e.item()
	i.Ticket = uint64(e.ticket)
	i.Request = request
	i.Band = e.band(request.PromptTokens)
	if request.Exclusive {
		i.Band = admission.Exclusive
	}
	i.Cost = e.cost(uncached(request), request.MaxTokens)
	i.QueuedAt = now
	i.LatestStart = e.lastStart(request)
	e.items[e.ticket] = i
	e.queue.Push(i)
	return e.ticket
}

// band returns the length band of a prompt.
func (e *Endpoint) band(prompt fleet.Tokens) admission.Band {
	switch {
	case prompt <= e.Settings.QuickPrompt:
		return admission.Quick
	case prompt <= e.Settings.LongPrompt:
		return admission.Medium
	default:
		return admission.Long
	}
}

// uncached returns the prompt tokens that are expected to be read, at least the last one.
func uncached(request reservation.Request) fleet.Tokens {
	return max(1, request.PromptTokens-max(0, request.CachedTokens))
}

// cost returns the work of a request in prompt tokens or their like.
func (e *Endpoint) cost(read, generated fleet.Tokens) float64 {
	return float64(read) + e.warmth.WarmPace().DecodeCost()*float64(generated)
}

// lastStart returns when a request must be granted to be in time.
func (e *Endpoint) lastStart(request reservation.Request) time.Time {
	pace := e.warmth.CurrentPace()
	read := pace.ReadTime(uncached(request))
	generate := pace.GenerateTime(request.MaxTokens, e.ledger.Total().Running)
	last := request.FirstTokenDeadline.Add(-read)
	byFinish := request.Deadline.Add(-read - generate)
	if byFinish.Before(last) {
		return byFinish
	}
	return last
}
