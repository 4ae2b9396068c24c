package ownership

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/timeline"
)

const (
	// reconcileInterval is the longest time between two reconciliations, each of which checks the lease.
	reconcileInterval = 250 * time.Millisecond
	// claimTimeout bounds how long a new owner waits for the replies of the live entries that may own the endpoint.
	claimTimeout = 3 * time.Second
	// claimRetryInterval is the time between two rounds of a claim.
	claimRetryInterval = 200 * time.Millisecond
	// rankedCandidates is the number of entries, by rendezvous rank, that receive a claim besides the last known owners.
	rankedCandidates = 2
	// viewConvergenceTime is how long, after a term starts, claims go to all entries, as the view may be incomplete.
	viewConvergenceTime = 10 * time.Second
	// unclaimedTimeout is how long an owner keeps an endpoint that another entry should own and that no entry claims.
	unclaimedTimeout = 5 * time.Second
	// ownerCheckInterval is the time between two checks whether the entry that should own the endpoint owns or claims it.
	ownerCheckInterval = time.Second
	// reclaimDelay is how long a former owner does not reclaim an endpoint, even if its view assigns the endpoint to it.
	reclaimDelay = 4 * time.Second
	// handoverTTL is how long a former owner stores a handover for the next claim, and to repeat a lost reply to it.
	handoverTTL = 30 * time.Second
)

// Pool grants reservations on owned endpoints.
type Pool interface {
	// Acquire starts granting reservations on an endpoint.
	Acquire(endpoint fleet.Endpoint, fence fleet.Fence, takeover scheduler.Takeover)
	// Update replaces the description of an owned endpoint.
	Update(endpoint fleet.Endpoint)
	// Relinquish stops granting reservations on an endpoint and returns the state that the next owner needs.
	Relinquish(id fleet.EndpointID) scheduler.Handover
	// Suspend stops all grants.
	Suspend()
	// Resume allows grants on endpoints that are acquired from now on.
	Resume()
}

// ClaimReply is the reply to a claim.
type ClaimReply struct {
	// Handover is the state that the new owner needs, or nil if the replying entry has nothing to hand over.
	Handover *scheduler.Handover
	// Denied reports whether the replying entry owns or claims the endpoint itself and, in its view, the claimant should
	// not own it.
	Denied bool
	// Owner is the probable owner of the endpoint as far as the replying entry knows, or zero.
	Owner fleet.Entry
}

// Transport claims endpoints from other entries.
type Transport interface {
	// Claim sends an endpoint claim made by the entry "by" to the entry at an address, and returns the reply.
	Claim(ctx context.Context, to netip.AddrPort, by fleet.EntryID, id fleet.EndpointID) (ClaimReply, error)
}

// Controller decides which endpoints this entry owns and applies that to the pool. It reads the entries, endpoints and
// zones of the cluster state and writes none of its tables.
//
// A new owner claims the endpoint from the entries that may own it, so that the former owner stops granting before the
// new one starts. It acquires the endpoint without a reply only if the former owner is dead or has not answered for
// claimTimeout.
type Controller struct {
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Zone is the availability zone of this entry.
	Zone fleet.Zone
	// State holds the tables that the controller reads.
	State *clusterstate.State
	// Pool grants reservations on the owned endpoints.
	Pool Pool
	// Lease is the membership lease, without which the entry owns nothing.
	Lease *membership.Lease
	// Clock is the hybrid logical clock that fencing tokens are derived from.
	Clock *timeline.Clock
	// Transport claims endpoints from other entries.
	Transport Transport
	// Log receives the controller's messages.
	Log zerolog.Logger

	mu        sync.Mutex
	term      membership.Term
	termStart time.Time
	suspended bool
	leaving   bool
	states    map[fleet.EndpointID]*endpointState
	// lastAssigned holds the entry that should own each endpoint in the view of the last reconciliation.
	lastAssigned map[fleet.EndpointID]fleet.Entry
}

// endpointState is the ownership of one endpoint as this entry knows it.
type endpointState struct {
	endpoint fleet.Endpoint
	// owned reports whether this entry owns the endpoint.
	owned bool
	// claiming reports whether a claim is in flight.
	claiming bool
	// misplacedSince is the time since which this entry owns the endpoint although it should not, or zero.
	misplacedSince time.Time
	// ownerCheckedAt is the time of the last check whether the entry that should own the endpoint owns or claims it.
	ownerCheckedAt time.Time
	// relinquishedAt is when this entry relinquished the endpoint, or zero.
	relinquishedAt time.Time
	// claimedBy is the entry that received the handover, or "".
	claimedBy fleet.EntryID
	// fence is the last known fencing token.
	fence fleet.Fence
	// handover is the state that the pool returned at relinquishedAt.
	handover scheduler.Handover
}

