package scheduler

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/ledger"
)

// predictedDrain returns when everything that the endpoint runs is predicted to have ended.
func (e *Endpoint) predictedDrain(now time.Time) time.Time {
	drained := now
	total := e.ledger.Total()
	pace := e.warmth.CurrentPace()
	prefillTime := pace.ReadTime(total.PendingShort + total.PendingLong)
	e.ledger.Each(func(r *ledger.Reservation) {
		end := now.Add(pace.GenerateTime(r.Output-r.Position, total.Running-1))
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

// predictedEnd returns when an item is predicted to end if it is granted now.
func (e *Endpoint) predictedEnd(now time.Time, i *admission.Item) time.Time {
	pace := e.warmth.CurrentPace()
	total := e.ledger.Total()
	pending := total.PendingShort + uncachedTokens(i.Request)
	return now.Add(pace.ReadTime(pending) + pace.GenerateTime(i.Request.MaxTokens, total.Running))
}
