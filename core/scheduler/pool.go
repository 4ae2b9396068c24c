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

// Intervals and timeouts of the pool's loop.
const (
	// reconcileTimeout bounds one listing together with the cancellations and drops that follow from it.
	reconcileTimeout = 2 * time.Second
	// maxAdvanceInterval is the longest time between two passes over all owned endpoints.
	maxAdvanceInterval = 500 * time.Millisecond
	// minAdvanceInterval is the shortest time between two passes, except those that wakeLoop starts.
	minAdvanceInterval = 2 * time.Millisecond
)

// Pool schedules every endpoint that this entry owns. It implements dispatch.ReservationClient for them; the ownership
// controller decides which endpoints it owns.
type Pool struct {
	// Entry is the entry that owns the endpoints.
	Entry fleet.EntryID
	// Lister lists what endpoints run. If it is nil, endpoints are assumed to hold no stray memory.
	Lister ledger.Lister
	// Settings configures bands, limits, leases and listing intervals; the zero value means DefaultSettings.
	Settings Settings

	mu        sync.Mutex
	suspended bool
	owned     map[fleet.EndpointID]*ownedEndpoint
	wake      chan struct{}
}

// Acquire starts to grant reservations on an endpoint, or changes the fencing token of an owned one.
func (p *Pool) Acquire(endpoint fleet.Endpoint, fence fleet.Fence, takeover Takeover) {
	defer p.wakeLoop()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.owned == nil {
		p.owned = make(map[fleet.EndpointID]*ownedEndpoint)
	}
	s := p.owned[endpoint.ID]
	if s == nil {
		s = p.newOwnedEndpoint()
		p.owned[endpoint.ID] = s
	}
	s.start(time.Now(), endpoint, fence, takeover, p.samePoolPace(endpoint))
}

// newOwnedEndpoint returns the state of an endpoint that was not owned before.
func (p *Pool) newOwnedEndpoint() *ownedEndpoint {
	settings := p.Settings
	if settings == (Settings{}) {
		settings = DefaultSettings()
	}
	return &ownedEndpoint{
		state:   Endpoint{Entry: p.Entry, Settings: settings},
		waiters: make(map[Ticket]chan Decision),
	}
}

// Update replaces the description of an owned endpoint. StateLeaving is also used for a drained availability zone.
func (p *Pool) Update(endpoint fleet.Endpoint) {
	if s := p.lookup(endpoint.ID); s != nil {
		s.update(func(now time.Time, e *Endpoint) { e.Update(now, endpoint) })
	}
}

// ObserveLoad records the incarnation in a load report of an owned endpoint. No code of this program calls it.
func (p *Pool) ObserveLoad(id fleet.EndpointID, load fleet.Load) {
	if s := p.lookup(id); s != nil {
		s.update(func(now time.Time, e *Endpoint) { e.ObserveLoad(now, load) })
	}
}

// Relinquish stops grants on an endpoint, refuses its queued requests with ReasonNotOwner and returns the state that
// the next owner needs.
func (p *Pool) Relinquish(id fleet.EndpointID) Handover {
	p.mu.Lock()
	s := p.owned[id]
	delete(p.owned, id)
	p.mu.Unlock()
	handover := Handover{Endpoint: id}
	if s != nil {
		s.update(func(now time.Time, e *Endpoint) { handover = e.Handover(now) })
	}
	return handover
}

// Suspend stops all grants and refuses all queued requests, because this entry does not hold the membership lease.
// Grants on an endpoint start again once it has been acquired after Resume, with resynchronization unless its former
// owner handed it over.
func (p *Pool) Suspend() {
	p.mu.Lock()
	p.suspended = true
	p.mu.Unlock()
	for _, s := range p.all() {
		s.update(func(now time.Time, e *Endpoint) { e.Suspend(now) })
	}
}

// Resume allows grants on endpoints that are acquired from now on.
func (p *Pool) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspended = false
}

