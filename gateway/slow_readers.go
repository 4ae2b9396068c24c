package gateway

import (
	"slices"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/platform/ingress"
	"wisteriadyke/platform/wire"
)

// callerMemoryShare is the share of the setting Memory for the parts of answers that wait for slow callers.
const callerMemoryShare = 0.1

// limitsSlowReaders reports whether what the entry buffers for slow callers and endpoints is bounded.
func (p *Process) limitsSlowReaders() bool {
	return slices.Contains(p.Settings.Contracts, wire.ContractSlowReaders)
}

// generator returns the dispatcher, behind bounded buffers for callers where slow readers are limited.
func (p *Process) generator() ingress.Generator {
	dispatcher := p.dispatcher()
	if !p.limitsSlowReaders() {
		return dispatcher
	}
	buffers := &dispatch.BufferedGenerator{
		Next: dispatcher, Memory: semaphore.NewWeighted(p.memoryShare(callerMemoryShare)), Metrics: p.metrics, Log: p.Log,
	}
	p.registerGauge(metricCallerBuffers, buffers.Buffered)
	return buffers
}
