package gateway

import (
	"slices"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/platform/ingress"
	"wisteriadyke/platform/wire"
)

const (
	// callerMemoryShare is the share of the setting Memory for the parts of answers that wait for slow callers.
	callerMemoryShare = 0.1
	// requestMemoryShare is the share of the setting Memory for the bodies of callers' requests, from their arrival to their
	// end: 36 MB on the smallest instance, a few prompts of a megabyte beside the usual ones of some kilobytes.
	requestMemoryShare = 0.2
)

// limitsSlowReaders reports whether what the entry buffers for slow callers and endpoints is bounded.
func (p *Process) limitsSlowReaders() bool {
	return slices.Contains(p.Settings.Contracts, wire.ContractSlowReaders)
}

// limitSlowCallers bounds what callers hold that read or send slowly.
func (p *Process) limitSlowCallers() {
	if p.limitsSlowReaders() {
		p.ingress.LimitSlowCallers = true
		p.ingress.BodyMemory = semaphore.NewWeighted(p.memoryShare(requestMemoryShare))
	}
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