// Status returns the status of every owned endpoint.
func (p *Pool) Status() []Status {
	var statuses []Status
	for _, s := range p.all() {
		s.update(func(now time.Time, e *Endpoint) { statuses = append(statuses, e.Status(now)) })
	}
	return statuses
}

// Reserve waits until the request is granted or refused; the error is a *reservation.Refusal, or the wrapped error of
// ctx if ctx ends first.
func (p *Pool) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	s := p.lookupUnlessSuspended(request.Endpoint)
	if s == nil {
		return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonNotOwner}
	}
	return s.reserve(ctx, request, p.wakeLoop)
}

// Renew records the progress of an attempt on its reservation; the error is a *reservation.Refusal.
func (p *Pool) Renew(_ context.Context, progress reservation.Progress) error {
	s := p.lookup(progress.Endpoint)
	if s == nil {
		return &reservation.Refusal{Reason: reservation.ReasonNotOwner}
	}
	var refusal *reservation.Refusal
	s.update(func(now time.Time, e *Endpoint) { refusal = e.Renew(now, progress) })
	return refusalError(refusal)
}

// Release ends a reservation; the error is a *reservation.Refusal.
func (p *Pool) Release(_ context.Context, release reservation.Release) error {
	s := p.lookup(release.Endpoint)
	if s == nil {
		return &reservation.Refusal{Reason: reservation.ReasonNotOwner}
	}
	var refusal *reservation.Refusal
	s.update(func(now time.Time, e *Endpoint) { refusal = e.Release(now, release) })
	return refusalError(refusal)
}

// refusalError converts a refusal to an error; a nil refusal becomes a nil error.
func refusalError(refusal *reservation.Refusal) error {
	if refusal == nil {
		return nil
	}
	return refusal
}

// samePoolPace returns the warm pace of another endpoint of the same pool, or zero; the caller holds the lock.
func (p *Pool) samePoolPace(endpoint fleet.Endpoint) warmup.Pace {
	for id, s := range p.owned {
		if id == endpoint.ID {
			continue
		}
		if pace, found := s.warmPace(endpoint.Pool); found {
			return pace
		}
	}
	return warmup.Pace{}
}

// lookup returns the state of an endpoint, or nil if this entry doesn't own it.
func (p *Pool) lookup(id fleet.EndpointID) *ownedEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owned[id]
}

// lookupUnlessSuspended returns an owned endpoint, or nil if it isn't owned or the pool is suspended.
func (p *Pool) lookupUnlessSuspended(id fleet.EndpointID) *ownedEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.suspended {
		return nil
	}
	return p.owned[id]
}

// all returns all owned endpoints.
func (p *Pool) all() []*ownedEndpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	owned := make([]*ownedEndpoint, 0, len(p.owned))
	for _, s := range p.owned {
		owned = append(owned, s)
	}
	return owned
}

// Run advances and lists the owned endpoints until ctx ends; it returns no error.
func (p *Pool) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		p.advanceLoop(ctx, group)
		return nil
	})
	return group.Wait()
}

// advanceLoop advances all owned endpoints when one of them is due or wakeLoop is called, and starts their listings.
func (p *Pool) advanceLoop(ctx context.Context, group *errgroup.Group) {
	wake := p.wakeChannel()
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
		next := now.Add(maxAdvanceInterval)
		for _, s := range p.all() {
			due, listDue := s.advance(now)
			next = earliest(next, due)
			if listDue {
				group.Go(func() error {
					s.reconcile(ctx, p.Lister)
					return nil
				})
			}
		}
		timer.Reset(max(next.Sub(now), minAdvanceInterval))
	}
}

// wakeChannel returns the channel that wakeLoop signals.
func (p *Pool) wakeChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wake == nil {
		p.wake = make(chan struct{}, 1)
	}
	return p.wake
}

// wakeLoop makes advanceLoop check all endpoints now, because something may be due earlier than expected.
func (p *Pool) wakeLoop() {
	p.mu.Lock()
	wake := p.wake
	p.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
}
