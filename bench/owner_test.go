package bench_test

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/io/engine"
)

// owner simulates the owner of one endpoint by driving its scheduler.
type owner struct {
	simulation *simulation
	endpoint   *endpoint
	scheduler  scheduler.Endpoint
	// callbacks holds the callbacks of the requests without a decision.
	callbacks map[scheduler.Ticket]func(scheduler.Decision)
	// wakeAt is the time of the latest scheduled wake-up, or zero.
	wakeAt time.Time
}

// newOwner returns the owner of a warm endpoint.
func newOwner(s *simulation, ep *endpoint) *owner {
	o := &owner{
		simulation: s,
		endpoint:   ep,
		scheduler:  scheduler.Endpoint{Entry: "owner", Settings: scheduler.DefaultSettings()},
		callbacks:  make(map[scheduler.Ticket]func(scheduler.Decision)),
	}
	handover := scheduler.Handover{Endpoint: ep.info.ID, Fence: 1, Warmth: warmState(ep.model)}
	o.scheduler.Start(s.now, ep.info, 2, scheduler.Takeover{Handover: &handover})
	s.after(messageDelay, o.reconcile)
	return o
}

// apply applies a change to the scheduler, passes its pending decisions to their callbacks after messageDelay and
// schedules the next wake-up, unless an earlier one is already scheduled.
func (o *owner) apply(change func(e *scheduler.Endpoint)) {
	change(&o.scheduler)
	now := o.simulation.now
	for _, decision := range o.scheduler.Advance(now) {
		callback := o.callbacks[decision.Ticket]
		delete(o.callbacks, decision.Ticket)
		o.simulation.after(messageDelay, func() { callback(decision) })
	}
	wake := o.scheduler.NextWake()
	if wake.IsZero() || !o.wakeAt.IsZero() && o.wakeAt.After(now) && !wake.Before(o.wakeAt) {
		return
	}
	if !wake.After(now) {
		wake = now.Add(time.Millisecond)
	}
	o.wakeAt = wake
	o.simulation.at(wake, func() { o.apply(func(*scheduler.Endpoint) {}) })
}

// reserve requests a reservation; callback is called with the decision messageDelay after it was made.
func (o *owner) reserve(r reservation.Request, callback func(scheduler.Decision)) {
	o.apply(func(e *scheduler.Endpoint) {
		ticket, refusal := e.Submit(o.simulation.now, r)
		if refusal != nil {
			o.simulation.after(messageDelay, func() { callback(scheduler.Decision{Refusal: refusal}) })
			return
		}
		o.callbacks[ticket] = callback
	})
}

// setDrained sets the state of the endpoint in the scheduler to leaving if drained is true, else to live.
func (o *owner) setDrained(drained bool) {
	info := o.endpoint.info
	if drained {
		info.State = fleet.StateLeaving
	}
	o.apply(func(e *scheduler.Endpoint) { e.Update(o.simulation.now, info) })
}

// reconcile lists the attempts on the endpoint, passes the listing to the scheduler, cancels the attempts that the
// scheduler reclaims, and schedules the next listing.
func (o *owner) reconcile() {
	requestedAt := o.simulation.now
	listing := o.endpoint.model.Listing(requestedAt)
	o.simulation.after(2*messageDelay, func() {
		now := o.simulation.now
		var reclaim ledger.Reclaim
		o.apply(func(e *scheduler.Endpoint) { reclaim = e.ObserveListing(now, requestedAt, listingOf(listing)) })
		for _, attempt := range reclaim.Attempts {
			o.endpoint.cancel(attempt)
			o.apply(func(e *scheduler.Endpoint) { e.ConfirmCanceled(now, attempt) })
		}
		o.simulation.at(o.scheduler.NextListing(), o.reconcile)
	})
}

// listingOf converts the engine's listing to that of the ledger.
func listingOf(listing engine.Listing) ledger.Listing {
	l := ledger.Listing{Incarnation: listing.Incarnation}
	for _, a := range listing.Attempts {
		l.Attempts = append(l.Attempts, ledger.Attempt{
			ID: a.AttemptID,
			Key: ledger.Key{
				Reservation: fleet.ReservationID(a.ReservationID),
				Generation:  fleet.Generation(a.Generation),
			},
			Fence:     a.Fence,
			Memory:    a.KVTokens,
			StartedAt: a.StartedAt,
		})
	}
	return l
}
