package scheduler

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/ledger"
)

// drainedAt returns when all that the endpoint runs is predicted to have ended.
func (e *Endpoint) drainedAt(now time.Time) time.Time {
	drained := now
	total := e.ledger.Total()
	pace := e.warmth.CurrentPace()
	read := pace.ReadTime(total.PendingShort + total.PendingLong)
	e.ledger.Each(func(r *ledger.Reservation) {
		end := now.Add(pace.GenerateTime(r.Output-r.Position, total.Running-1))
		if r.Prefilling() {
			end = end.Add(read)
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

// endsAt returns when an item that is granted now is predicted to have ended.
func (e *Endpoint) endsAt(now time.Time, i *admission.Item) time.Time {
	pace := e.warmth.CurrentPace()
	total := e.ledger.Total()
	unread := total.PendingShort + uncached(i.Request)
	return now.Add(pace.ReadTime(unread) + pace.GenerateTime(i.Request.MaxTokens, total.Running))
}
