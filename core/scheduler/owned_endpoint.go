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

// ownedEndpoint serializes access to the state of one endpoint and lets goroutines wait for its decisions.
type ownedEndpoint struct {
	mu    sync.Mutex
	state Endpoint
	// waiters holds, for each queued request, the channel that receives the decision.
	waiters map[Ticket]chan Decision
	// listing reports whether a listing is in progress.
	listing bool
}

// start begins the ownership of the endpoint. pace is the warm pace of another endpoint of the pool, or zero; it
// replaces the rates that have not been measured on this one.
func (s *ownedEndpoint) start(
	now time.Time, endpoint fleet.Endpoint, fence fleet.Fence, takeover Takeover, pace warmup.Pace,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Start(now, endpoint, fence, takeover)
	s.state.SetPaceIfUnknown(pace)
	s.deliver(now)
}

// update calls change with the lock held and delivers the decisions that result.
func (s *ownedEndpoint) update(change func(now time.Time, e *Endpoint)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change(now, &s.state)
	s.deliver(now)
}

// deliver sends the pending decisions to their waiters; the caller holds the lock.
func (s *ownedEndpoint) deliver(now time.Time) {
	for _, decision := range s.state.Advance(now) {
		waiter := s.waiters[decision.Ticket]
		delete(s.waiters, decision.Ticket)
		waiter <- decision
	}
}

// reserve waits for the decision on a request. It calls queued before it blocks, unless the decision is already there.
// The error is a *reservation.Refusal, or the wrapped error of ctx if ctx ends first; the request is then withdrawn.
func (s *ownedEndpoint) reserve(
	ctx context.Context, request reservation.Request, queued func(),
) (reservation.Grant, error) {
	ticket, decisions, refusal := s.submit(request)
	if refusal != nil {
		return reservation.Grant{}, refusal
	}
	if len(decisions) == 0 {
		queued()
	}
	select {
	case decision := <-decisions:
		return decision.Grant, refusalError(decision.Refusal)
	case <-ctx.Done():
		s.withdraw(ticket, decisions)
		return reservation.Grant{}, errors.Wrap(ctx.Err(), "reserve")
	}
}

// submit queues a request and returns the channel that receives its decision, or refuses the request immediately.
func (s *ownedEndpoint) submit(request reservation.Request) (Ticket, <-chan Decision, *reservation.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ticket, refusal := s.state.Submit(now, request)
	if refusal != nil {
		return 0, nil, refusal
	}
	decisions := make(chan Decision, 1)
	s.waiters[ticket] = decisions
	s.deliver(now)
	return ticket, decisions, nil
}

// withdraw removes a request for whose decision no goroutine waits any more, or releases its reservation if it was
// granted meanwhile.
func (s *ownedEndpoint) withdraw(ticket Ticket, decisions <-chan Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.state.Withdraw(now, ticket) {
		delete(s.waiters, ticket)
		s.deliver(now)
		return
	}
	select {
	case decision := <-decisions:
		if decision.Refusal == nil {
			_ = s.state.Release(now, unusedRelease(decision.Grant))
			s.deliver(now)
		}
	default:
	}
}

// unusedRelease returns the release of a grant that was not used for an attempt.
func unusedRelease(grant reservation.Grant) reservation.Release {
	return reservation.Release{
		Endpoint:    grant.Endpoint,
		Owner:       grant.Owner,
		Reservation: grant.Reservation,
		Generation:  grant.Generation,
		Outcome:     reservation.OutcomeCanceled,
	}
}

// advance processes the queue, delivers the decisions and returns when to call it again. If listDue is true, the caller
// must call reconcile; no other listing is due before that ends.
func (s *ownedEndpoint) advance(now time.Time) (next time.Time, listDue bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(now)
	next = s.state.NextWake()
	if s.listing {
		return next, false
	}
	due := s.state.NextListing()
	if due.After(now) {
		return earliest(next, due), false
	}
	s.listing = true
	return next, true
}

// reconcile lists the endpoint once, cancels the attempts that are to be reclaimed and drops stray KV caches. A failed
// cancellation or drop is repeated after the next listing that shows the attempt or KV cache again.
func (s *ownedEndpoint) reconcile(ctx context.Context, lister ledger.Lister) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	defer s.endListing()
	requestedAt := time.Now()
	listing, err := s.list(ctx, lister)
	if err != nil {
		s.update(func(now time.Time, e *Endpoint) { e.ObserveListingFailure(now) })
		return
	}
	var reclaim ledger.Reclaim
	s.update(func(now time.Time, e *Endpoint) { reclaim = e.ObserveListing(now, requestedAt, listing) })
	for _, attempt := range reclaim.Attempts {
		if lister.Cancel(ctx, s.endpoint(), attempt) != nil {
			continue
		}
		s.update(func(now time.Time, e *Endpoint) { e.ConfirmCanceled(now, attempt) })
	}
	s.dropCaches(ctx, lister, reclaim.Handles)
}

// list lists the memory that the endpoint holds; without a lister the listing is empty.
func (s *ownedEndpoint) list(ctx context.Context, lister ledger.Lister) (ledger.Listing, error) {
	if lister == nil {
		return ledger.Listing{Incarnation: s.incarnation()}, nil
	}
	return lister.List(ctx, s.endpoint())
}

// dropCaches drops stray KV caches, if the lister supports that.
func (s *ownedEndpoint) dropCaches(ctx context.Context, lister ledger.Lister, handles []string) {
	dropper, ok := lister.(ledger.Dropper)
	if !ok {
		return
	}
	for _, handle := range handles {
		// A failed drop is repeated after the next listing that still shows the KV cache.
		_ = dropper.Drop(ctx, s.endpoint(), handle)
	}
}

// warmPace returns the warm pace of the endpoint. The result is true only if both rates are known, the endpoint is not
// cold and it belongs to the given pool.
func (s *ownedEndpoint) warmPace(pool fleet.PoolName) (warmup.Pace, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pace := s.state.warmth.State.Pace
	known := !s.state.warmth.State.Cold && pace.Prefill > 0 && pace.Decode > 0
	return pace, known && s.state.endpoint.Pool == pool
}

// endListing allows the next listing to start.
func (s *ownedEndpoint) endListing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listing = false
}

// endpoint returns the endpoint's description.
func (s *ownedEndpoint) endpoint() fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.endpoint
}

// incarnation returns the latest known incarnation of the endpoint.
func (s *ownedEndpoint) incarnation() fleet.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.ledger.Incarnation()
}
