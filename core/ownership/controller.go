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
	// checkInterval is the time between two looks at the lease.
	checkInterval = 250 * time.Millisecond
	// claimTimeout bounds how long a new owner waits for the handover of an owner that is alive.
	claimTimeout = 3 * time.Second
	// claimInterval is the time between two requests for a handover.
	claimInterval = 200 * time.Millisecond
	// claimCandidates is the number of entries that are asked beside the owner seen last.
	claimCandidates = 2
	// strangeTime is how long after the beginning of a term an entry asks all others, since its view may be wrong.
	strangeTime = 10 * time.Second
	// keepTime is how long an owner goes on granting an endpoint that it should hand over and that nobody claims.
	keepTime = 5 * time.Second
	// yieldInterval is the time after which such an owner asks the owner by its view whether it owns the endpoint too.
	yieldInterval = time.Second
	// cededTime is how long a former owner leaves an endpoint to the entry that claimed it, whatever its own view.
	cededTime = 4 * time.Second
	// handoverTime is how long a former owner keeps a handover, to answer a claim whose answer was lost.
	handoverTime = 30 * time.Second
)

// Pool grants what is owned.
type Pool interface {
	// Acquire begins to grant an endpoint.
	Acquire(endpoint fleet.Endpoint, fence fleet.Fence, takeover scheduler.Takeover)
	// Update tells what has changed of an owned endpoint.
	Update(endpoint fleet.Endpoint)
	// Relinquish stops granting an endpoint and returns what the next owner needs.
	Relinquish(id fleet.EndpointID) scheduler.Handover
	// Suspend stops all grants.
	Suspend()
	// Resume allows grants of what is owned from now on.
	Resume()
}

// ClaimReply answers a claim.
type ClaimReply struct {
	// Handover is what the new owner needs, or nil if the asked entry does not own the endpoint.
	Handover *scheduler.Handover
	// Denied tells that the asked entry owns or claims the endpoint and that its view does not give it to the claimant.
	Denied bool
	// Owner is who owns the endpoint in the view of the asked entry, or nobody.
	Owner fleet.Entry
}

// Transport claims endpoints from other entries.
type Transport interface {
	// Claim asks an entry to give up an endpoint.
	Claim(ctx context.Context, to netip.AddrPort, by fleet.EntryID, id fleet.EndpointID) (ClaimReply, error)
}

// Controller tells the pool what this entry owns. It reads the members, endpoints and zones of the blackboard and writes
// none of its tables.
//
// A new owner claims the endpoint from the entries that may own it, so that one entry stops before the other begins.
// It takes over without an answer only when the former owner is dead or silent for claimTimeout.
type Controller struct {
	// Entry is this entry.
	Entry fleet.EntryID
	// Zone is its availability zone.
	Zone fleet.Zone
	// State holds the tables.
	State *clusterstate.State
	// Pool grants what is owned.
	Pool Pool
	// Lease tells whether the entry may act for its zone.
	Lease *membership.Lease
	// Clock yields fencing numbers.
	Clock *timeline.Clock
	// Transport claims endpoints from other entries.
	Transport Transport
	// Log takes the controller's messages.
	Log zerolog.Logger

	mu        sync.Mutex
	term      membership.Term
	begun     time.Time
	suspended bool
	leaving   bool
	rows      map[fleet.EndpointID]*row
	owners    map[fleet.EndpointID]fleet.Entry
}

// row is what this entry knows of its right to one endpoint.
type row struct {
	endpoint fleet.Endpoint
	// owned tells that the pool grants it.
	owned bool
	// claiming tells that a claim is under way.
	claiming bool
	// unwantedSince is when the view gave it to another entry, or zero.
	unwantedSince time.Time
	// yieldedAt is when the owner by the view was last asked whether it owns the endpoint too.
	yieldedAt time.Time
	// cededAt is when this entry gave it up, or zero.
	cededAt time.Time
	// cededTo is the entry that claimed it, or "".
	cededTo fleet.EntryID
	// fence is the last fencing number known.
	fence fleet.Fence
	// handover is what was handed over at cededAt.
	handover scheduler.Handover
}

