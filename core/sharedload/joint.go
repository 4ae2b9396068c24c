package sharedload

import (
	"cmp"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

const (
	// maxHelpers is the number of endpoints that an engine takes as helpers.
	maxHelpers = 16
	// helperRisk is what each helper costs, since the reading fails if one of them does.
	helperRisk = 0.02
	// delayCost is what each objective's length of delay costs beside a missed objective, so that sooner is better.
	delayCost = 0.5
)

// reading is where a long prompt is read: the first endpoint also writes the answer.
type reading struct {
	first   state
	helpers []state
	// stored is the memory that each helper lends, in tokens; nil if none lends any.
	stored []fleet.Tokens
	part   time.Duration
	done   time.Duration
	// harm is what others lose, and cost that together with what the request itself loses.
	harm float64
	cost float64
}

// planReading chooses the endpoints that read a long prompt, from one to all that help.
//
// Load pattern: long prompts burst over a pool whose engines generate quick answers. A part that fits into the pauses
// of those answers harms nobody; a longer one makes all answers at its endpoint late, so that it is better kept to few
// endpoints or to such that generate none.
func planReading(pool routing.Pool, states []state, prompt, output fleet.Tokens, objective time.Duration) (reading, bool) {
	total := pool.Engine.PrefillTime(prompt)
	alone := slices.ContainsFunc(states, func(s state) bool { return s.free(pool) >= prompt+output })
	best, found := reading{}, false
	for _, order := range []func(a, b state) int{byHarm(pool, total), byWait(pool)} {
		sorted := slices.Clone(states)
		slices.SortStableFunc(sorted, order)
		for count := 1; count <= min(len(sorted), maxHelpers+1); count++ {
			plan, ok := planWith(pool, sorted[:count], total, prompt, output, objective)
			if !ok || alone && plan.stored != nil {
				continue
			}
			plan.cost += plan.harm
			if !found || plan.cost < best.cost {
				best, found = plan, true
			}
		}
	}
	return best, found
}

// byHarm orders endpoints by the quick answers that reading would hold up, and then from the end of the fixed order.
func byHarm(pool routing.Pool, total time.Duration) func(a, b state) int {
	part := total / (maxHelpers + 1)
	return func(a, b state) int {
		return cmp.Or(
			cmp.Compare(a.harm(pool, part), b.harm(pool, part)),
			cmp.Compare(a.wait(pool)/groupWait, b.wait(pool)/groupWait),
			cmp.Compare(b.rank, a.rank),
		)
	}
}

// groupWait is the difference in waits that does not matter for a long prompt.
const groupWait = 40 * time.Millisecond

// byWait orders endpoints by the time until reading begins.
func byWait(pool routing.Pool) func(a, b state) int {
	return func(a, b state) int {
		return cmp.Or(cmp.Compare(a.wait(pool), b.wait(pool)), cmp.Compare(b.rank, a.rank))
	}
}

// planWith returns the reading by all of the given endpoints; it reports false if they lack the memory.
func planWith(
	pool routing.Pool, states []state, total time.Duration, prompt, output fleet.Tokens, objective time.Duration,
) (reading, bool) {
	part := total / time.Duration(len(states))
	first := 0
	var start time.Duration
	var cost, harm float64
	for i := range states {
		s := &states[i]
		start = max(start, s.wait(pool))
		harm += lateLoss * s.harm(pool, part)
		if s.free(pool) > states[first].free(pool) {
			first = i
		}
	}
	var stored []fleet.Tokens
	if states[first].free(pool) < prompt+output {
		sizes, enough := spreadMemory(pool, states, first, prompt, output)
		if !enough {
			return reading{}, false
		}
		stored = slices.Concat(sizes[:first], sizes[first+1:])
	}
	done := start + part + states[first].pass(pool)
	cost += helperRisk * float64(len(states)-1)
	if objective > 0 {
		cost += value(prompt) * (lateLoss*lateChance(done, objective) + delayCost*float64(done)/float64(objective))
	}
	helpers := slices.Concat(states[:first], states[first+1:])
	return reading{first: states[first], helpers: helpers, stored: stored, part: part, done: done, harm: harm, cost: cost}, true
}
