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
	// cachePollInterval is the time between two polls. Each poll queries one engine, so that the cost does not grow
	// with the number of engines.
	cachePollInterval = 250 * time.Millisecond
	// cachePollTimeout bounds one poll.
	cachePollTimeout = time.Second
)

// CachePoller maintains the index of which engines of an availability zone may hold which prefixes. It polls the
// engines in turn for their cache events, which arrive late and with gaps. It reads the table Endpoints of the cluster
// state.
type CachePoller struct {
	// State holds the endpoints.
	State *clusterstate.State
	// Zone is the availability zone whose engines are polled.
	Zone fleet.Zone
	// Prefixes receives the events.
	Prefixes *placement.PrefixIndex
	// HTTP sends the requests.
	HTTP *http.Client

	nextIndex int
	positions map[fleet.EndpointID]cachePosition
}

// cachePosition identifies the last event that was read from one engine; sequence is 0 if none was.
type cachePosition struct {
	incarnation fleet.Incarnation
	sequence    uint64
}

// Run polls until ctx ends. Failed polls are ignored, since the index is only a hint.
func (p *CachePoller) Run(ctx context.Context) error {
	p.positions = make(map[fleet.EndpointID]cachePosition)
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

// next returns the engine to poll in round-robin order; it returns false if the zone has none.
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
	p.nextIndex++
	return engines[p.nextIndex%len(engines)], true
}

// poll reads the new events of one engine and passes them to the index. If events of an earlier incarnation were read,
// it only resets the position.
func (p *CachePoller) poll(ctx context.Context, endpoint fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, cachePollTimeout)
	defer cancel()
	client := &Client{Endpoint: endpoint.ID, Address: endpoint.Address, HTTP: p.HTTP}
	position := p.positions[endpoint.ID]
	batch, err := client.CacheEvents(ctx, position.sequence)
	if err != nil {
		return
	}
	if batch.Incarnation != position.incarnation && position.sequence != 0 {
		// The sequence restarts with each incarnation; the next poll reads it from the start.
		p.positions[endpoint.ID] = cachePosition{incarnation: batch.Incarnation}
		return
	}
	position.incarnation = batch.Incarnation
	events := make([]placement.CacheEvent, 0, len(batch.Events))
	for _, e := range batch.Events {
		position.sequence = max(position.sequence, e.Sequence)
		events = append(events, placement.CacheEvent{
			Sequence: e.Sequence,
			Evicted:  e.Kind == CacheEvicted,
			Prefix:   placement.Prefix{Digest: string(e.Prefix.Digest), Tokens: e.Prefix.Tokens},
		})
	}
	p.positions[endpoint.ID] = position
	p.Prefixes.Observe(endpoint.ID, batch.Incarnation, events)
}

// PlacementPrefixes returns the cacheable prefixes of a prompt with the digests that cache events use, shortest first.
func PlacementPrefixes(prompt string) []placement.Prefix {
	prefixes := Prefixes(prompt)
	converted := make([]placement.Prefix, len(prefixes))
	for i, p := range prefixes {
		converted[i] = placement.Prefix{Digest: string(p.Digest), Tokens: p.Tokens}
	}
	return converted
}
