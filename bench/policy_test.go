package bench_test

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// router chooses the endpoint of the next attempt of a request.
type router interface {
	// nextEndpoint returns the endpoint to try, or nil if there is none.
	nextEndpoint(r *request) *endpoint
}

// policy is one combination of routing, reservations and engine priorities.
type policy struct {
	// name is the name in the results.
	name string
	// hasOwners is true if each endpoint has an owner that grants reservations.
	hasOwners bool
	// priorities is true if entries set engine priorities by prompt length. It is not used where there are owners,
	// whose grants contain the priority.
	priorities bool
	// reportFirstToken is true if an entry also renews the reservation at the start and at the first token of an attempt,
	// so that the owner need not wait for the next periodic renewal.
	reportFirstToken bool
	// router creates the router of an entry.
	router func(s *simulation, e *entry) router
}

// product is the policy that the product uses.
var product = policy{
	name:             "product",
	hasOwners:        true,
	priorities:       true,
	reportFirstToken: true,
	router:           newEarliestFinish,
}

// baselines holds the policies that product is compared with.
var baselines = []policy{
	{name: "round_robin", router: func(s *simulation, e *entry) router { return &roundRobin{simulation: s, entry: e} }},
	{name: "least_outstanding", router: func(s *simulation, e *entry) router {
		return &leastOutstanding{simulation: s, entry: e}
	}},
	{name: "no_owner", priorities: true, router: newEarliestFinish},
}

// earliestFinish routes by placement.EarliestFinish, the policy of the product.
type earliestFinish struct {
	simulation *simulation
	entry      *entry
	policy     *placement.EarliestFinish
}

// newEarliestFinish returns the earliestFinish router of an entry.
func newEarliestFinish(s *simulation, e *entry) router {
	return &earliestFinish{
		simulation: s,
		entry:      e,
		policy:     &placement.EarliestFinish{Prefixes: &e.zone.prefixes, Random: s.random.IntN},
	}
}

// nextEndpoint implements router. It also sets r.cachedTokens to what the chosen endpoint may have cached.
func (p *earliestFinish) nextEndpoint(r *request) *endpoint {
	need := p.need(r)
	candidates := p.policy.Candidates(p.entry.zone.currentView(), need)
	if len(candidates) == 0 {
		return nil
	}
	r.cachedTokens = p.policy.Cached(candidates[0].ID, need)
	return p.simulation.byID[candidates[0].ID]
}

// need returns the requirements of a request for its endpoint.
func (p *earliestFinish) need(r *request) placement.Need {
	return placement.Need{
		Pool:         readerPool,
		Account:      r.arrival.account.id,
		PromptTokens: r.arrival.tokens,
		MaxTokens:    r.maxTokens,
		Prefixes:     r.prefixes,
		Excluded:     r.excluded,
		DecidedAt:    p.simulation.now,
	}
}

// roundRobin chooses the usable endpoints in turn, starting with a random one.
type roundRobin struct {
	simulation *simulation
	entry      *entry
	turn       int
}

// nextEndpoint implements router.
func (p *roundRobin) nextEndpoint(r *request) *endpoint {
	if p.turn == 0 {
		p.turn = p.simulation.random.IntN(len(p.simulation.endpoints))
	}
	for range p.simulation.endpoints {
		p.turn++
		ep := p.simulation.endpoints[p.turn%len(p.simulation.endpoints)]
		if ep.usable(p.entry, r) {
			return ep
		}
	}
	return nil
}

// usable reports whether an entry may try the endpoint for a request: it is not excluded and its zone is not drained.
func (ep *endpoint) usable(e *entry, r *request) bool {
	return !r.excluded[ep.info.ID] && !e.zone.view.Zones[ep.info.Zone].Drained
}

// leastOutstanding chooses the usable endpoint with the fewest attempts according to the last reports, which lag.
type leastOutstanding struct {
	simulation *simulation
	entry      *entry
}

// nextEndpoint implements router.
func (p *leastOutstanding) nextEndpoint(r *request) *endpoint {
	var best *endpoint
	least := 0
	offset := p.simulation.random.IntN(len(p.simulation.endpoints))
	for i := range p.simulation.endpoints {
		ep := p.simulation.endpoints[(i+offset)%len(p.simulation.endpoints)]
		load := p.entry.zone.view.Loads[ep.info.ID]
		if ep.usable(p.entry, r) && (best == nil || load.Running+load.Waiting < least) {
			best = ep
			least = load.Running + load.Waiting
		}
	}
	return best
}

// retryPause is how long a request waits, under a policy without owners, before it tries all endpoints again once none
// is left.
const retryPause = time.Second

// priorityOf returns the engine priority for a prompt length under a policy without owners; shorter prompts get higher
// priorities.
func priorityOf(tokens fleet.Tokens) int {
	for i, b := range bands {
		if tokens <= b.upTo {
			return 10 * (len(bands) - i)
		}
	}
	return 0
}
