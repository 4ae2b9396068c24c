package gateway

import (
	"time"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/io/tcp"
	"wisteriadyke/platform/endpointclient"
)

const (
	// bodyMemoryShare is the share of the setting Memory for the bodies of answers that are not streams.
	bodyMemoryShare = 0.1
	// probeTimeout bounds the opening of a connection that probes whether an endpoint is reachable, and how long bytes
	// sent on it may remain unacknowledged.
	probeTimeout = 300 * time.Millisecond
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
		Notices: &endpointNotices{
			endpoints: p.endpoints, outliers: p.outliers, limits: p.limits, metrics: p.metrics, log: p.Log,
		},
		BodyMemory: semaphore.NewWeighted(p.memoryShare(bodyMemoryShare)),
	}
}
