// Package fleet defines the basic types of the system: entries (the instances that serve callers), endpoints, accounts,
// pools, requests and attempts.
package fleet

import (
	"net/netip"
	"time"
)

// EntryID identifies an entry instance.
type EntryID string

// EndpointID identifies an endpoint: a model engine or a plain service.
type EndpointID string

// Zone is the name of an availability zone.
type Zone string

// AccountID identifies a client account.
type AccountID string

// ClassName is the name of a request class from the operators' configuration.
type ClassName string

// PoolName is the name of a set of endpoints that serve the same model or plain service.
type PoolName string

// RequestID identifies an admitted request of a caller.
type RequestID string

// AttemptID identifies one attempt of a request on one endpoint.
type AttemptID string

// Incarnation numbers the successive runs of one process; a larger number is a later run.
type Incarnation uint64

// Fence is a fencing token. A message with a smaller token than one seen before is stale and refused by endpoints that
// check it.
type Fence uint64

// Tokens is a number of prompt, generated or KV cache tokens.
type Tokens int64

// PromptPart identifies a part of a prompt, which other prompts may share.
type PromptPart string

// Kind is the kind of an endpoint.
type Kind string

// The kinds of endpoints.
const (
	// KindEngine is a model engine.
	KindEngine Kind = "engine"
	// KindService is a plain service.
	KindService Kind = "service"
)

// State specifies whether an instance accepts new work.
type State string

// The states of an instance in the instance list.
const (
	// StateLive instances accept new work.
	StateLive State = "live"
	// StateLeaving instances accept no new work and finish what they run.
	StateLeaving State = "leaving"
)

// Endpoint describes one endpoint as listed in the instance list.
type Endpoint struct {
	// ID identifies the endpoint.
	ID EndpointID
	// Kind is the kind of the endpoint, or "" if the instance list does not specify it: the pool's Engine in package
	// routing then distinguishes model engines from plain services.
	Kind Kind
	// Pool is the name of the model or plain service that the endpoint serves.
	Pool PoolName
	// Zone is the availability zone of the endpoint.
	Zone Zone
	// Address is where the endpoint listens.
	Address netip.AddrPort
	// State specifies whether the endpoint accepts new work.
	State State
	// Memory is the KV cache memory of an engine, in tokens. It is 0 for a plain service, and if the instance list does
	// not specify it: the performance model of the pool's engines then does.
	Memory Tokens
	// Slots is the number of requests that the endpoint can run concurrently, or 0 if unknown.
	Slots int
	// Incarnation is the endpoint's incarnation in the instance list, or 0.
	Incarnation Incarnation
	// ColdUntil is when the endpoint's cold start ends according to the instance list.
	ColdUntil time.Time
	// ChecksFence reports whether the endpoint refuses stale fencing tokens.
	ChecksFence bool
}

// Region names a region, which has one or more availability zones. Requests don't leave their region.
type Region string

// Entry describes one entry instance.
type Entry struct {
	// ID identifies the entry.
	ID EntryID
	// Zone is the availability zone of the entry.
	Zone Zone
	// Region is the region of the zone, or "" if unknown.
	Region Region
	// Address is where the entry listens for other entries.
	Address netip.AddrPort
	// Incarnation is the incarnation of the entry's process.
	Incarnation Incarnation
	// State specifies whether the entry accepts new work.
	State State
	// CPUCores is the number of CPU cores available to the entry, which may be a fraction, or 0 if unknown.
	CPUCores float64
	// LastSeenAt is when the entry was last known to be alive.
	LastSeenAt time.Time
}

// Load is the latest load reported by an endpoint or its owner.
type Load struct {
	// Incarnation is the incarnation of the endpoint.
	Incarnation Incarnation
	// Running is the number of running attempts.
	Running int
	// Waiting is the number of waiting attempts.
	Waiting int
	// UsedMemory is the KV cache memory in use, in tokens.
	UsedMemory Tokens
	// TotalMemory is the total KV cache memory, in tokens.
	TotalMemory Tokens
	// MeasuredAt is when the load was measured.
	MeasuredAt time.Time
}
