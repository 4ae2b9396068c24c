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
	// probePeriod is the time between two looks at what is to be probed.
	probePeriod = 100 * time.Millisecond
	// probeLead is how long before the end of its pause an endpoint is probed: a probe and two looks.
	probeLead = 500 * time.Millisecond
	// probeTimeout bounds a probe; links take a few milliseconds.
	probeTimeout = 300 * time.Millisecond
)

// Prober connects to endpoints whose pause is about to end, and to all of a zone once one of its endpoints can't be
// reached, so that no request has to find out. Its fields are set before Run.
type Prober struct {
	// State holds the endpoints.
	State *clusterstate.State
	// Detector knows which endpoints failed.
	Detector *Detector
	// Connect opens and closes a connection to an endpoint.
	Connect func(ctx context.Context, endpoint fleet.Endpoint) error

	mu   sync.Mutex
	busy map[fleet.EndpointID]bool
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
		p.probe(ctx, &group, time.Now())
	}
}

// probe begins the probes that are due.
func (p *Prober) probe(ctx context.Context, group *errgroup.Group, now time.Time) {
	zones := p.Detector.takeAlarms()
	listed := p.State.Endpoints.Snapshot().Rows
	p.Detector.forgetGone(listed)
	for _, endpoint := range listed {
		if !zones[endpoint.Zone] && !p.Detector.due(endpoint, now) || !p.begin(endpoint.ID) {
			continue
		}
		group.Go(func() error {
			defer p.end(endpoint.ID)
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			if err := p.Connect(ctx, endpoint); err != nil && ctx.Err() != context.Canceled {
				p.Detector.extend(endpoint, time.Now())
			}
			return nil
		})
	}
}

// begin notes that an endpoint is being probed, unless it is already.
func (p *Prober) begin(id fleet.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[id] {
		return false
	}
	if p.busy == nil {
		p.busy = make(map[fleet.EndpointID]bool)
	}
	p.busy[id] = true
	return true
}

// end notes the end of a probe.
func (p *Prober) end(id fleet.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, id)
}
