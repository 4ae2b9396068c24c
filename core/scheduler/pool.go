package scheduler

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/warmup"
)

// Times of the pool's own work.
const (
	// sweepTimeout bounds one listing and the cancels after it.
	sweepTimeout = 2 * time.Second
	// driveEvery is the longest time between two looks at all owned endpoints.
	driveEvery = 500 * time.Millisecond
	// driveStep is the least time between two looks.
	driveStep = 2 * time.Millisecond
)

// Pool keeps the account and the queue of every endpoint that this entry owns. It implements dispatch.ReservationClient for
// them; the ownership controller tells it what to own.
type Pool struct {
	// Entry is the entry that owns.
	Entry fleet.EntryID
	// Lister tells what endpoints run; nil means that they can't be asked and are taken to run nothing unknown.
	Lister ledger.Lister
	// Settings bounds what is granted; the zero value means DefaultSettings.
	Settings Settings

	mu        sync.Mutex
	suspended bool
	slots     map[fleet.EndpointID]*slot
	wake      chan struct{}
}

// Acquire begins to grant an endpoint, or changes the fencing number of one already owned.
func (p *Pool) Acquire(endpoint fleet.Endpoint, fence fleet.Fence, takeover Takeover) {
	defer p.awaken()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.slots == nil {
		p.slots = make(map[fleet.EndpointID]*slot)
	}
	s := p.slots[endpoint.ID]
	if s == nil {
		s = p.newSlot()
		p.slots[endpoint.ID] = s
	}
	s.start(time.Now(), endpoint, fence, takeover, p.siblingPace(endpoint))
}

// newSlot returns the slot of an endpoint that was not owned.
func (p *Pool) newSlot() *slot {
	settings := p.Settings
	if settings == (Settings{}) {
		settings = DefaultSettings()
	}
	return &slot{
		machine: Endpoint{Entry: p.Entry, Settings: settings},
		waiters: make(map[Ticket]chan Decision),
	}
}

// Update tells what has changed of an owned endpoint; StateLeaving also stands for a drained availability zone.
func (p *Pool) Update(endpoint fleet.Endpoint) {
	if s := p.slot(endpoint.ID); s != nil {
		s.do(func(now time.Time, e *Endpoint) { e.Update(now, endpoint) })
	}
}

// ObserveLoad takes a load report of an owned endpoint.
func (p *Pool) ObserveLoad(id fleet.EndpointID, load fleet.Load) {
	if s := p.slot(id); s != nil {
		s.do(func(now time.Time, e *Endpoint) { e.ObserveLoad(now, load) })
	}
}

// Relinquish stops granting an endpoint, refuses its queue with ReasonNotOwner and returns what the next owner needs.
func (p *Pool) Relinquish(id fleet.EndpointID) Handover {
	p.mu.Lock()
	s := p.slots[id]
	delete(p.slots, id)
	p.mu.Unlock()
	handover := Handover{Endpoint: id}
	if s != nil {
		s.do(func(now time.Time, e *Endpoint) { handover = e.Handover(now) })
	}
	return handover
}

// Suspend stops all grants, since the membership lease of this entry has lapsed. An endpoint is granted again once
// it is owned again with resynchronisation after Resume.
func (p *Pool) Suspend() {
	p.mu.Lock()
	p.suspended = true
	p.mu.Unlock()
	for _, s := range p.all() {
		s.do(func(now time.Time, e *Endpoint) { e.Suspend(now) })
	}
}

// Resume lets endpoints be granted that are owned again with resynchronisation.
func (p *Pool) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = false
}

// Status returns the state of every owned endpoint.
func (p *Pool) Status() []Status {
	var statuses []Status
	for _, s := range p.all() {
		s.do(func(now time.Time, e *Endpoint) { statuses = append(statuses, e.Status(now)) })
	}
	return statuses
}

// Reserve waits until the request is granted or refused; the error is a *reservation.Refusal or that of ctx.
func (p *Pool) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	s := p.open(request.Endpoint)
	if s == nil {
		return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonNotOwner}
	}
	return s.reserve(ctx, request, p.awaken)
}

// Renew reports progress; the error is a *reservation.Refusal.
func (p *Pool) Renew(_ context.Context, progress reservation.Progress) error {
	s := p.slot(progress.Endpoint)
	if s == nil {
		return &reservation.Refusal{Reason: reservation.ReasonNotOwner}
	}
	var refusal *reservation.Refusal
	s.do(func(now time.Time, e *Endpoint) { refusal = e.Renew(now, progress) })
	return asError(refusal)
}

// Release gives a reservation back; the error is a *reservation.Refusal.
func (p *Pool) Release(_ context.Context, release reservation.Release) error {
	s := p.slot(release.Endpoint)
	if s == nil {
		return &reservation.Refusal{Reason: reservation.ReasonNotOwner}
	}
	var refusal *reservation.Refusal
	s.do(func(now time.Time, e *Endpoint) { refusal = e.Release(now, release) })
	return asError(refusal)
}

// asError returns a refusal as an error that is nil if the refusal is.
func asError(refusal *reservation.Refusal) error {
	if refusal == nil {
		return nil
	}
	return refusal
}

// siblingPace returns the warm pace of another endpoint of the same pool, or zero; the caller holds the lock.
func (p *Pool) siblingPace(endpoint fleet.Endpoint) warmup.Pace {
	for id, s := range p.slots {
		if id == endpoint.ID {
			continue
		}
		if pace, found := s.warmPace(endpoint.Pool); found {
			return pace
		}
	}
	return warmup.Pace{}
}

// slot returns the slot of an owned endpoint, or nil.
func (p *Pool) slot(id fleet.EndpointID) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slots[id]
}

// open returns the slot of an endpoint that may be granted, or nil.
func (p *Pool) open(id fleet.EndpointID) *slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspended {
		return nil
	}
	return p.slots[id]
}

// all returns the slots of all owned endpoints.
func (p *Pool) all() []*slot {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := make([]*slot, 0, len(p.slots))
	for _, s := range p.slots {
		slots = append(slots, s)
	}
	return slots
}

// Run drives the owned endpoints until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		p.drive(ctx, group)
		return nil
	})
	return group.Wait()
}

// drive advances every owned endpoint when it is due and begins its listings.
func (p *Pool) drive(ctx context.Context, group *errgroup.Group) {
	wake := p.awakened()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-timer.C:
		}
		now := time.Now()
		next := now.Add(driveEvery)
		for _, s := range p.all() {
			due, sweep := s.advance(now)
			next = earlier(next, due)
			if sweep {
				group.Go(func() error {
					s.sweep(ctx, p.Lister)
					return nil
				})
			}
		}
		timer.Reset(max(next.Sub(now), driveStep))
	}
}

// awakened returns the channel that awaken signals.
func (p *Pool) awakened() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wake == nil {
		p.wake = make(chan struct{}, 1)
	}
	return p.wake
}

// awaken makes drive look at all endpoints now, since an earlier time may be due.
func (p *Pool) awaken() {
	p.mu.Lock()
	wake := p.wake
	p.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}
