package sharedload

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

const (
	// quickRead is the reading time up to which a prompt counts as quick; a pass with one such reading stays below the
	// shortest pause that callers of streams accept.
	quickRead = 80 * time.Millisecond
	// runningCost is what each running attempt adds to the time that a newcomer takes, beside its reading.
	runningCost = 4 * time.Millisecond
	// overfullCost is what each attempt beyond an endpoint's slots adds, about the time until a slot is free.
	overfullCost = 150 * time.Millisecond
	// quickCost is what reading a long prompt on an endpoint costs for each quick attempt there that is held up.
	quickCost = 60 * time.Millisecond
	// rankCost keeps quick prompts and long ones on different endpoints while load is low.
	rankCost = 2 * time.Millisecond
)

// Policy orders endpoints by the time that a request would take there and by what it costs the others there.
type Policy struct {
	// Book knows what runs on each endpoint.
	Book *Book
	// Pool returns what the configuration tells of a pool.
	Pool func(fleet.PoolName) (routing.Pool, bool)
	// Usable tells whether an endpoint may be given work now.
	Usable func(endpoint fleet.Endpoint, now time.Time) bool
}

// candidate is an endpoint with what it would cost to place a request there.
type candidate struct {
	endpoint fleet.Endpoint
	usage    Usage
	rank     int
	cost     time.Duration
}

// Candidates returns the endpoints of the pool that have room, the best first.
func (p *Policy) Candidates(view placement.View, need placement.Need) []fleet.Endpoint {
	pool, found := p.Pool(need.Pool)
	if !found {
		return nil
	}
	var endpoints []fleet.Endpoint
	for _, c := range p.ranked(view, pool, need) {
		endpoints = append(endpoints, c.endpoint)
	}
	return endpoints
}

// ranked returns the usable endpoints of a pool, the best for the request first.
func (p *Policy) ranked(view placement.View, pool routing.Pool, need placement.Need) []candidate {
	now := cmp.Or(need.At, time.Now())
	totals := p.Book.Totals(now)
	var found []candidate
	for id, endpoint := range view.Endpoints {
		if endpoint.Pool != need.Pool || need.Excluded[id] || !p.open(view, endpoint, now) {
			continue
		}
		found = append(found, candidate{endpoint: endpoint, usage: totals[id]})
	}
	slices.SortFunc(found, func(a, b candidate) int { return cmp.Compare(rankOf(a.endpoint.ID), rankOf(b.endpoint.ID)) })
	quick := isQuick(pool, need.Prompt)
	for i := range found {
		found[i].rank = i
		found[i].cost = costOf(pool, found[i], len(found), quick)
	}
	slices.SortStableFunc(found, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return found
}

// open tells whether an endpoint takes new work.
func (p *Policy) open(view placement.View, endpoint fleet.Endpoint, now time.Time) bool {
	return endpoint.State == fleet.StateLive && !view.Zones[endpoint.Zone].Drained && p.Usable(endpoint, now)
}

// isQuick tells whether a prompt is read within quickRead.
func isQuick(pool routing.Pool, prompt fleet.Tokens) bool {
	return pool.Engine == nil || pool.Engine.Read(prompt) <= quickRead
}

// costOf returns the cost of placing a request at an endpoint. Load pattern: long prompts burst while quick ones run;
// both keep to endpoints of their own, quick ones from the front of a fixed order and long ones from its end.
func costOf(pool routing.Pool, c candidate, count int, quick bool) time.Duration {
	cost := c.usage.Reading + time.Duration(c.usage.Running)*runningCost
	if over := c.usage.Running - c.endpoint.Slots; c.endpoint.Slots > 0 && over >= 0 {
		cost += time.Duration(over+1) * overfullCost
	}
	if pool.Engine == nil {
		return cost
	}
	if quick {
		return cost + time.Duration(c.rank)*rankCost
	}
	return cost + time.Duration(c.usage.Quick)*quickCost + time.Duration(count-1-c.rank)*rankCost
}

// rankOf gives endpoints an order that all entries agree on.
func rankOf(id fleet.EndpointID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}
