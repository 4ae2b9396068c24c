package sharedload

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/ratelimit"
	"wisteriadyke/core/routing"
)

const (
	// maxQuickPrefill is the longest prefill time of a quick prompt; a pass with one such prefill stays below the
	// shortest pause that callers of streams accept.
	maxQuickPrefill = 120 * time.Millisecond
	// runningCallCost is the cost of each running call at a plain service: a small part of the usual call time, so
	// that idle endpoints are preferred.
	runningCallCost = 4 * time.Millisecond
	// rankCost is the cost of each rank for a quick request; it places quick and long prompts on different endpoints.
	// maxRankCost bounds the rank cost of the last endpoint in a large pool.
	rankCost    = 12 * time.Millisecond
	maxRankCost = 200 * time.Millisecond
	// nearFullCost is the cost for a quick request of each attempt that runs or waits at an endpoint beyond its slots
	// minus reservedSlots.
	nearFullCost = 20 * time.Millisecond
	// reservedSlots is the number of slots of an endpoint that quick requests avoid, at nearFullCost, while others are
	// free. A slot may count as used although it is free, since the end of an answer is reported up to one reportPeriod
	// late.
	reservedSlots = 1
	// waitedValueFactor multiplies the value of a long prompt whose caller waited after a refusal, since most callers
	// retry only once.
	waitedValueFactor = 1.5
	// recentExclusionCost is added to the cost of an endpoint for a quick request if another entry recently excluded it.
	// It is half of a usual objective, so that a pool with many such endpoints does not overload the others.
	recentExclusionCost = 150 * time.Millisecond
	// minHealthyShare is compared with the share of endpoints that no other entry recently excluded. If that is smaller,
	// single endpoints are unlikely to be the cause of the failures.
	minHealthyShare = 0.6
	// longAttemptCost is the cost for a quick request of each long attempt at an endpoint: the context of a usual long
	// prompt lengthens each pass by about that time.
	longAttemptCost = 25 * time.Millisecond
)

// Policy orders endpoints by the time that a request would take there and by the cost for the attempts that run there.
type Policy struct {
	// Usages holds the usage of each endpoint.
	Usages *UsageTable
	// Pool returns the configuration of a pool.
	Pool func(fleet.PoolName) (routing.Pool, bool)
	// Usable reports whether an endpoint may receive requests now.
	Usable func(endpoint fleet.Endpoint, now time.Time) bool
	// UsableForOthers reports whether choices may use an endpoint, whichever entry they are for; nil means Usable.
	UsableForOthers func(endpoint fleet.Endpoint, now time.Time) bool
	// Unreachable reports whether this entry could not connect to an endpoint lately; nil means that it can't tell.
	Unreachable func(endpoint fleet.Endpoint, now time.Time) bool
	// Limits holds the limits that endpoints state; nil means that there are none.
	Limits *ratelimit.Limits
	// Paths holds the paths that entries lost; nil means that there are none.
	Paths *outlier.PathTable
	// Paces holds the paces of endpoints; nil means that all keep their published times.
	Paces *cost.Paces
	// Log receives messages about long prompts that are refused because other requests would lose more value.
	Log zerolog.Logger

	demand Demand
}

// orderQuick returns the endpoints for a quick request or a call to a plain service, the best first. It updates the
// demand averages of a pool of engines.
func (p *Policy) orderQuick(pool routing.Pool, view placement.View, need placement.Need) []endpointState {
	states := p.endpointStates(view, need)
	if pool.Engine != nil {
		p.demand.update(pool, states, time.Now())
	}
	costs := make([]rankedCost, len(states))
	for i := range states {
		costs[i] = rankedCost{cost: quickCost(pool, &states[i], need), index: i}
	}
	slices.SortFunc(costs, func(a, b rankedCost) int { return cmp.Or(cmp.Compare(a.cost, b.cost), a.index-b.index) })
	ordered := make([]endpointState, len(states))
	for i, c := range costs {
		ordered[i] = states[c.index]
	}
	if pool.Contended {
		moveTrialFirst(ordered, need)
	}
	return suspectLast(withoutLost(ordered))
}

// rankedCost is the cost of the endpoint with an index; sorting these is cheaper than sorting endpoint states.
type rankedCost struct {
	cost  time.Duration
	index int
}

// without returns the endpoints that are not to be avoided. If fewer than minHealthyShare are left, it returns all
// endpoints.
func without(states []endpointState, avoid func(s endpointState) bool) []endpointState {
	left := slices.DeleteFunc(slices.Clone(states), avoid)
	if float64(len(left)) < minHealthyShare*float64(len(states)) {
		return states
	}
	return left
}

