package ownership

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/timeline"
)

// logicalBits is the number of bits of a fencing number that hold the logical part of its stamp.
const logicalBits = 10

// claim is the way of one endpoint to this entry.
type claim struct {
	endpoint fleet.Endpoint
	// term is the term in which it began; it ends with the term.
	term membership.Term
	// candidates are the entries that may own the endpoint.
	candidates []fleet.Entry
	// yield tells that this entry owns the endpoint and gives it up if the candidate owns or claims it.
	yield bool
}

// candidates returns those that would own the endpoint without this entry, the owner seen last and the entry that it was
// last given up to. At the beginning of a term it returns all entries.
func (c *Controller) candidates(now time.Time, endpoint fleet.Endpoint, view map[fleet.EntryID]fleet.Entry) []fleet.Entry {
	others := make(map[fleet.EntryID]fleet.Entry, len(view))
	for id, entry := range view {
		if id != c.Entry {
			others[id] = entry
		}
	}
	count := claimCandidates
	if now.Sub(c.begun) < strangeTime {
		count = len(others)
	}
	var candidates []fleet.Entry
	for _, id := range RankOwners(endpoint, others, count) {
		candidates = append(candidates, others[id])
	}
	candidates = append(candidates, c.owners[endpoint.ID])
	if r, found := c.rows[endpoint.ID]; found {
		candidates = append(candidates, others[r.cededTo])
	}
	return candidates
}

// inquiry is the state of one claim.
type inquiry struct {
	// open are the entries that have not answered.
	open []fleet.Entry
	// asked are all entries that were ever open.
	asked map[fleet.EntryID]bool
	// best is the latest handover.
	best *scheduler.Handover
	// kept tells that an entry that owns the endpoint keeps it.
	kept bool
}

// add opens an entry that was not asked yet.
func (i *inquiry) add(entry fleet.Entry) {
	if entry.ID == "" || i.asked[entry.ID] {
		return
	}
	i.asked[entry.ID] = true
	i.open = append(i.open, entry)
}

// take takes in one answer.
func (i *inquiry) take(answer ClaimReply) {
	i.add(answer.Owner)
	i.kept = i.kept || answer.Denied
	if answer.Handover != nil && (i.best == nil || answer.Handover.Fence > i.best.Fence) {
		i.best = answer.Handover
	}
}

// pursue does what a claim asks for.
func (c *Controller) pursue(ctx context.Context, claim claim) {
	if claim.yield {
		c.yield(ctx, claim)
		return
	}
	c.claim(ctx, claim)
}

// yield gives up an endpoint that another entry owns or claims by both views.
func (c *Controller) yield(ctx context.Context, claim claim) {
	answer, err := c.Transport.Claim(ctx, claim.candidates[0].Address, c.Entry, claim.endpoint.ID)
	if err != nil || !answer.Denied {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, found := c.rows[claim.endpoint.ID]; found && r.owned && claim.term == c.term && !r.unwantedSince.IsZero() {
		c.cede(time.Now(), r)
	}
}

// claim asks the candidates for the endpoint until all have answered or the time is up, and then owns it.
func (c *Controller) claim(ctx context.Context, claim claim) {
	deadline := time.Now().Add(claimTimeout)
	inquiry := &inquiry{asked: map[fleet.EntryID]bool{c.Entry: true}}
	for _, candidate := range claim.candidates {
		inquiry.add(candidate)
	}
	for ctx.Err() == nil && time.Now().Before(deadline) {
		c.ask(ctx, claim, inquiry)
		if len(inquiry.open) == 0 || inquiry.kept {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimInterval):
		}
	}
	switch {
	case ctx.Err() != nil:
	case inquiry.kept:
		c.abandon(claim)
	default:
		c.own(claim, inquiry.best)
	}
}

// ask asks each open entry once, and those that their answers name; the silent ones that are alive stay open.
func (c *Controller) ask(ctx context.Context, claim claim, inquiry *inquiry) {
	var silent []fleet.Entry
	for len(inquiry.open) > 0 {
		candidate := inquiry.open[0]
		inquiry.open = inquiry.open[1:]
		answer, err := c.Transport.Claim(ctx, candidate.Address, c.Entry, claim.endpoint.ID)
		if err != nil {
			silent = append(silent, candidate)
			continue
		}
		inquiry.take(answer)
	}
	inquiry.open = c.alive(silent)
}

// alive returns the entries that are still believed to be alive.
func (c *Controller) alive(entries []fleet.Entry) []fleet.Entry {
	var alive []fleet.Entry
	for _, entry := range entries {
		if _, found := c.State.ZoneEntries.Get(entry.ID); found {
			alive = append(alive, entry)
		}
	}
	return alive
}

// abandon ends a claim against an owner whose view differs; it is made again until the views agree.
func (c *Controller) abandon(claim claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, found := c.rows[claim.endpoint.ID]; found && claim.term == c.term {
		r.claiming = false
	}
}

// own lets the pool grant the endpoint if the term has not ended.
func (c *Controller) own(claim claim, handover *scheduler.Handover) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, found := c.rows[claim.endpoint.ID]
	term, held := c.Lease.Held(time.Now())
	if !found || !r.claiming || claim.term != c.term || c.suspended || !held || term != c.term {
		return
	}
	r.claiming = false
	r.owned = true
	r.cededAt = time.Time{}
	r.fence = max(r.fence+1, newFence(c.Clock.Now()))
	if handover != nil {
		r.fence = max(r.fence, handover.Fence+1)
	}
	c.Pool.Acquire(r.endpoint, r.fence, scheduler.Takeover{Handover: handover, Resync: handover == nil})
	c.Log.Info().Str("endpoint", string(claim.endpoint.ID)).Bool("handover", handover != nil).Msg("ownership: owned")
}

// newFence turns a stamp of the hybrid logical clock into a fencing number. Stamps travel with every probe of the zone,
// so that the number of a new owner is above that of any owner it has heard of; the wall clock bridges the rest.
func newFence(stamp timeline.Timestamp) fleet.Fence {
	return fleet.Fence(uint64(stamp.Wall.UnixMicro())<<logicalBits | uint64(stamp.Logical)&(1<<logicalBits-1))
}
