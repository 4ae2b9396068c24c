package sharedload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

const (
	// stragglerShare is the assumed share of endpoints that are slow without being known for it, and stragglerPace their
	// pace: a part there is late unless it is short.
	stragglerShare = 0.02
	stragglerPace  = 5
	// slackDelayCost is the cost of a delay as long as the objective, as a share of the request's value; it is small, since
	// a caller gains nothing from an answer that is earlier than the objective.
	slackDelayCost = 0.1
	// burstProbability is the assumed probability that quick requests burst while a part is prefilled.
	burstProbability = 0.2
)

// quickReserve is the part of a pool that stays free of long prefill for quick requests, the first endpoints by rank.
type quickReserve struct {
	// needed is the number of endpoints that quick requests use now, and burst the number that they use in a burst.
	needed, burst int
	// perSecond is the rate of quick requests at one of these endpoints.
	perSecond float64
}

// price returns the expected value, in quick requests, that a part costs quick requests that would arrive at the endpoint.
func (r quickReserve) price(rank int, part time.Duration) float64 {
	switch {
	case rank < r.needed:
		return r.perSecond * part.Seconds()
	case rank < r.burst:
		return burstProbability * r.perSecond * part.Seconds()
	default:
		return 0
	}
}

// partCandidate is an endpoint that may prefill a part of a prompt.
type partCandidate struct {
	state *endpointState
	wait  time.Duration
	pass  time.Duration
	// cost is the value that other requests lose by the part; fits reports whether the endpoint has memory for the whole
	// request.
	cost float64
	fits bool
}

// planBySlack chooses the endpoints that prefill a long prompt of a contended pool. A prompt with slack takes no more
// endpoints than it needs to be in time even if one of them is slow, and it follows other long prompts rather than
// interrupt running attempts or take the endpoints that quick requests need.
//
// Load pattern: long prompts burst while quick requests arrive. With parts of every long prompt at most endpoints, quick
// requests find none without prefill. Answering a prompt seconds before its objective gains nothing.
func planBySlack(
	pool routing.Pool, states []endpointState, need placement.Need, reserve quickReserve,
) (prefillPlan, bool) {
	total := pool.Engine.PrefillTime(need.PromptTokens)
	candidates := make([]partCandidate, len(states))
	fitsOne := false
	for i := range states {
		s := &states[i]
		fits := s.freeMemory(pool) >= need.PromptTokens+need.MaxTokens
		fitsOne = fitsOne || fits
		candidates[i] = partCandidate{state: s, wait: s.prefillWait(pool), pass: s.passTime(pool), fits: fits}
	}
	best, found := prefillPlan{}, false
	for count := 1; count <= min(len(candidates), maxHelpers+1); count++ {
		part := total / time.Duration(count)
		for i := range candidates {
			c := &candidates[i]
			c.cost = c.state.partHarm(pool, c.pass, c.state.atPace(part)) + reserve.price(c.state.rank, part)
		}
		for _, order := range []func(a, b partCandidate) int{cheapest(need.Objective, part), earliest} {
			slices.SortFunc(candidates, order)
			plan, ok := planParts(pool, candidates, count, need, fitsOne)
			if ok && (!found || plan.cost < best.cost) {
				best, found = plan, true
			}
		}
	}
	return best, found
}

// cheapest orders endpoints for a part: first those where it is done within the safe share of the objective, then by
// cost, then by wait in steps of waitGranularity, then by descending rank.
func cheapest(objective, part time.Duration) func(a, b partCandidate) int {
	latest := time.Duration(float64(objective)*routing.SafeShare) - part
	isLate := func(c partCandidate) int {
		if objective > 0 && c.wait+c.pass > latest {
			return 1
		}
		return 0
	}
	return func(a, b partCandidate) int {
		return cmp.Or(
			isLate(a)-isLate(b),
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.wait/waitGranularity, b.wait/waitGranularity),
			cmp.Compare(b.state.rank, a.state.rank),
		)
	}
}

// earliest orders endpoints by wait, then by descending rank.
func earliest(a, b partCandidate) int {
	return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(b.state.rank, a.state.rank))
}

// planParts returns the plan with the first candidates. If one endpoint has memory for the whole request, the first one
// that has is the decoder.
func planParts(
	pool routing.Pool, candidates []partCandidate, count int, need placement.Need, fitsOne bool,
) (prefillPlan, bool) {
	chosen := make([]endpointState, 0, count)
	first := -1
	if fitsOne {
		first = slices.IndexFunc(candidates, func(c partCandidate) bool { return c.fits })
		chosen = append(chosen, *candidates[first].state)
	}
	cost := helperRiskCost * float64(count-1)
	if first >= 0 {
		cost += candidates[first].cost
	}
	for i := 0; len(chosen) < count; i++ {
		if i != first {
			chosen = append(chosen, *candidates[i].state)
			cost += candidates[i].cost
		}
	}
	decoder := 0
	if !fitsOne {
		decoder = mostFreeMemory(pool, chosen)
	}
	total := pool.Engine.PrefillTime(need.PromptTokens)
	plan, ok := planWith(pool, chosen, decoder, total, need.PromptTokens, need.MaxTokens, need.Objective)
	plan.cost = cost
	if need.Objective > 0 {
		delay := float64(plan.firstToken) / float64(need.Objective)
		plan.cost += valueOf(pool, need) * (plan.lateRisk(need.Objective) + slackDelayCost*delay)
	}
	return plan, ok
}

// lateRisk returns the probability that the first token misses its objective, with the chance that one of the endpoints
// is slow.
func (p *prefillPlan) lateRisk(objective time.Duration) float64 {
	late := lateProbability(p.firstToken, objective)
	slow := p.firstToken + (stragglerPace-1)*p.prefillTime
	straggler := 1 - math.Pow(1-stragglerShare, float64(1+len(p.helpers)))
	return late + (1-late)*straggler*lateProbability(slow, objective)
}

// partHarm returns the value that attempts at the endpoint lose by a part of the given duration. Attempts whose prompts
// are still prefilled are interrupted by the part alone, running ones by all prefill of the same pass; it returns the
// larger loss, since the reports don't tell the two apart.
func (s *endpointState) partHarm(pool routing.Pool, pass, part time.Duration) float64 {
	if s.usage.ValueByPause == (ValueByPause{}) {
		return 0
	}
	shortest := pauseObjective(pool)
	alone := s.usage.ValueByPause.lateValue(shortest, pass, pass+part)
	if s.prefill.shared <= 0 {
		return alone
	}
	pause := s.prefill.shared + pass
	return max(alone, s.usage.ValueByPause.lateValue(shortest, pause, pause+part))
}
