package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/warmup"
)

// slot lets callers wait for the decisions of one endpoint's machine.
type slot struct {
	mu       sync.Mutex
	machine  Endpoint
	waiters  map[Ticket]chan Decision
	sweeping bool
}

// start begins to own the endpoint; pace is that of its siblings, for an endpoint whose own is not known.
func (s *slot) start(now time.Time, endpoint fleet.Endpoint, fence fleet.Fence, takeover Takeover, pace warmup.Pace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Start(now, endpoint, fence, takeover)
	s.machine.SetDefaultPace(pace)
	s.deliver(now)
}

// do changes the machine and delivers the decisions that follow.
func (s *slot) do(change func(now time.Time, e *Endpoint)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change(now, &s.machine)
	s.deliver(now)
}

// deliver hands the due decisions to those who wait; the caller holds the lock.
func (s *slot) deliver(now time.Time) {
	for _, decision := range s.machine.Advance(now) {
		waiter := s.waiters[decision.Ticket]
		delete(s.waiters, decision.Ticket)
		waiter <- decision
	}
}

// reserve waits for the decision on a request; queued is called before it waits.
func (s *slot) reserve(ctx context.Context, request reservation.Request, queued func()) (reservation.Grant, error) {
	ticket, decided, refusal := s.offer(request)
	if refusal != nil {
		return reservation.Grant{}, refusal
	}
	if len(decided) == 0 {
		queued()
	}
	select {
	case decision := <-decided:
		return decision.Grant, asError(decision.Refusal)
	case <-ctx.Done():
		s.withdraw(ticket, decided)
		return reservation.Grant{}, errors.Wrap(ctx.Err(), "reserve")
	}
}

// offer queues a request.
func (s *slot) offer(request reservation.Request) (Ticket, <-chan Decision, *reservation.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ticket, refusal := s.machine.Submit(now, request)
	if refusal != nil {
		return 0, nil, refusal
	}
	decided := make(chan Decision, 1)
	s.waiters[ticket] = decided
	s.deliver(now)
	return ticket, decided, nil
}

// withdraw takes a request back whose caller no longer waits, also if it was granted meanwhile.
func (s *slot) withdraw(ticket Ticket, decided <-chan Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.machine.Withdraw(now, ticket) {
		delete(s.waiters, ticket)
		s.deliver(now)
		return
	}
	select {
	case decision := <-decided:
		if decision.Refusal == nil {
			_ = s.machine.Release(now, unused(decision.Grant))
			s.deliver(now)
		}
	default:
	}
}

// unused is the release of a grant that no attempt was sent with.
func unused(grant reservation.Grant) reservation.Release {
	return reservation.Release{
		Endpoint:    grant.Endpoint,
		Owner:       grant.Owner,
		Reservation: grant.Reservation,
		Generation:  grant.Generation,
		Outcome:     reservation.OutcomeCanceled,
	}
}

// advance delivers what is due and returns when something is due next, and whether to list the endpoint now.
func (s *slot) advance(now time.Time) (next time.Time, sweep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(now)
	next = s.machine.NextWake()
	if s.sweeping {
		return next, false
	}
	due := s.machine.NextListing()
	if due.After(now) {
		return earlier(next, due), false
	}
	s.sweeping = true
	return next, true
}

// sweep lists the endpoint once and ends what is to be reclaimed.
func (s *slot) sweep(ctx context.Context, lister ledger.Lister) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	defer s.swept()
	begun := time.Now()
	listing, err := s.list(ctx, lister)
	if err != nil {
		s.do(func(now time.Time, e *Endpoint) { e.ObserveListingFailure(now) })
		return
	}
	var reclaim ledger.Reclaim
	s.do(func(now time.Time, e *Endpoint) { reclaim = e.ObserveListing(now, begun, listing) })
	for _, attempt := range reclaim.Attempts {
		if lister.Cancel(ctx, s.endpoint(), attempt) != nil {
			continue
		}
		s.do(func(now time.Time, e *Endpoint) { e.ConfirmCanceled(now, attempt) })
	}
	s.drop(ctx, lister, reclaim.Handles)
}

// list asks the endpoint what it runs.
func (s *slot) list(ctx context.Context, lister ledger.Lister) (ledger.Listing, error) {
	if lister == nil {
		return ledger.Listing{Incarnation: s.incarnation()}, nil
	}
	return lister.List(ctx, s.endpoint())
}

// drop gives up KV caches that nobody knows, if the lister can.
func (s *slot) drop(ctx context.Context, lister ledger.Lister, handles []string) {
	dropper, ok := lister.(ledger.Dropper)
	if !ok {
		return
	}
	for _, handle := range handles {
		// A KV cache that could not be dropped shows in the next listing.
		_ = dropper.Drop(ctx, s.endpoint(), handle)
	}
}

// warmPace returns the warm pace of an endpoint of a pool, if it is known.
func (s *slot) warmPace(pool fleet.PoolName) (warmup.Pace, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pace := s.machine.warmth.State.Pace
	known := !s.machine.warmth.State.Cold && pace.Prefill > 0 && pace.Decode > 0
	return pace, known && s.machine.endpoint.Pool == pool
}

// swept lets the next listing begin.
func (s *slot) swept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweeping = false
}

// endpoint returns what is known of the endpoint.
func (s *slot) endpoint() fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.endpoint
}

// incarnation returns the latest known life of the endpoint.
func (s *slot) incarnation() fleet.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.ledger.Incarnation()
}