// Run reconciles ownership with the tables and the lease until ctx ends; it returns no error.
func (c *Controller) Run(ctx context.Context) error {
	c.initialize()
	var claims errgroup.Group
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		members := c.State.ZoneEntries.Changed()
		endpoints := c.State.Endpoints.Changed()
		zones := c.State.Zones.Changed()
		lease := c.Lease.Changed()
		for _, task := range c.reconcile(time.Now()) {
			claims.Go(func() error { c.runClaim(ctx, task); return nil })
		}
		select {
		case <-ctx.Done():
			return claims.Wait()
		case <-members:
		case <-endpoints:
		case <-zones:
		case <-lease:
		case <-ticker.C:
		}
	}
}

// Active reports whether this entry may grant reservations at now: it holds the lease and Run has started the lease
// term.
func (c *Controller) Active(now time.Time) bool {
	term, held := c.Lease.Held(now)
	if !held {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return term == c.term && !c.suspended
}

// Leave stops claiming endpoints and waits until other entries have claimed all owned ones, no other live entry is
// left, or ctx ends.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	ticker := time.NewTicker(claimRetryInterval)
	defer ticker.Stop()
	for c.OwnedCount() > 0 && c.hasOtherLiveEntry() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// hasOtherLiveEntry reports whether the zone has another live entry.
func (c *Controller) hasOtherLiveEntry() bool {
	for id, entry := range c.State.ZoneEntries.Snapshot().Rows {
		if id != c.Entry && entry.State == fleet.StateLive {
			return true
		}
	}
	return false
}

// OwnedCount returns the number of endpoints that this entry owns.
func (c *Controller) OwnedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, s := range c.states {
		if s.owned {
			count++
		}
	}
	return count
}

// initialize clears the ownership state for Run and suspends the pool until the first lease term starts.
func (c *Controller) initialize() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended = true
	c.Pool.Suspend()
	c.states = make(map[fleet.EndpointID]*endpointState)
	c.lastAssigned = make(map[fleet.EndpointID]fleet.Entry)
}

// reconcile compares the owned endpoints with those that this entry should own, and returns the tasks to run.
func (c *Controller) reconcile(now time.Time) []claimTask {
	c.mu.Lock()
	defer c.mu.Unlock()
	term, held := c.Lease.Held(now)
	if !held {
		c.suspend()
		return nil
	}
	if term != c.term || c.suspended {
		c.startTerm(now, term)
	}
	view := c.zoneView()
	endpoints := c.zoneEndpoints()
	var tasks []claimTask
	for id, endpoint := range endpoints {
		if task, ok := c.reconcileEndpoint(now, endpoint, view); ok {
			tasks = append(tasks, task)
		}
		c.lastAssigned[id] = view[RendezvousOwner(endpoint, view)]
	}
	c.dropUnlisted(now, endpoints)
	return tasks
}

// suspend stops all grants and drops the ownership of all endpoints, since other entries may take them over.
func (c *Controller) suspend() {
	if c.suspended {
		return
	}
	c.suspended = true
	c.Pool.Suspend()
	for id, s := range c.states {
		if s.owned {
			c.Pool.Relinquish(id)
		}
	}
	clear(c.states)
	c.Log.Warn().Msg("ownership: membership lease has lapsed; grants are suspended")
}

// startTerm starts a new lease term, in which every endpoint has to be claimed again.
func (c *Controller) startTerm(now time.Time, term membership.Term) {
	c.suspend()
	c.term = term
	c.termStart = now
	c.suspended = false
	c.Pool.Resume()
}

// zoneView returns the members of the zone; those that the instance list shows as leaving are marked as leaving.
func (c *Controller) zoneView() map[fleet.EntryID]fleet.Entry {
	listed := c.State.ListedEntries.Snapshot().Rows
	view := make(map[fleet.EntryID]fleet.Entry)
	for id, entry := range c.State.ZoneEntries.Snapshot().Rows {
		if listed[id].State == fleet.StateLeaving {
			entry.State = fleet.StateLeaving
		}
		view[id] = entry
	}
	return view
}

// zoneEndpoints returns the model engines of the zone, all marked as leaving while the zone is drained. Plain services
// have no memory to account for and need no owner.
func (c *Controller) zoneEndpoints() map[fleet.EndpointID]fleet.Endpoint {
	zone, _ := c.State.Zones.Get(c.Zone)
	endpoints := make(map[fleet.EndpointID]fleet.Endpoint)
	for id, endpoint := range c.State.Endpoints.Snapshot().Rows {
		if endpoint.Zone != c.Zone || endpoint.Kind == fleet.KindService {
			continue
		}
		if zone.Drained {
			endpoint.State = fleet.StateLeaving
		}
		endpoints[id] = endpoint
	}
	return endpoints
}

