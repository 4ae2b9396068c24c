package sharedload

import (
	"cmp"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

const (
	// maxHelpers is the largest number of helpers that an engine supports.
	maxHelpers = 16
	// helperRiskCost is the cost of each helper, in quick requests, since the whole prefill fails if one of them
	// does.
	helperRiskCost = 0.02
	// delayCost is the cost of a delay as long as the objective, as a share of the request's value. It is added to the
	// expected loss from a missed objective, so that of two plans that meet it the earlier one is better.
	delayCost = 0.5
)

// prefillPlan is the plan for the prefill of a long prompt; the decoder also prefills a part and decodes the answer.
type prefillPlan struct {
	decoder endpointState
	helpers []endpointState
	// helperMemory is the memory to lease at each helper, in tokens; nil if none is needed.
	helperMemory []fleet.Tokens
	// prefillTime is how long each endpoint prefills its part; firstToken is the predicted time to the first token.
	prefillTime time.Duration
	firstToken  time.Duration
	// lostValue is the expected value, in quick requests, that running attempts at these endpoints lose. cost is the
	// sum of lostValue, the expected loss of the request itself, and the costs of the delay and of the helpers.
	lostValue float64
	cost      float64
}

// planPrefill chooses the endpoints that prefill a long prompt, one endpoint alone or with up to maxHelpers helpers.
// For each number of endpoints it tries the first ones by byLateValue and the first ones by byWait, and it returns the
// tried plan of the lowest cost. Helpers lease memory only if no single endpoint has room for prompt and output. It
// reports false if the prompt fits nowhere.
//
// Load pattern: long prompts burst over a pool whose engines decode quick answers. A part that fits into the tolerated
// pauses of those answers makes none late; a longer one makes all answers at its endpoint late, so that it is better
// confined to few endpoints or to endpoints that decode none.
func planPrefill(
	pool routing.Pool, states []endpointState, prompt, output fleet.Tokens, objective time.Duration,
) (prefillPlan, bool) {
	total := pool.Engine.PrefillTime(prompt)
	fitsOne := slices.ContainsFunc(states, func(s endpointState) bool { return s.freeMemory(pool) >= prompt+output })
	best, found := prefillPlan{}, false
	for _, order := range []func(a, b endpointState) int{byLateValue(pool, total), byWait(pool)} {
		sorted := slices.Clone(states)
		slices.SortStableFunc(sorted, order)
		for count := 1; count <= min(len(sorted), maxHelpers+1); count++ {
			decoder := mostFreeMemory(pool, sorted[:count])
			plan, ok := planWith(pool, sorted[:count], decoder, total, prompt, output, objective)
			if !ok || fitsOne && plan.helperMemory != nil {
				continue
			}
			plan.cost += plan.lostValue
			if !found || plan.cost < best.cost {
				best, found = plan, true
			}
		}
	}
	return best, found
}

// byLateValue orders endpoints by the value that one of maxHelpers+1 equal parts of the prefill makes late there, then
// by wait in steps of waitGranularity, then by descending rank.
func byLateValue(pool routing.Pool, total time.Duration) func(a, b endpointState) int {
	prefillTime := total / (maxHelpers + 1)
	return func(a, b endpointState) int {
		return cmp.Or(
			cmp.Compare(a.lateValue(pool, prefillTime), b.lateValue(pool, prefillTime)),
			cmp.Compare(a.prefillWait(pool)/waitGranularity, b.prefillWait(pool)/waitGranularity),
			cmp.Compare(b.rank, a.rank),
		)
	}
}

// waitGranularity is the difference in waits that is negligible for a long prompt.
const waitGranularity = 40 * time.Millisecond

// byWait orders endpoints by the time until the prefill starts, then by descending rank.
func byWait(pool routing.Pool) func(a, b endpointState) int {
	return func(a, b endpointState) int {
		return cmp.Or(cmp.Compare(a.prefillWait(pool), b.prefillWait(pool)), cmp.Compare(b.rank, a.rank))
	}
}

// mostFreeMemory returns the index of the endpoint with the most free memory.
func mostFreeMemory(pool routing.Pool, states []endpointState) int {
	most := 0
	for i := range states {
		if states[i].freeMemory(pool) > states[most].freeMemory(pool) {
			most = i
		}
	}
	return most
}

// planWith returns the plan for a prefill by all of the given endpoints, of which decoder is an index. It reports false if they lack the memory. The cost of the plan does not include lostValue yet.
func planWith(
	pool routing.Pool, states []endpointState, decoder int, total time.Duration, prompt, output fleet.Tokens,
	objective time.Duration,
) (prefillPlan, bool) {
	prefillTime := total / time.Duration(len(states))
	var start time.Duration
	var cost, lostValue float64
	slowest := prefillTime
	for i := range states {
		s := &states[i]
		slowest = max(slowest, s.atPace(prefillTime))
		start = max(start, s.prefillWait(pool))
		lostValue += lateLoss * s.lateValue(pool, prefillTime)
	}
	var helperMemory []fleet.Tokens
	if states[decoder].freeMemory(pool) < prompt+output {
		sizes, enough := distributeMemory(pool, states, decoder, prompt, output)
		if !enough {
			return prefillPlan{}, false
		}
		helperMemory = slices.Concat(sizes[:decoder], sizes[decoder+1:])
	}
	firstToken := start + slowest + states[decoder].passTime(pool)
	cost += helperRiskCost * float64(len(states)-1)
	if objective > 0 {
		cost += requestValue(prompt) *
			(lateLoss*lateProbability(firstToken, objective) + delayCost*float64(firstToken)/float64(objective))
	}
	helpers := slices.Concat(states[:decoder], states[decoder+1:])
	return prefillPlan{
		decoder:      states[decoder],
		helpers:      helpers,
		helperMemory: helperMemory,
		prefillTime:  slowest,
		firstToken:   firstToken,
		lostValue:    lostValue,
		cost:         cost,
	}, true
}
