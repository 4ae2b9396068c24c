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

// startProbes starts the probes that are due. A failed probe starts or extends the back-off of the endpoint; a
// successful one changes nothing.
func (p *Prober) startProbes(ctx context.Context, group *errgroup.Group, now time.Time) {
	zones := p.Detector.takeUnreachableZones()
	listed := p.State.Endpoints.Snapshot().Rows
	p.Detector.dropUnlisted(listed, now)
	for _, endpoint := range listed {
		if !zones[endpoint.Zone] && !p.Detector.probeDue(endpoint, now) || !p.startProbe(endpoint.ID) {
			continue
		}
		group.Go(func() error {
			defer p.endProbe(endpoint.ID)
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if err := p.Connect(ctx, endpoint); err != nil && ctx.Err() != context.Canceled {
				p.Detector.extendBackoff(endpoint, time.Now())
			}
			return nil
		})
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
