package gateway

import (
	"time"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/tcp"
	"wisteriadyke/platform/endpointclient"
)

const (
	// bodyMemoryShare is the share of the setting Memory for the bodies of answers that are not streams.
	bodyMemoryShare = 0.1
	// probeTimeout bounds the opening of a connection that probes whether an endpoint is reachable, and how long bytes
	// sent on it may remain unacknowledged.
	probeTimeout = 300 * time.Millisecond
	// bytesPerToken is the usual length of a token of text.
	bytesPerToken = 4
	// maxServiceUpload is the most bytes of request bodies that are on their way to an endpoint that publishes no memory. Calls
	// to plain services have some kilobytes, so that it is beyond what an endpoint that reads ever has outstanding.
	maxServiceUpload = 1 << 20
)

// buildEndpointClient creates the client that runs attempts on endpoints.
func (p *Process) buildEndpointClient() {
	dial, dialProbe := p.DialEndpoint, p.DialEndpoint
	if dial == nil {
		dial = endpointclient.Dial
		if p.limitsSlowReaders() {
			dial = endpointclient.DialBounded
		}
		dialProbe = (&tcp.Dialer{Timeout: probeTimeout, AckTimeout: probeTimeout}).DialContext
	}
	p.endpointClient = &endpointclient.Client{
		PooledHTTP:   endpointclient.NewPooledHTTPClient(dial),
		UnpooledHTTP: endpointclient.NewUnpooledHTTPClient(dial),
		Dial:         dialProbe,
		StillServes:  p.stillServes,
		Notices: &endpointNotices{
			endpoints: p.endpoints, outliers: p.outliers, limits: p.limits, metrics: p.metrics, log: p.Log,
		},
		BodyMemory: semaphore.NewWeighted(p.memoryShare(bodyMemoryShare)),
	}
	if p.limitsSlowReaders() {
		p.endpointClient.Uploads = &endpointclient.Uploads{MaxBytes: p.maxUpload}
	}
}

// stillServes reports whether an incarnation of an endpoint is listed as live and its zone is not drained.
func (p *Process) stillServes(endpoint fleet.Endpoint) bool {
	listed, found := p.state.Endpoints.Get(endpoint.ID)
	zone, _ := p.state.Zones.Get(endpoint.Zone)
	return found && listed.State == fleet.StateLive && listed.Incarnation == endpoint.Incarnation && !zone.Drained
}

// maxUpload returns the most bytes of request bodies that may be on their way to an endpoint: what its published memory
// holds, else maxServiceUpload.
func (p *Process) maxUpload(endpoint fleet.Endpoint) int64 {
	if pool, found := p.pool(endpoint.Pool); found && pool.Engine != nil && pool.Engine.Memory > 0 {
		return int64(pool.Engine.Memory) * bytesPerToken
	}
	return maxServiceUpload
}
