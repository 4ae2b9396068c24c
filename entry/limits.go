package entry

import (
	"runtime/debug"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/io/boundedbody"
	"wisteriadyke/io/caller"
)

// Shares of the setting Memory.
const (
	// memoryLimitShare is the soft memory limit of the Go runtime.
	memoryLimitShare = 0.7
	// bodyMemoryShare is for the bodies of callers' requests with their copies, from their arrival to their end.
	bodyMemoryShare = 0.3
	// headMemoryShare is for long heads of callers' requests.
	headMemoryShare = 0.05
	// peerMemoryShare is for incomplete messages of other entries.
	peerMemoryShare = 0.1
)

const (
	// memoryPerCaller and memoryPerPeer are the parts of the setting Memory, in bytes, for which one connection of a caller or
	// of another entry is accepted. A small part is used: stacks, buffers, a usual head or message, and the receive buffer
	// of the kernel take 40 to 80 KB.
	memoryPerCaller = 384 << 10
	memoryPerPeer   = 256 << 10
	// reservedFDs is the part of the setting MaxFDs that is left to files, and callerShare and peerShare are the shares of the
	// others for connections of callers and of other entries. Each running request has another one to its endpoint.
	reservedFDs = 200
	callerShare = 0.3
	peerShare   = 0.25
)

// configureRuntime gives the Go runtime a soft memory limit.
func (p *Process) configureRuntime() {
	if p.Settings.Memory > 0 {
		debug.SetMemoryLimit(p.memoryShare(memoryLimitShare))
	}
}

// limitCallers bounds what the connections of callers hold.
func (p *Process) limitCallers(server *caller.Server) {
	server.MaxConns = p.maxConns(callerShare, memoryPerCaller)
	if p.Settings.Memory > 0 {
		server.HeadMemory = semaphore.NewWeighted(p.memoryShare(headMemoryShare))
		server.Bodies = boundedbody.NewPool(p.memoryShare(bodyMemoryShare))
	}
}

// memoryShare returns a share of the setting Memory in bytes.
func (p *Process) memoryShare(share float64) int64 {
	return int64(float64(p.Settings.Memory) * share * (1 << 20))
}

// maxConns returns the maximum number of connections of a kind: a share of the file descriptors, and at most one for each
// part of the memory, in bytes.
func (p *Process) maxConns(share float64, memory int) int {
	return min(int(float64(p.Settings.MaxFDs-reservedFDs)*share), p.Settings.Memory<<20/memory)
}
