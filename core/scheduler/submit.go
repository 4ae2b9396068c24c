package scheduler

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// Bounds of the retry delay in refusals.
const (
	// minRetryAfter is the shortest retry delay.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is the longest retry delay, before jitter.
	maxRetryAfter = 30 * time.Second
)

// Submit queues a request or refuses it immediately. Advance returns the decision on a queued request.
func (e *Endpoint) Submit(now time.Time, request reservation.Request) (Ticket, *reservation.Refusal) {
	if request.Weight <= 0 {
		request.Weight = 1
	}
	if refusal := e.admissionRefusal(request); refusal != nil {
		return 0, refusal
	}
	e.warmth.UpdateIdle(now, e.ledger.Attempts() == 0)
	e.queue.RecordArrival(now, request.Account, request.Weight)
	prediction := e.Predict(now, PredictedRequestOf(request))
	if prediction.Start.After(request.FirstTokenDeadline) || prediction.Finish.After(request.Deadline) {
		return 0, e.tooLateRefusal(now, request, prediction)
	}
	ticket := e.enqueue(now, request)
	e.process(now)
	return ticket, nil
}

// admissionRefusal returns the refusal of a request that can't be queued whatever its deadlines, or nil.
func (e *Endpoint) admissionRefusal(request reservation.Request) *reservation.Refusal {
	memory := request.PromptTokens + request.MaxTokens
	switch {
	case !e.owned:
		return &reservation.Refusal{Reason: reservation.ReasonNotOwner}
	case e.endpoint.State == fleet.StateLeaving:
		return &reservation.Refusal{Reason: reservation.ReasonLeaving}
	case memory > e.endpoint.Memory:
		return &reservation.Refusal{Reason: reservation.ReasonTooLarge}
	case e.awaitsListing():
		return &reservation.Refusal{Reason: reservation.ReasonResynchronizing}
	case e.exceedsColdLimit(memory, 1):
		return e.coldRefusal()
	case e.queue.Full(request.Account):
		return &reservation.Refusal{Reason: reservation.ReasonQueueFull, RetryAfter: e.jitterRetryAfter(e.queueDrainTime())}
	default:
		return nil
	}
}

// awaitsListing reports whether a new owner has not yet received a listing of the endpoint.
func (e *Endpoint) awaitsListing() bool {
	return e.resyncing && e.ledger.SuccessfulListings() == 0
}

// exceedsColdLimit reports whether a request of the given memory, or the given number of further queued requests,
// exceeds the limits of a cold endpoint. It is false while a restart of the endpoint is only suspected.
func (e *Endpoint) exceedsColdLimit(memory fleet.Tokens, more int) bool {
	attempts, tokens, limited := e.warmth.Limit()
	if !limited || e.warmth.RestartSuspected() {
		return false
	}
	return memory > tokens || e.queue.Len()+more > attempts
}

// coldRefusal returns the refusal of a request beyond the cold limit. It has no retry delay: the requesting entry may
// try another endpoint immediately.
func (e *Endpoint) coldRefusal() *reservation.Refusal {
	if e.resyncing {
		return &reservation.Refusal{Reason: reservation.ReasonResynchronizing}
	}
	return &reservation.Refusal{Reason: reservation.ReasonCold}
}

// tooLateRefusal returns the refusal of a request that is predicted to miss a deadline.
func (e *Endpoint) tooLateRefusal(now time.Time, request reservation.Request, p Prediction) *reservation.Refusal {
	late := max(p.Start.Sub(request.FirstTokenDeadline), p.Finish.Sub(request.Deadline))
	return &reservation.Refusal{
		Reason:         reservation.ReasonTooLate,
		RetryAfter:     e.jitterRetryAfter(min(late, p.Start.Sub(now))),
		PredictedStart: p.Start,
	}
}

// queueDrainTime returns the time that the queued work takes at the current throughput.
func (e *Endpoint) queueDrainTime() time.Duration {
	return e.workTime(e.queue.Backlog())
}

// jitterRetryAfter clamps a retry delay to its bounds and adds up to half of it as jitter.
func (e *Endpoint) jitterRetryAfter(after time.Duration) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(e.random.Int64N(int64(after)/2+1))
}

// enqueue adds a request to the queue and returns its ticket.
func (e *Endpoint) enqueue(now time.Time, request reservation.Request) Ticket {
	e.lastTicket++
	i := e.newItem()
	i.Ticket = uint64(e.lastTicket)
	i.Request = request
	i.Band = e.band(request.PromptTokens)
	if request.Exclusive {
		i.Band = admission.Exclusive
	}
	i.Cost = e.cost(uncachedTokens(request), request.MaxTokens)
	i.QueuedAt = now
	i.LatestStart = e.latestStart(request)
	e.items[e.lastTicket] = i
	e.queue.Push(i)
	return e.lastTicket
}

// band returns the length band of a prompt.
func (e *Endpoint) band(prompt fleet.Tokens) admission.Band {
	switch {
	case prompt <= e.Settings.MaxQuickPrompt:
		return admission.Quick
	case prompt <= e.Settings.MaxMediumPrompt:
		return admission.Medium
	default:
		return admission.Long
	}
}

// uncachedTokens returns the expected number of prompt tokens to prefill; the last one is always prefilled.
func uncachedTokens(request reservation.Request) fleet.Tokens {
	return max(1, request.PromptTokens-max(0, request.CachedTokens))
}

// cost returns the work of prefilling and generating the given numbers of tokens, in prompt-token equivalents at the
// warm pace.
func (e *Endpoint) cost(prefilled, generated fleet.Tokens) float64 {
	return float64(prefilled) + e.warmth.WarmPace().DecodeCost()*float64(generated)
}

// latestStart returns the latest time at which a request can be granted and still meet its deadlines.
func (e *Endpoint) latestStart(request reservation.Request) time.Time {
	pace := e.warmth.CurrentPace()
	prefillTime := pace.PrefillTime(uncachedTokens(request))
	decodeTime := pace.DecodeTime(request.MaxTokens, e.ledger.Total().Running)
	last := request.FirstTokenDeadline.Add(-prefillTime)
	byFinish := request.Deadline.Add(-prefillTime - decodeTime)
	if byFinish.Before(last) {
		return byFinish
	}
	return last
}
