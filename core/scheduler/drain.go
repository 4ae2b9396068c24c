package scheduler

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/ledger"
)

// predictedDrain returns when everything that the endpoint runs is predicted to have ended. Held reservations are
// assumed to end within one listing interval.
func (e *Endpoint) predictedDrain(now time.Time) time.Time {
	drained := now
	total := e.ledger.Total()
	pace := e.warmth.CurrentPace()
	prefillTime := pace.PrefillTime(total.PendingShort + total.PendingLong)
	e.ledger.Each(func(r *ledger.Reservation) {
		end := now.Add(pace.DecodeTime(r.Output-r.Position, total.Running-1))
		if r.Prefilling() {
			end = end.Add(prefillTime)
		}
		if r.Held {
			end = now.Add(e.Settings.ListInterval)
		}
		if end.After(drained) {
			drained = end
		}
	})
	return drained
}

// predictedEnd returns when an item is predicted to end if it is granted now. Pending short prompts are assumed to be
// prefilled first; pending long ones are not counted.
func (e *Endpoint) predictedEnd(now time.Time, i *admission.Item) time.Time {
	pace := e.warmth.CurrentPace()
	total := e.ledger.Total()
	pending := total.PendingShort + uncachedTokens(i.Request)
	return now.Add(pace.PrefillTime(pending) + pace.DecodeTime(i.Request.MaxTokens, total.Running))
}