// reconcileEndpoint updates the ownership of one endpoint and returns the claim or check that it requires, if any.
func (c *Controller) reconcileEndpoint(
	now time.Time, endpoint fleet.Endpoint, view map[fleet.EntryID]fleet.Entry,
) (claimTask, bool) {
	s := c.stateOf(endpoint)
	assigned := RendezvousOwner(endpoint, view) == c.Entry && !c.leaving
	switch {
	case s.owned && assigned:
		s.misplacedSince = time.Time{}
		c.updateEndpoint(s, endpoint)
	case s.owned && s.misplacedSince.IsZero():
		s.misplacedSince = now
		c.updateEndpoint(s, endpoint)
	case s.owned && now.Sub(s.misplacedSince) >= unclaimedTimeout && !c.leaving:
		c.relinquish(now, s)
	case s.owned && now.Sub(s.misplacedSince) >= ownerCheckInterval &&
		now.Sub(s.ownerCheckedAt) >= ownerCheckInterval && !c.leaving:
		s.ownerCheckedAt = now
		owner := view[RendezvousOwner(endpoint, view)]
		return claimTask{endpoint: endpoint, term: c.term, candidates: []fleet.Entry{owner}, ownerCheck: true}, owner.ID != ""
	case !s.owned && assigned && !s.claiming && now.Sub(s.relinquishedAt) >= reclaimDelay:
		s.claiming = true
		s.endpoint = endpoint
		return claimTask{endpoint: endpoint, term: c.term, candidates: c.candidates(now, endpoint, view)}, true
	}
	return claimTask{}, false
}

// stateOf returns the state of an endpoint, which it creates if there is none.
func (c *Controller) stateOf(endpoint fleet.Endpoint) *endpointState {
	s, found := c.states[endpoint.ID]
	if !found {
		s = &endpointState{endpoint: endpoint}
		c.states[endpoint.ID] = s
	}
	return s
}

// updateEndpoint passes a change of an owned endpoint to the pool.
func (c *Controller) updateEndpoint(s *endpointState, endpoint fleet.Endpoint) {
	if s.endpoint != endpoint {
		s.endpoint = endpoint
		c.Pool.Update(endpoint)
	}
}

// relinquish ends the ownership of an endpoint and stores the handover for the entry that claims the endpoint next.
func (c *Controller) relinquish(now time.Time, s *endpointState) {
	s.owned = false
	s.misplacedSince = time.Time{}
	s.relinquishedAt = now
	s.claimedBy = ""
	s.handover = c.Pool.Relinquish(s.endpoint.ID)
	s.handover.Fence = max(s.handover.Fence, s.fence)
}

// dropUnlisted relinquishes endpoints that are no longer listed and deletes their states after handoverTTL.
func (c *Controller) dropUnlisted(now time.Time, endpoints map[fleet.EndpointID]fleet.Endpoint) {
	for id, s := range c.states {
		if _, found := endpoints[id]; found || s.claiming {
			continue
		}
		if s.owned {
			c.relinquish(now, s)
		}
		if now.Sub(s.relinquishedAt) >= handoverTTL {
			delete(c.states, id)
			delete(c.lastAssigned, id)
		}
	}
}

// HandleClaim answers a claim made by another entry: it hands the endpoint over or denies the claim. A repeated claim
// by the same entry gets the same handover for handoverTTL. The reply to a claim by any other entry names the probable
// owner, so that the claimant finds it in spite of an incomplete view. The reply is empty while this entry may not
// grant reservations, and for an endpoint that it does not know.
func (c *Controller) HandleClaim(by fleet.EntryID, id fleet.EndpointID) ClaimReply {
	now := time.Now()
	if by == c.Entry || !c.Active(now) {
		return ClaimReply{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, found := c.states[id]
	if !found {
		return ClaimReply{}
	}
	view := c.zoneView()
	if (s.owned || s.claiming) && !c.leaving && RendezvousOwner(s.endpoint, view) != by {
		return ClaimReply{Denied: true}
	}
	if s.owned {
		c.relinquish(now, s)
		c.Log.Info().Str("endpoint", string(id)).Str("to", string(by)).Msg("ownership: endpoint handed over")
	}
	recent := !s.relinquishedAt.IsZero() && now.Sub(s.relinquishedAt) < handoverTTL
	if recent && (s.claimedBy == "" || s.claimedBy == by) {
		s.claimedBy = by
		handover := s.handover
		return ClaimReply{Handover: &handover}
	}
	if recent {
		return ClaimReply{Owner: view[s.claimedBy]}
	}
	delete(view, by)
	return ClaimReply{Owner: view[RendezvousOwner(s.endpoint, view)]}
}
