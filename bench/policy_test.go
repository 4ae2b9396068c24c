package bench_test

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// router chooses the endpoint of the next attempt of a request.
type router interface {
	// next returns the endpoint to try, or nil if there is none.
	next(r *request) *backend
}

// policy is one way to run a fleet.
type policy struct {
	// name names it in the figures.
	name string
	// owned tells that each endpoint has an owner that grants reservations.
	owned bool
	// priorities tells that engines are given priorities by prompt length.
	priorities bool
	// reportFirst tells that the owner is told of the first token at once, not only by the next renewal.
	reportFirst bool
	// router returns the router of an entry.
	router func(s *simulation, e *entry) router
}

// product is the policy of the product.
var product = policy{
	name:        "product",
	owned:       true,
	priorities:  true,
	reportFirst: true,
	router:      newPredicted,
}

// baselines holds the policies to compare with.
var baselines = []policy{
	{name: "round_robin", router: func(s *simulation, e *entry) router { return &roundRobin{simulation: s, entry: e} }},
	{name: "least_outstanding", router: func(s *simulation, e *entry) router { return &leastOutstanding{simulation: s, entry: e} }},
	{name: "no_owner", priorities: true, router: newPredicted},
}

// predicted routes by the policy of the product.
type predicted struct {
	simulation *simulation
	entry      *entry
	policy     *placement.EarliestFinish
}

// newPredicted returns the router of an entry.
func newPredicted(s *simulation, e *entry) router {
	return &predicted{
		simulation: s,
		entry:      e,
		policy:     &placement.EarliestFinish{Prefixes: &e.zone.prefixes, Random: s.random.IntN},
	}
}

// next implements router.
func (p *predicted) next(r *request) *backend {
	need := p.need(r)
	candidates := p.policy.Candidates(p.entry.zone.known(), need)
	if len(candidates) == 0 {
		return nil
	}
	r.cached = p.policy.Cached(candidates[0].ID, need)
	return p.simulation.byID[candidates[0].ID]
}

// need returns what a request asks of an endpoint.
func (p *predicted) need(r *request) placement.Need {
	return placement.Need{
		Pool:         pool,
		Account:      r.arrival.client.id,
		PromptTokens: r.arrival.tokens,
		MaxTokens:    r.output,
		Prefixes:     r.prefixes,
		Excluded:     r.excluded,
		At:           p.simulation.now,
	}
}

// roundRobin takes the endpoints in turn.
type roundRobin struct {
	simulation *simulation
	entry      *entry
	turn       int
}

// next implements router.
func (p *roundRobin) next(r *request) *backend {
	if p.turn == 0 {
		p.turn = p.simulation.random.IntN(len(p.simulation.backends))
	}
	for range p.simulation.backends {
		p.turn++
		b := p.simulation.backends[p.turn%len(p.simulation.backends)]
		if b.usable(p.entry, r) {
			return b
		}
	}
	return nil
}

// usable tells whether an entry may try an endpoint.
func (b *backend) usable(e *entry, r *request) bool {
	return !r.excluded[b.endpoint.ID] && !e.zone.view.Zones[b.endpoint.Zone].Drained
}

// leastOutstanding takes the endpoint with the fewest attempts by the last report, which lags.
type leastOutstanding struct {
	simulation *simulation
	entry      *entry
}

// next implements router.
func (p *leastOutstanding) next(r *request) *backend {
	var best *backend
	least := 0
	offset := p.simulation.random.IntN(len(p.simulation.backends))
	for i := range p.simulation.backends {
		b := p.simulation.backends[(i+offset)%len(p.simulation.backends)]
		load := p.entry.zone.view.Loads[b.endpoint.ID]
		if b.usable(p.entry, r) && (best == nil || load.Running+load.Waiting < least) {
			best = b
			least = load.Running + load.Waiting
		}
	}
	return best
}

// retryPause is the time after which a policy without owners tries again when all endpoints have refused.
const retryPause = time.Second

// priorityOf returns the engine priority of a prompt length for a policy without owners.
func priorityOf(tokens fleet.Tokens) int {
	for i, b := range bands {
		if tokens <= b.upTo {
			return 10 * (len(bands) - i)
		}
	}
	return 0
}
