package sharedload

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

const (
	// quickRead is the reading time up to which a prompt counts as quick; a pass with one such reading stays below the
	// shortest pause that callers of streams accept.
	quickRead = 120 * time.Millisecond
	// runningCost is what each running call adds at a plain service: a small part of a usual call, to tell idle ones.
	runningCost = 4 * time.Millisecond
	// rankCost keeps quick prompts and long ones on different endpoints: it is what each rank costs a quick request. rankSpan
	// bounds what the last endpoint of a large pool costs. Both are from trials in the journal.
	rankCost = 12 * time.Millisecond
	rankSpan = 200 * time.Millisecond
	// nearFullCost is what each attempt costs a newcomer at an endpoint within nearFull of its slots. From trials in the
	// journal.
	nearFullCost = 20 * time.Millisecond
	// nearFull is the number of slots that are kept free: an answer that has ended is told up to a telling later, so that
	// one of them may be free already.
	nearFull = 1
	// returnedWeight is how much more a long prompt counts whose caller has come back: most come back only once. From
	// trials in the journal.
	returnedWeight = 1.5
	// doubtCost is what it costs a quick request to go to an endpoint that has lately failed another entry: half of a usual
	// objective, so that a pool with many such endpoints does not crowd the others.
	doubtCost = 150 * time.Millisecond
	// trustedShare is the share of endpoints that must be left once those in doubt are taken out; more failures at the same
	// time than that are not those of single endpoints.
	trustedShare = 0.6
	// longCost is what each long attempt at an endpoint costs a quick newcomer: the context of a usual long prompt makes
	// each pass about that much longer.
	longCost = 25 * time.Millisecond
)

// Policy orders endpoints by the time that a request would take there and by what it costs the others there.
type Policy struct {
	// Usages knows what runs on each endpoint.
	Usages *UsageTable
	// Pool returns what the configuration tells of a pool.
	Pool func(fleet.PoolName) (routing.Pool, bool)
	// Usable tells whether an endpoint may be given work now.
	Usable func(endpoint fleet.Endpoint, now time.Time) bool
	// Log takes messages about requests that are not placed.
	Log zerolog.Logger

	demand Demand
}

// quickOrder returns the endpoints that a quick request or a call of a plain service may go to, the best first.
func (p *Policy) quickOrder(pool routing.Pool, view placement.View, need placement.Need) []state {
	states := p.states(view, need)
	if pool.Engine != nil {
		p.demand.observe(pool.Name, states, time.Now())
	}
	slices.SortStableFunc(states, func(a, b state) int { return cmp.Compare(quickCost(pool, &a), quickCost(pool, &b)) })
	return states
}

// trusted returns the endpoints that have not lately failed another entry. Where many have, the fault is rather that of the
// entries or of the way to them, and all are returned. Load pattern: endpoints go down and come back in turn while
// archives are read by up to 17 endpoints, of which each fails the whole reading.
func trusted(states []state) []state {
	kept := slices.DeleteFunc(slices.Clone(states), func(s state) bool { return s.doubted })
	if float64(len(kept)) < trustedShare*float64(len(states)) {
		return states
	}
	return kept
}

// longPlan returns where a long prompt is read; it reports false if it fits nowhere, or while others would lose more by its
// reading than its caller gains.
func (p *Policy) longPlan(pool routing.Pool, view placement.View, need placement.Need) (reading, bool) {
	states := p.states(view, need)
	demand := p.demand.observe(pool.Name, states, time.Now())
	plan, found := planReading(pool, trusted(states), need.PromptTokens, need.MaxTokens, need.Objective)
	if !found || !p.worthwhile(pool, len(states), need, plan.done, demand) {
		return reading{}, false
	}
	return plan, true
}

// worthwhile tells whether the caller of a long prompt gains more by its reading than others lose.
func (p *Policy) worthwhile(
	pool routing.Pool, endpoints int, need placement.Need, done time.Duration, demand average,
) bool {
	lost := demand.displaced(pool, endpoints, pool.Engine.PrefillTime(need.PromptTokens))
	gained := value(need.PromptTokens)
	if need.Objective > 0 {
		gained *= 1 - lateLoss*lateChance(done, need.Objective)
	}
	if need.WaitedAfterRefusal {
		gained *= returnedWeight
	}
	if lost <= gained {
		return true
	}
	p.Log.Info().
		Str("request", string(need.Request)).
		Str("pool", string(pool.Name)).
		Int64("prompt_tokens", int64(need.PromptTokens)).
		Bool("returned", need.WaitedAfterRefusal).
		Float64("lost", lost).
		Float64("gained", gained).
		Float64("busy", demand.busy).
		Msg("sharedload: pool could not catch up with a long prompt")
	return false
}

// states returns the usable endpoints of a pool in an order that all entries agree on.
func (p *Policy) states(view placement.View, need placement.Need) []state {
	now := need.At
	if now.IsZero() {
		now = time.Now()
	}
	totals := p.Usages.Totals(now)
	var found []state
	for id, endpoint := range view.Endpoints {
		if endpoint.Pool != need.Pool || need.Excluded[id] || !p.open(view, endpoint, now) {
			continue
		}
		found = append(found, state{endpoint: endpoint, usage: totals[id], doubted: p.Usages.RecentlyFailed(id, now)})
	}
	slices.SortFunc(found, func(a, b state) int {
		return cmp.Or(cmp.Compare(rankOf(a.endpoint.ID), rankOf(b.endpoint.ID)), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	for i := range found {
		found[i].rank = i
		found[i].rankCost = time.Duration(i) * min(rankCost, rankSpan/time.Duration(len(found)))
	}
	return found
}

// open tells whether an endpoint takes new work.
func (p *Policy) open(view placement.View, endpoint fleet.Endpoint, now time.Time) bool {
	return endpoint.State == fleet.StateLive && !view.Zones[endpoint.Zone].Drained && p.Usable(endpoint, now)
}

// isQuick tells whether a prompt is read within quickRead.
func isQuick(pool routing.Pool, prompt fleet.Tokens) bool {
	return pool.Engine == nil || pool.Engine.PrefillTime(prompt) <= quickRead
}

// quickCost returns the cost of placing a quick request at an endpoint: the time to its first token and the length of
// the passes that follow. Load pattern: quick requests burst while long prompts are read; they keep away from reading
// endpoints, and fill endpoints from the front of a fixed order while long prompts come from its end.
func quickCost(pool routing.Pool, s *state) time.Duration {
	if pool.Engine == nil {
		cost := time.Duration(s.usage.Running) * runningCost
		if over := s.usage.Running - s.endpoint.Slots; s.endpoint.Slots > 0 && over >= 0 {
			cost += time.Duration(over+1) * overfullWait
		}
		return cost
	}
	long := time.Duration(s.usage.Running-s.usage.Quick) * longCost
	if over := s.usage.Running - s.endpoint.Slots + nearFull; s.endpoint.Slots > 0 && over > 0 {
		long += time.Duration(over) * nearFullCost
	}
	cost := s.wait(pool) + s.pass(pool) + long + s.rankCost
	if s.doubted {
		cost += doubtCost
	}
	return cost
}

// rankOf gives endpoints or entries an order that all entries agree on.
func rankOf[ID ~string](id ID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()
}