// recentlyExcluded reports whether another entry recently excluded an endpoint. If many are, the cause is probably the
// entries or the network.
//
// Load pattern: endpoints go down and come back in turn while each long prompt is prefilled by up to 17 endpoints. If
// one of them fails, so does the whole prefill.
func recentlyExcluded(s endpointState) bool {
	return s.recentlyExcluded
}

// limited reports whether an endpoint states a limit. It has trouble with what it runs, and the prefill of a part of a
// long prompt would add to that.
func limited(s endpointState) bool {
	return s.limited
}

// isSlow reports whether an endpoint is known to be slow: the slowest part of a prompt delays the whole.
func isSlow(s endpointState) bool {
	return s.slow()
}

// planLong returns the plan for the prefill of a long prompt and updates the demand averages of the pool. It reports
// false if the prompt fits nowhere, or if other requests would lose more value by its prefill than it gains.
func (p *Policy) planLong(pool routing.Pool, view placement.View, need placement.Need) (prefillPlan, bool) {
	states := p.endpointStates(view, need)
	demand := p.demand.update(pool, states, time.Now())
	if plan, found := planTrial(pool, states, need); found {
		return plan, true
	}
	trusted := filterOrAll(withoutLost(states), func(s endpointState) bool { return !s.suspect })
	preferred := without(without(without(trusted, recentlyExcluded), limited), isSlow)
	plan, found := p.plan(pool, preferred, need, demand)
	if !found || !p.worthwhile(pool, len(states), need, plan.firstToken, demand) {
		return prefillPlan{}, false
	}
	return plan, true
}

// plan returns the plan for a long prompt. In a contended pool, the first endpoints by rank stay free of long prefill as
// long as quick requests need them.
func (p *Policy) plan(
	pool routing.Pool, states []endpointState, need placement.Need, demand demandAverage,
) (prefillPlan, bool) {
	if !pool.Contended {
		return planPrefill(pool, states, need.PromptTokens, need.MaxTokens, need.Objective)
	}
	return planBySlack(pool, states, need, p.demand.reserve(pool, len(states), demand, time.Now()))
}

// worthwhile reports whether a long prompt gains at least the value that other requests lose by its prefill; if not, it
// logs both values.
func (p *Policy) worthwhile(
	pool routing.Pool, endpoints int, need placement.Need, firstToken time.Duration, demand demandAverage,
) bool {
	lost := demand.displacedValue(pool, endpoints, pool.Engine.PrefillTime(need.PromptTokens))
	gained := valueOf(pool, need)
	if need.Objective > 0 {
		gained *= 1 - lossIfLate(pool)*lateProbability(firstToken, need.Objective)
	}
	if need.WaitedAfterRefusal {
		gained *= waitedValueFactor
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
		Float64("busy", demand.prefillShare).
		Msg("sharedload: long prompt refused, since other requests would lose more value")
	return false
}

// endpointStates returns the endpoints of need.Pool that accept requests and are not excluded by need, with their
// usage, in an order that all entries agree on.
func (p *Policy) endpointStates(view placement.View, need placement.Need) []endpointState {
	now := need.DecidedAt
	if now.IsZero() {
		now = time.Now()
	}
	totals := p.Usages.Totals(now)
	pool, _ := p.Pool(need.Pool)
	found := make([]endpointState, 0, len(view.Endpoints))
	paths := p.pathView(need, now)
	for id, endpoint := range view.Endpoints {
		if endpoint.Pool != need.Pool || need.Excluded[id] || !inService(view, endpoint) || !p.choosableFrom(endpoint, need.Zone, now) {
			continue
		}
		state := endpointState{
			endpoint:         endpoint,
			usage:            totals[id],
			recentlyExcluded: p.Usages.RecentlyExcluded(id, now) || p.unreachable(endpoint, now),
			limited:          p.isLimited(endpoint),
			lost:             paths.Lost(endpoint),
			suspect:          paths.Suspect(endpoint),
		}
		if pool.Contended && p.Paces != nil {
			state.pace = p.Paces.Estimate(endpoint, now)
		}
		state.prefill = p.outstandingPrefill(pool, &state, now)
		found = append(found, state)
	}
	keys := make([]rankKey, len(found))
	for i := range found {
		keys[i] = rankKey{hash: fleet.Rank(found[i].endpoint.ID), index: i}
	}
	slices.SortFunc(keys, func(a, b rankKey) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(found[a.index].endpoint.ID, found[b.index].endpoint.ID))
	})
	ranked := make([]endpointState, len(found))
	for i, k := range keys {
		ranked[i] = found[k.index]
		ranked[i].rank = i
		ranked[i].rankCost = time.Duration(i) * min(rankCost, maxRankCost/time.Duration(len(found)))
	}
	return ranked
}

// rankKey is the rank hash of the endpoint with an index.
type rankKey struct {
	hash  uint32
	index int
}

