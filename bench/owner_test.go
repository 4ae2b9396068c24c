package bench_test

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/io/engine"
)

// owner drives the owner's state machine of one endpoint.
type owner struct {
	simulation *simulation
	backend    *backend
	machine    scheduler.Endpoint
	waiters    map[scheduler.Ticket]func(scheduler.Decision)
	wakeAt     time.Time
}

// newOwner returns the owner of a warm endpoint.
func newOwner(s *simulation, b *backend) *owner {
	o := &owner{
		simulation: s,
		backend:    b,
		machine:    scheduler.Endpoint{Entry: "owner", Settings: scheduler.DefaultSettings()},
		waiters:    make(map[scheduler.Ticket]func(scheduler.Decision)),
	}
	handover := scheduler.Handover{Endpoint: b.endpoint.ID, Fence: 1, Warmth: warm(b.model)}
	o.machine.Start(s.now, b.endpoint, 2, scheduler.Takeover{Handover: &handover})
	s.after(oneWay, o.sweep)
	return o
}

// do changes the machine and delivers what it decides.
func (o *owner) do(change func(e *scheduler.Endpoint)) {
	change(&o.machine)
	now := o.simulation.now
	for _, decision := range o.machine.Advance(now) {
		waiter := o.waiters[decision.Ticket]
		delete(o.waiters, decision.Ticket)
		o.simulation.after(oneWay, func() { waiter(decision) })
	}
	wake := o.machine.NextWake()
	if wake.IsZero() || !o.wakeAt.IsZero() && o.wakeAt.After(now) && !wake.Before(o.wakeAt) {
		return
	}
	if !wake.After(now) {
		wake = now.Add(time.Millisecond)
	}
	o.wakeAt = wake
	o.simulation.at(wake, func() { o.do(func(*scheduler.Endpoint) {}) })
}

// reserve asks for a reservation; decided is called with the decision one delay after it was made.
func (o *owner) reserve(r reservation.Request, decided func(scheduler.Decision)) {
	o.do(func(e *scheduler.Endpoint) {
		ticket, refusal := e.Submit(o.simulation.now, r)
		if refusal != nil {
			o.simulation.after(oneWay, func() { decided(scheduler.Decision{Refusal: refusal}) })
			return
		}
		o.waiters[ticket] = decided
	})
}

// update tells the owner whether its zone takes new work.
func (o *owner) update(drained bool) {
	endpoint := o.backend.endpoint
	if drained {
		endpoint.State = fleet.StateLeaving
	}
	o.do(func(e *scheduler.Endpoint) { e.Update(o.simulation.now, endpoint) })
}

// sweep lists the endpoint and ends what is to be reclaimed.
func (o *owner) sweep() {
	begun := o.simulation.now
	listing := o.backend.model.Listing(begun)
	o.simulation.after(2*oneWay, func() {
		now := o.simulation.now
		var reclaim ledger.Reclaim
		o.do(func(e *scheduler.Endpoint) { reclaim = e.ObserveListing(now, begun, listingOf(listing)) })
		for _, attempt := range reclaim.Attempts {
			o.backend.cancel(attempt)
			o.do(func(e *scheduler.Endpoint) { e.ConfirmCanceled(now, attempt) })
		}
		o.simulation.at(o.machine.NextListing(), o.sweep)
	})
}

// listingOf turns the engine's listing into that of the ledger.
func listingOf(listing engine.Listing) ledger.Listing {
	l := ledger.Listing{Incarnation: listing.Incarnation}
	for _, a := range listing.Attempts {
		l.Attempts = append(l.Attempts, ledger.Attempt{
			ID:        a.AttemptID,
			Key:       ledger.Key{Reservation: fleet.ReservationID(a.ReservationID), Generation: fleet.Generation(a.Generation)},
			Fence:     a.Fence,
			Memory:    a.KVTokens,
			StartedAt: a.StartedAt,
		})
	}
	return l
}
