package sharedload

import (
	"math"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
)

// evaluation holds the endpoints of a pool of engines in the order for quick requests. They are evaluated once for all
// requests that are placed in one pass; each placement updates the endpoint that it takes.
type evaluation struct {
	chooser *Chooser
	pool    routing.Pool
	now     time.Time
	states  []endpointState
}

// evaluate evaluates the endpoints of a pool and passes them to use. No other choice is made before use has returned.
func (c *Chooser) evaluate(pool routing.Pool, now time.Time, use func(e *evaluation)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	need := placement.Need{Pool: pool.Name, DecidedAt: now}
	use(&evaluation{chooser: c, pool: pool, now: now, states: c.Policy.orderQuick(pool, c.Views.View(), need)})
}

// overhead returns the shortest time from a placement to the first token at any endpoint without outstanding prefill,
// excluding the request's own prefill. It reports false if there is no endpoint.
func (e *evaluation) overhead() (time.Duration, bool) {
	shortest := time.Duration(math.MaxInt64)
	for i := range e.states {
		pass := e.states[i].passTime(e.pool)
		shortest = min(shortest, pass/2+pass)
	}
	return shortest, len(e.states) > 0
}

// capacity returns the number of requests per second that the endpoints serve as published.
func (e *evaluation) capacity() float64 {
	interval := e.pool.Engine.SlotInterval()
	if interval <= 0 {
		return 0
	}
	return float64(len(e.states)) / interval.Seconds()
}

// hasFreeSlot reports whether any endpoint has a free slot.
func (e *evaluation) hasFreeSlot() bool {
	for i := range e.states {
		if isSlotFree(&e.states[i]) {
			return true
		}
	}
	return false
}

// hasFreeSlot reports whether any usable endpoint of a pool has a free slot, without an evaluation of the endpoints.
func (p *Policy) hasFreeSlot(view placement.View, pool fleet.PoolName, now time.Time) bool {
	totals := p.Usages.Totals(now)
	for id, endpoint := range view.Endpoints {
		s := endpointState{endpoint: endpoint, usage: totals[id]}
		if endpoint.Pool == pool && isSlotFree(&s) && inService(view, endpoint) && p.choosable(endpoint, now) {
			return true
		}
	}
	return false
}

// isSlotFree reports whether an endpoint runs fewer attempts than it has slots.
func isSlotFree(s *endpointState) bool {
	return s.endpoint.Slots <= 0 || s.usage.Running < s.endpoint.Slots
}

// find returns the index of the best endpoint with a free slot that a request accepts by the predicted time to the
// first token, and whether there is one. It counts the request against the rate of the endpoint, so that the caller
// must place it there.
func (e *evaluation) find(
	need placement.Need, role Role, accept func(s *endpointState, firstToken time.Duration) bool,
) (int, bool) {
	prefill := e.pool.Engine.PrefillTime(need.PromptTokens)
	for i := range e.states {
		s := &e.states[i]
		if need.Excluded[s.endpoint.ID] || !isSlotFree(s) {
			continue
		}
		if !accept(s, s.prefillWait(e.pool)+prefill+s.passTime(e.pool)) {
			continue
		}
		if e.chooser.admit(s, role, e.now) == nil {
			return i, true
		}
	}
	return 0, false
}

// place records the choice of an endpoint for a request and returns it. It keeps the order of the endpoints, in which
// this one moves back.
func (e *evaluation) place(index int, need placement.Need, record func(Choice)) Choice {
	choice := quickChoice(e.pool, &e.states[index], need)
	e.chooser.addLimit(&choice)
	record(choice)
	s := &e.states[index]
	s.usage = s.usage.add(choice.initialUsages()[choice.Endpoint])
	cost := quickCost(e.pool, s)
	for ; index+1 < len(e.states) && quickCost(e.pool, &e.states[index+1]) < cost; index++ {
		e.states[index], e.states[index+1] = e.states[index+1], e.states[index]
	}
	return choice
}

// excludesAll reports whether a request excludes all endpoints of a pool.
func excludesAll(endpoints []fleet.EndpointID, need placement.Need) bool {
	if len(need.Excluded) < len(endpoints) {
		return false
	}
	for _, id := range endpoints {
		if !need.Excluded[id] {
			return false
		}
	}
	return true
}

// endpoints returns the IDs of the endpoints.
func (e *evaluation) endpoints() []fleet.EndpointID {
	ids := make([]fleet.EndpointID, len(e.states))
	for i := range e.states {
		ids[i] = e.states[i].endpoint.ID
	}
	return ids
}

// refuseEmpty returns the refusal of a request that excludes all endpoints, or whose pool has none.
func (e *evaluation) refuseEmpty(need placement.Need, role Role) *reservation.Refusal {
	return e.chooser.refuseEmpty(need, role, e.now)
}
