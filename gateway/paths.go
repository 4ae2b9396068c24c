package gateway

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/sharedload"
)

// Names of gauges about paths from this entry's zone.
const (
	// metricLostPaths is the number of endpoints that are lost, and metricSuspectPaths that of endpoints that are suspect.
	metricLostPaths    = "paths.lost"
	metricSuspectPaths = "paths.suspect"
	// metricSparedRequests is the number of requests that this entry as a chooser placed elsewhere because of a lost path.
	metricSparedRequests = "paths.spared_requests"
)

// buildOutlierDetection creates the components that record which endpoints fail or are unreachable.
func (p *Process) buildOutlierDetection() {
	p.outliers = &outlier.Detector{}
	p.reach = &outlier.Reach{State: p.state, Detector: p.outliers, Died: p.hasDied, Log: p.Log}
	p.paths = &outlier.PathTable{
		Self: p.self(), State: p.state, Contended: p.isContended, CutOff: p.reach.CutOff, Log: p.Log,
	}
}

// hasDied reports whether an incarnation of an endpoint is known to have ended while a request ran there.
func (p *Process) hasDied(endpoint fleet.Endpoint) bool {
	return p.suspects.Died(retry.Death{Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation})
}

// prober returns the component that probes endpoints.
func (p *Process) prober() *outlier.Prober {
	return &outlier.Prober{
		State: p.state, Detector: p.outliers, Connect: p.endpointClient.Connect, Reach: p.reach, Paths: p.paths,
	}
}

// registerPathGauges registers the gauges about paths.
func (p *Process) registerPathGauges() {
	p.registerGauge(metricLostPaths, func() int64 {
		lost, _ := p.paths.Counts(time.Now())
		return int64(lost)
	})
	p.registerGauge(metricSuspectPaths, func() int64 {
		_, suspect := p.paths.Counts(time.Now())
		return int64(suspect)
	})
	p.registerGauge(metricSparedRequests, p.choosers.Chooser.SparedRequests)
}

// isContended reports whether a pool is contended.
func (p *Process) isContended(name fleet.PoolName) bool {
	pool, found := p.pool(name)
	return found && pool.Contended
}

// usageTable returns an empty table of the usage of all entries.
func (p *Process) usageTable() *sharedload.UsageTable {
	return &sharedload.UsageTable{
		Held: &sharedload.HeldUsage{Own: p.Settings.Zone, Time: p.heldTime, Zone: p.zoneOf},
	}
}

// heldTime returns how long attempts at an endpoint of a contended pool count after their entries fell silent, or 0 for
// other endpoints.
func (p *Process) heldTime(id fleet.EndpointID) time.Duration {
	endpoint, _ := p.state.Endpoints.Get(id)
	if pool, found := p.pool(endpoint.Pool); found && pool.Contended {
		return pool.Engine.AnswerTime()
	}
	return 0
}

// zoneOf returns the zone of an entry; it reports false if the entry is not listed.
func (p *Process) zoneOf(id fleet.EntryID) (fleet.Zone, bool) {
	entry, found := p.state.Entries.Get(id)
	return entry.Zone, found
}