// Run follows the tables until ctx ends; it returns no error.
func (c *Controller) Run(ctx context.Context) error {
	c.prepare()
	var claims errgroup.Group
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		members := c.State.ZoneEntries.Changed()
		endpoints := c.State.Endpoints.Changed()
		zones := c.State.Zones.Changed()
		lease := c.Lease.Changed()
		for _, claim := range c.reconcile(time.Now()) {
			claims.Go(func() error { c.pursue(ctx, claim); return nil })
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

// Active tells whether this entry may grant at now.
func (c *Controller) Active(now time.Time) bool {
	term, held := c.Lease.Held(now)
	if !held {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return term == c.term && !c.suspended
}

// Leave waits until other entries have claimed all endpoints, or until ctx ends.
func (c *Controller) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for c.OwnedCount() > 0 && c.others() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// others tells whether the zone has another live entry.
func (c *Controller) others() bool {
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
	for _, r := range c.rows {
		if r.owned {
			count++
		}
	}
	return count
}

// prepare sets what Run needs.
func (c *Controller) prepare() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspended = true
	c.Pool.Suspend()
	c.rows = make(map[fleet.EndpointID]*row)
	c.owners = make(map[fleet.EndpointID]fleet.Entry)
}

// reconcile compares what is owned with what the view gives to this entry and returns the endpoints to claim.
func (c *Controller) reconcile(now time.Time) []claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	term, held := c.Lease.Held(now)
	if !held {
		c.suspend()
		return nil
	}
	if term != c.term || c.suspended {
		c.begin(now, term)
	}
	view := c.view()
	endpoints := c.endpoints()
	var claims []claim
	for id, endpoint := range endpoints {
		if next, ok := c.settle(now, endpoint, view); ok {
			claims = append(claims, next)
		}
		c.owners[id] = view[RendezvousOwner(endpoint, view)]
	}
	c.forget(now, endpoints)
	return claims
}

// suspend stops all grants; what was owned is not owned any more, since another entry may take it.
func (c *Controller) suspend() {
	if c.suspended {
		return
	}
	c.suspended = true
	c.Pool.Suspend()
	for id, r := range c.rows {
		if r.owned {
			c.Pool.Relinquish(id)
		}
	}
	clear(c.rows)
	c.Log.Warn().Msg("ownership: the membership lease has lapsed; nothing is granted")
}

// begin starts a new term, in which everything has to be claimed anew.
func (c *Controller) begin(now time.Time, term membership.Term) {
	c.suspend()
	c.term = term
	c.begun = now
	c.suspended = false
	c.Pool.Resume()
}

// view returns the members of the zone; those that the instance list shows as leaving take no ownership.
func (c *Controller) view() map[fleet.EntryID]fleet.Entry {
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

// endpoints returns the model engines of the zone; all are leaving while the zone is drained. Plain services have no
// memory to keep an account of and need no owner.
func (c *Controller) endpoints() map[fleet.EndpointID]fleet.Endpoint {
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

// settle brings one endpoint towards its owner by the view and returns a claim if one has to be made.
func (c *Controller) settle(now time.Time, endpoint fleet.Endpoint, view map[fleet.EntryID]fleet.Entry) (claim, bool) {
	r := c.row(endpoint)
	mine := RendezvousOwner(endpoint, view) == c.Entry && !c.leaving
	switch {
	case r.owned && mine:
		r.unwantedSince = time.Time{}
		c.update(r, endpoint)
	case r.owned && r.unwantedSince.IsZero():
		r.unwantedSince = now
		c.update(r, endpoint)
	case r.owned && now.Sub(r.unwantedSince) >= keepTime && !c.leaving:
		c.cede(now, r)
	case r.owned && now.Sub(r.unwantedSince) >= yieldInterval && now.Sub(r.yieldedAt) >= yieldInterval && !c.leaving:
		r.yieldedAt = now
		owner := view[RendezvousOwner(endpoint, view)]
		return claim{endpoint: endpoint, term: c.term, candidates: []fleet.Entry{owner}, yield: true}, owner.ID != ""
	case !r.owned && mine && !r.claiming && now.Sub(r.cededAt) >= cededTime:
		r.claiming = true
		r.endpoint = endpoint
		return claim{endpoint: endpoint, term: c.term, candidates: c.candidates(now, endpoint, view)}, true
	}
	return claim{}, false
}

// row returns what is known of an endpoint.
func (c *Controller) row(endpoint fleet.Endpoint) *row {
	r, found := c.rows[endpoint.ID]
	if !found {
		r = &row{endpoint: endpoint}
		c.rows[endpoint.ID] = r
	}
	return r
}

// update passes a change of an owned endpoint on.
func (c *Controller) update(r *row, endpoint fleet.Endpoint) {
	if r.endpoint != endpoint {
		r.endpoint = endpoint
		c.Pool.Update(endpoint)
	}
}

// cede stops granting an endpoint and keeps the handover for whoever claims it.
func (c *Controller) cede(now time.Time, r *row) {
	r.owned = false
	r.unwantedSince = time.Time{}
	r.cededAt = now
	r.cededTo = ""
	r.handover = c.Pool.Relinquish(r.endpoint.ID)
	r.handover.Fence = max(r.handover.Fence, r.fence)
}

// forget drops endpoints that are not listed any more.
func (c *Controller) forget(now time.Time, endpoints map[fleet.EndpointID]fleet.Endpoint) {
	for id, r := range c.rows {
		if _, found := endpoints[id]; found || r.claiming {
			continue
		}
		if r.owned {
			c.cede(now, r)
		}
		if now.Sub(r.cededAt) >= handoverTime {
			delete(c.rows, id)
			delete(c.owners, id)
		}
	}
}

// HandleClaim gives an endpoint up to the entry that claims it. The same claim is answered again for a while; to any other the
// answer names the owner, so that a claim finds it also from an incomplete view.
func (c *Controller) HandleClaim(by fleet.EntryID, id fleet.EndpointID) ClaimReply {
	now := time.Now()
	if by == c.Entry || !c.Active(now) {
		return ClaimReply{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r, found := c.rows[id]
	if !found {
		return ClaimReply{}
	}
	view := c.view()
	if (r.owned || r.claiming) && !c.leaving && RendezvousOwner(r.endpoint, view) != by {
		return ClaimReply{Denied: true}
	}
	if r.owned {
		c.cede(now, r)
		c.Log.Info().Str("endpoint", string(id)).Str("to", string(by)).Msg("ownership: handed over")
	}
	fresh := !r.cededAt.IsZero() && now.Sub(r.cededAt) < handoverTime
	if fresh && (r.cededTo == "" || r.cededTo == by) {
		r.cededTo = by
		handover := r.handover
		return ClaimReply{Handover: &handover}
	}
	if fresh {
		return ClaimReply{Owner: view[r.cededTo]}
	}
	delete(view, by)
	return ClaimReply{Owner: view[RendezvousOwner(r.endpoint, view)]}
}
