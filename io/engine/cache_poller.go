package engine

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

const (
	// cachePollInterval is the time between two polls, each of another engine, so that the cost does not grow with
	// the number of engines.
	cachePollInterval = 250 * time.Millisecond
	// cachePollTimeout bounds one poll.
	cachePollTimeout = time.Second
)

// CachePoller learns which engines of an availability zone may hold which prefixes. It reads the endpoints of the
// blackboard and asks one engine after the other for its cache events, which come late and with gaps.
type CachePoller struct {
	// State holds the endpoints.
	State *clusterstate.State
	// Zone is the availability zone whose engines are asked.
	Zone fleet.Zone
	// Prefixes takes the events.
	Prefixes *placement.PrefixIndex
	// HTTP carries the calls.
	HTTP *http.Client

	turn int
	seen map[fleet.EndpointID]cachePosition
}

// cachePosition is how far the events of one engine have been read.
type cachePosition struct {
	incarnation fleet.Incarnation
	sequence    uint64
}

// Run polls until ctx ends; it returns no error, since what it learns is only a hint.
func (p *CachePoller) Run(ctx context.Context) error {
	p.seen = make(map[fleet.EndpointID]cachePosition)
	ticker := time.NewTicker(cachePollInterval)
	defer ticker.Stop()
	for {
		if endpoint, found := p.next(); found {
			p.poll(ctx, endpoint)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// next returns the engine whose turn it is.
func (p *CachePoller) next() (fleet.Endpoint, bool) {
	var engines []fleet.Endpoint
	for _, endpoint := range p.State.Endpoints.Snapshot().Rows {
		if endpoint.Kind == fleet.KindEngine && endpoint.Zone == p.Zone {
			engines = append(engines, endpoint)
		}
	}
	if len(engines) == 0 {
		return fleet.Endpoint{}, false
	}
	slices.SortFunc(engines, func(a, b fleet.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	p.turn++
	return engines[p.turn%len(engines)], true
}

// poll reads the events of one engine that are new.
func (p *CachePoller) poll(ctx context.Context, endpoint fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	client := &Client{Endpoint: endpoint.ID, Address: endpoint.Address, HTTP: p.HTTP}
	position := p.seen[endpoint.ID]
	answer, err := client.CacheEvents(ctx, position.sequence)
	if err != nil {
		return
	}
	if answer.Incarnation != position.incarnation && position.sequence != 0 {
		// The sequence began anew with the engine's new life.
		p.seen[endpoint.ID] = cachePosition{incarnation: answer.Incarnation}
		return
	}
	position.incarnation = answer.Incarnation
	events := make([]placement.CacheEvent, 0, len(answer.Events))
	for _, e := range answer.Events {
		position.sequence = max(position.sequence, e.Sequence)
		events = append(events, placement.CacheEvent{
			Sequence: e.Sequence,
			Evicted:  e.Kind == CacheEvicted,
			Prefix:   placement.Prefix{Digest: string(e.Prefix.Digest), Tokens: e.Prefix.Tokens},
		})
	}
	p.seen[endpoint.ID] = position
	p.Prefixes.Observe(endpoint.ID, answer.Incarnation, events)
}

// PlacementPrefixes returns the prefixes of a prompt under the digests of cache events, the shortest first.
func PlacementPrefixes(prompt string) []placement.Prefix {
	prefixes := Prefixes(prompt)
	found := make([]placement.Prefix, len(prefixes))
	for i, p := range prefixes {
		found[i] = placement.Prefix{Digest: string(p.Digest), Tokens: p.Tokens}
	}
	return found
}
