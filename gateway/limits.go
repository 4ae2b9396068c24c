package gateway

import (
	"golang.org/x/sync/semaphore"

	"wisteriadyke/io/boundedbody"
)

const (
	// requestMemoryShare is the share of the setting Memory for the bodies of callers' requests, from their arrival to their
	// end: 36 MB on the smallest instance, a few prompts of a megabyte beside the usual ones of some kilobytes.
	requestMemoryShare = 0.2
	// headMemoryShare is the share of the setting Memory for long heads of callers' requests.
	headMemoryShare = 0.05
	// memoryPerCaller is the part of the setting Memory, in bytes, for which one connection of a caller is accepted. A small
	// part of it is used, for stacks, buffers, a usual head, and the receive buffer of the kernel.
	memoryPerCaller = 384 << 10
	// reservedFDs is the part of the setting MaxFDs that the platform reserves for files.
	reservedFDs = 200
	// callerShare is the share of the other file descriptors for connections of callers. Each running request has another
	// one to its endpoint.
	callerShare = 0.3
	// peerShare is the share for connections of other entries, and memoryPerPeer the part of the setting Memory, in bytes,
	// for which one is accepted.
	peerShare     = 0.25
	memoryPerPeer = 256 << 10
)

// limitCallers bounds what the connections of callers hold.
func (p *Process) limitCallers() {
	p.ingress.MaxConns = min(p.connections(callerShare), p.Settings.Memory<<20/memoryPerCaller)
	p.ingress.HeadMemory = semaphore.NewWeighted(p.memoryShare(headMemoryShare))
	p.ingress.Bodies = boundedbody.NewPool(p.memoryShare(requestMemoryShare))
	p.registerGauge(metricBodies, p.ingress.Bodies.Held)
}

// maxPeerConns returns the maximum number of connections of other entries.
func (p *Process) maxPeerConns() int {
	return min(p.connections(peerShare), p.Settings.Memory<<20/memoryPerPeer)
}

// connections returns a share of the file descriptors that are not reserved for files.
func (p *Process) connections(share float64) int {
	return int(float64(p.Settings.MaxFDs-reservedFDs) * share)
}