// outstandingPrefill returns the prefill of an endpoint that is not finished. In a pool that is not contended, it counts
// each prompt in full until its first token.
func (p *Policy) outstandingPrefill(pool routing.Pool, s *endpointState, now time.Time) outstandingPrefill {
	if pool.Engine == nil {
		return outstandingPrefill{}
	}
	pass, total := s.passTime(pool), s.usage.PrefillTime
	if !pool.Contended {
		return outstandingPrefill{wait: total + pass/2, shared: total, busy: total > 0}
	}
	return p.Usages.outstandingPrefill(s.endpoint.ID, total, pass, now)
}

// isLimited reports whether an endpoint states a limit.
func (p *Policy) isLimited(endpoint fleet.Endpoint) bool {
	if p.Limits == nil {
		return false
	}
	_, limited := p.Limits.Limit(endpoint)
	return limited
}

// choosable reports whether choices may use an endpoint. The entry for which one is made excludes the endpoints that it
// doesn't use itself. An endpoint that this entry can't connect to is left out for all only if another entry excluded it
// as well; else it is avoided like one that another entry excluded, since the path of this entry may be at fault.
func (p *Policy) choosable(endpoint fleet.Endpoint, now time.Time) bool {
	if p.UsableForOthers == nil {
		return p.Usable(endpoint, now)
	}
	return p.UsableForOthers(endpoint, now) || p.unreachable(endpoint, now) && !p.Usages.RecentlyExcluded(endpoint.ID, now)
}

// unreachable reports whether this entry could not connect to an endpoint lately.
func (p *Policy) unreachable(endpoint fleet.Endpoint, now time.Time) bool {
	return p.Unreachable != nil && p.Unreachable(endpoint, now)
}

// acceptsRequests reports whether an endpoint is live and usable and its zone is not drained.
func (p *Policy) acceptsRequests(view placement.View, endpoint fleet.Endpoint, now time.Time) bool {
	return inService(view, endpoint) && p.Usable(endpoint, now)
}

// inService reports whether an endpoint is live and its zone is not drained.
func inService(view placement.View, endpoint fleet.Endpoint) bool {
	return endpoint.State == fleet.StateLive && !view.Zones[endpoint.Zone].Drained
}

// isQuick reports whether a prompt can be prefilled within maxQuickPrefill; calls to plain services are always quick.
// Packages placement and scheduler define quick prompts by their length instead.
func isQuick(pool routing.Pool, prompt fleet.Tokens) bool {
	return pool.Engine == nil || pool.Engine.PrefillTime(prompt) <= maxQuickPrefill
}

// quickCost returns the cost of placing a quick request at an endpoint. At an engine, it is the wait until the prefill
// starts and the duration of a pass, plus the costs of long attempts, a nearly full endpoint, the rank and a recent
// exclusion by another entry. It includes only what the request's own prefill takes longer than published.
// At a plain service, the cost grows with the number of running calls.
//
// Load pattern: quick requests burst while long prompts are prefilled. Quick requests avoid prefilling endpoints and
// fill endpoints from the front of a fixed order, while long prompts are placed from its end.
func quickCost(pool routing.Pool, s *endpointState, need placement.Need) time.Duration {
	if pool.Engine == nil {
		cost := time.Duration(s.usage.Running) * runningCallCost
		if excess := s.usage.Running - s.endpoint.Slots; s.endpoint.Slots > 0 && excess >= 0 {
			cost += time.Duration(excess+1) * overloadWait
		}
		return cost
	}
	surcharge := time.Duration(s.usage.Running-s.usage.Quick) * longAttemptCost
	if excess := s.usage.Running - s.endpoint.Slots + reservedSlots; s.endpoint.Slots > 0 && excess > 0 {
		surcharge += time.Duration(excess) * nearFullCost
	}
	cost := s.prefillWait(pool) + s.passTime(pool) + surcharge + s.rankCost
	if s.slow() {
		published := pool.Engine.PrefillTime(need.PromptTokens)
		cost += s.atPace(published) - published
	}
	if s.recentlyExcluded {
		cost += recentExclusionCost
	}
	return cost
}

// recordChoice takes a choice into account for the following ones: its prefill and, in a contended pool, its part in the
// demand and the trial of its endpoint. It logs the choice in a contended pool.
func (p *Policy) recordChoice(pool routing.Pool, need placement.Need, choice Choice, now time.Time) {
	p.Usages.StartPrefill(choice, now)
	if !pool.Contended {
		return
	}
	p.demand.countPlaced(pool.Name, isQuick(pool, need.PromptTokens), residence(pool.Engine, choice, need.ExpectedOutput))
	p.markTried(choice, now)
	p.logChoice(need, choice)
}
