package gateway

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
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
	p.reach = &outlier.Reach{State: p.state, Detector: p.outliers, Log: p.Log}
	p.paths = &outlier.PathTable{
		Self: p.self(), State: p.state, Contended: p.isContended, CutOff: p.reach.CutOff, Log: p.Log,
	}
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
