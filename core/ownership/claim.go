package ownership

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/timeline"
)

// logicalBits is the number of low bits of a fencing token that hold the logical part of its timestamp.
const logicalBits = 10

// claimTask is a background task: the claim of one endpoint, or the check whether another entry owns it.
type claimTask struct {
	endpoint fleet.Endpoint
	// term is the lease term in which the task began; its result is dropped once the term has ended.
	term membership.Term
	// candidates are the entries that may own the endpoint.
	candidates []fleet.Entry
	// ownerCheck marks a check: this entry owns the endpoint and relinquishes it if the only candidate owns or claims it.
	ownerCheck bool
}

// candidates returns the entries that may own the endpoint: the other entries with the highest rendezvous scores, the
// entry that should have owned it in the previous view and the entry that last claimed it from this one. During
// viewConvergenceTime after the start of a term it returns all other live entries as well. The result may contain
// duplicates and zero entries.
func (c *Controller) candidates(
	now time.Time, endpoint fleet.Endpoint, view map[fleet.EntryID]fleet.Entry,
) []fleet.Entry {
	others := make(map[fleet.EntryID]fleet.Entry, len(view))
	for id, entry := range view {
		if id != c.Entry {
			others[id] = entry
		}
	}
	count := rankedCandidates
	if now.Sub(c.termStart) < viewConvergenceTime {
		count = len(others)
	}
	var candidates []fleet.Entry
	for _, id := range RankOwners(endpoint, others, count) {
		candidates = append(candidates, others[id])
	}
	candidates = append(candidates, c.lastAssigned[endpoint.ID])
	if s, found := c.states[endpoint.ID]; found {
		candidates = append(candidates, others[s.claimedBy])
	}
	return candidates
}

// claimProgress is the state of one claim.
type claimProgress struct {
	// pending are the entries that have not answered.
	pending []fleet.Entry
	// seen are all entries that were ever pending, and this entry.
	seen map[fleet.EntryID]bool
	// handover is the received handover with the highest fencing token, or nil.
	handover *scheduler.Handover
	// denied reports whether an entry has denied the claim.
	denied bool
}

// addCandidate adds an entry to pending, unless it has been added before.
func (p *claimProgress) addCandidate(entry fleet.Entry) {
	if entry.ID == "" || p.seen[entry.ID] {
		return
	}
	p.seen[entry.ID] = true
	p.pending = append(p.pending, entry)
}

// recordReply records the reply of one candidate.
func (p *claimProgress) recordReply(reply ClaimReply) {
	p.addCandidate(reply.Owner)
	p.denied = p.denied || reply.Denied
	if reply.Handover != nil && (p.handover == nil || reply.Handover.Fence > p.handover.Fence) {
		p.handover = reply.Handover
	}
}

// runClaim runs a task: the check whether another entry owns the endpoint if ownerCheck is set, else the claim.
func (c *Controller) runClaim(ctx context.Context, task claimTask) {
	if task.ownerCheck {
		c.relinquishToOwner(ctx, task)
		return
	}
	c.claimEndpoint(ctx, task)
}

// relinquishToOwner checks whether the entry that should own an owned endpoint in this entry's view owns or claims it.
// It sends a claim to that entry. If the claim is denied, the other entry owns or claims the endpoint, and this entry
// relinquishes it. A handover in the reply is dropped.
func (c *Controller) relinquishToOwner(ctx context.Context, task claimTask) {
	reply, err := c.Transport.Claim(ctx, task.candidates[0].Address, c.Entry, task.endpoint.ID)
	if err != nil || !reply.Denied {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, found := c.states[task.endpoint.ID]; found && s.owned && task.term == c.term && !s.misplacedSince.IsZero() {
		c.relinquish(time.Now(), s)
	}
}

// claimEndpoint sends the claim to the candidates until all that are members of the zone have answered or claimTimeout
// has passed, and then acquires the endpoint. It ends early if a candidate denies the claim.
func (c *Controller) claimEndpoint(ctx context.Context, task claimTask) {
	deadline := time.Now().Add(claimTimeout)
	progress := &claimProgress{seen: map[fleet.EntryID]bool{c.Entry: true}}
	for _, candidate := range task.candidates {
		progress.addCandidate(candidate)
	}
	for ctx.Err() == nil && time.Now().Before(deadline) {
		c.sendClaims(ctx, task, progress)
		if len(progress.pending) == 0 || progress.denied {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimRetryInterval):
		}
	}
	switch {
	case ctx.Err() != nil:
	case progress.denied:
		c.endClaim(task)
	default:
		c.acquire(task, progress.handover)
	}
}

// sendClaims sends the claim once to each pending entry and to the entries that the replies name. Entries that did not
// answer remain pending while they are members of the zone.
func (c *Controller) sendClaims(ctx context.Context, task claimTask, progress *claimProgress) {
	var unreachable []fleet.Entry
	for len(progress.pending) > 0 {
		candidate := progress.pending[0]
		progress.pending = progress.pending[1:]
		reply, err := c.Transport.Claim(ctx, candidate.Address, c.Entry, task.endpoint.ID)
		if err != nil {
			unreachable = append(unreachable, candidate)
			continue
		}
		progress.recordReply(reply)
	}
	progress.pending = c.filterMembers(unreachable)
}

// filterMembers returns those entries that are still members of the zone.
func (c *Controller) filterMembers(entries []fleet.Entry) []fleet.Entry {
	var members []fleet.Entry
	for _, entry := range entries {
		if _, found := c.State.ZoneEntries.Get(entry.ID); found {
			members = append(members, entry)
		}
	}
	return members
}

// endClaim ends a denied claim. Later reconciliations claim the endpoint again until the views of the entries agree.
func (c *Controller) endClaim(task claimTask) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s, found := c.states[task.endpoint.ID]; found && task.term == c.term {
		s.claiming = false
	}
}

// acquire makes this entry the owner of the endpoint with a new fencing token, unless the lease term has ended.
func (c *Controller) acquire(task claimTask, handover *scheduler.Handover) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, found := c.states[task.endpoint.ID]
	term, held := c.Lease.Held(time.Now())
	if !found || !s.claiming || task.term != c.term || c.suspended || !held || term != c.term {
		return
	}
	s.claiming = false
	s.owned = true
	s.relinquishedAt = time.Time{}
	s.fence = max(s.fence+1, newFence(c.Clock.Now()))
	if handover != nil {
		s.fence = max(s.fence, handover.Fence+1)
	}
	c.Pool.Acquire(s.endpoint, s.fence, scheduler.Takeover{Handover: handover, Resync: handover == nil})
	c.Log.Info().
		Str("endpoint", string(task.endpoint.ID)).
		Bool("handover", handover != nil).
		Msg("ownership: endpoint acquired")
}

// newFence converts a timestamp of the hybrid logical clock into a fencing token. Every probe of the zone carries a
// timestamp, so that the token of a new owner exceeds those of the owners whose messages have reached it, directly or
// through others; otherwise the order depends on the wall clocks.
func newFence(timestamp timeline.Timestamp) fleet.Fence {
	return fleet.Fence(uint64(timestamp.Wall.UnixMicro())<<logicalBits | uint64(timestamp.Logical)&(1<<logicalBits-1))
}
