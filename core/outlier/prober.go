package outlier

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

const (
	// probePeriod is the interval at which due probes are started.
	probePeriod = 100 * time.Millisecond
	// probeLead is how long before the end of its back-off an endpoint is probed: probeTimeout and two probe periods.
	probeLead = 500 * time.Millisecond
	// probeTimeout bounds a probe; connecting normally takes a few milliseconds.
	probeTimeout = 300 * time.Millisecond
)

// Prober connects to endpoints whose back-off is about to end, and to all endpoints of a zone once one of them is
// unreachable, so that requests don't run into the unreachable ones first. Its fields must be set before Run is called.
type Prober struct {
	// State holds the listed endpoints.
	State *clusterstate.State
	// Detector records which endpoints failed.
	Detector *Detector
	// Connect opens and closes a connection to an endpoint, and returns an error if it cannot be opened.
	Connect func(ctx context.Context, endpoint fleet.Endpoint) error
	// Reach is updated before each round of probes; nil disables that.
	Reach *Reach
	// Paths holds the paths that entries of this zone lost; nil disables their probes.
	Paths *PathTable

	mu      sync.Mutex
	probing map[fleet.EndpointID]bool
}

// Run probes until ctx ends; it returns no error.
func (p *Prober) Run(ctx context.Context) error {
	var group errgroup.Group
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
		if p.Reach != nil {
			p.Reach.update(time.Now())
		}
		p.startProbes(ctx, &group, time.Now())
	}
}

// startProbes starts the probes that are due.
func (p *Prober) startProbes(ctx context.Context, group *errgroup.Group, now time.Time) {
	zones := p.Detector.takeUnreachableZones()
	requested := p.Detector.takeRequestedProbes()
	listed := p.State.Endpoints.Snapshot().Rows
	p.Detector.dropUnlisted(listed, now)
	if p.Paths != nil {
		p.Paths.dropExpired(now)
	}
	// The probes of this round must not change which others are due.
	reachesNothing := p.Paths != nil && len(zones) > 0 && p.Paths.reachesNothing(now)
	for _, endpoint := range listed {
		due := requested[endpoint.ID] || p.probeDue(endpoint, zones[endpoint.Zone], reachesNothing, now)
		if !due || !p.startProbe(endpoint.ID) {
			continue
		}
		group.Go(func() error {
			defer p.endProbe(endpoint.ID)
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			err := p.Connect(ctx, endpoint)
			if err != nil && ctx.Err() == context.Canceled {
				return nil
			}
			p.recordProbe(endpoint, err == nil, requested[endpoint.ID], time.Now())
			return nil
		})
	}
}

// probeDue reports whether this entry should probe an endpoint; zoneUnreachable reports whether an endpoint of its zone was
// unreachable since the last round, reachesNothing whether this entry reaches no endpoint of a contended pool. In a contended pool, the entries share the probes of lost and suspect endpoints, and
// an unreachable endpoint makes this entry probe its zone only if this entry may itself be cut off.
//
// Load pattern: a zone restarts cold or is partitioned. If each entry probed each endpoint, the probes would grow with
// entries times endpoints and delay requests at entries that are short of processor time.
func (p *Prober) probeDue(endpoint fleet.Endpoint, zoneUnreachable, reachesNothing bool, now time.Time) bool {
	if p.Paths == nil || !p.Paths.Contended(endpoint.Pool) {
		return zoneUnreachable || p.Detector.probeDue(endpoint, now)
	}
	return p.Paths.probeDue(endpoint, p.Detector.Unreachable(endpoint, now), now) ||
		zoneUnreachable && reachesNothing ||
		p.Detector.probeDue(endpoint, now) && !p.Paths.avoided(endpoint, now)
}

// recordProbe records the result of a probe. A failed probe starts or extends the back-off of the endpoint; one that was
// requested after a connect timeout counts as a request that could not connect. A successful
// one ends it in a contended pool, where few endpoints have capacity to spare; in other pools it changes nothing.
func (p *Prober) recordProbe(endpoint fleet.Endpoint, reached, requested bool, now time.Time) {
	if !reached {
		if requested {
			p.Detector.RecordUnreachable(endpoint, now)
		} else {
			p.Detector.extendBackoff(endpoint, now)
		}
		if p.Paths != nil {
			p.Paths.RecordLost(endpoint, now)
		}
		return
	}
	if p.Paths != nil && p.Paths.Contended(endpoint.Pool) {
		p.Detector.RecordReachable(endpoint)
		p.Paths.RecordReached(endpoint, now)
	}
}

// startProbe marks an endpoint as being probed; it reports false if it is already.
func (p *Prober) startProbe(id fleet.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing[id] {
		return false
	}
	if p.probing == nil {
		p.probing = make(map[fleet.EndpointID]bool)
	}
	p.probing[id] = true
	return true
}

// endProbe marks an endpoint as no longer being probed.
func (p *Prober) endProbe(id fleet.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probing, id)
}
