// Package fleet names the things that the system serves and is made of.
package fleet

import (
	"net/netip"
	"time"
)

// EntryID names one entry instance of the system.
type EntryID string

// EndpointID names one endpoint: a model engine or a plain service.
type EndpointID string

// Zone names an availability zone.
type Zone string

// AccountID names a client account.
type AccountID string

// ClassName names a request class of the operators' declarations.
type ClassName string

// PoolName names a set of endpoints that serve the same model or plain service.
type PoolName string

// RequestID names one admitted request of a caller.
type RequestID string

// AttemptID names one try of a request on one endpoint.
type AttemptID string

// Incarnation numbers the lives of one process; a larger one is later.
type Incarnation uint64

// Fence is a fencing number; an order with a smaller one than seen before is stale.
type Fence uint64

// Tokens counts prompt, generated or KV cache tokens.
type Tokens int64

// Kind tells model engines from plain services.
type Kind string

// The kinds of endpoints.
const (
	// KindEngine is a model engine.
	KindEngine Kind = "engine"
	// KindService is a plain service.
	KindService Kind = "service"
)

// State tells whether an instance takes new work.
type State string

// The states of an instance in the instance list.
const (
	// StateLive instances take new work.
	StateLive State = "live"
	// StateLeaving instances finish what they run.
	StateLeaving State = "leaving"
)

// Endpoint is what the instance list tells of one endpoint.
type Endpoint struct {
	// ID names the endpoint.
	ID EndpointID
	// Kind tells what the endpoint serves.
	Kind Kind
	// Pool names the model or plain service that it serves.
	Pool PoolName
	// Zone is its availability zone.
	Zone Zone
	// Address is where it listens.
	Address netip.AddrPort
	// State tells whether it takes new work.
	State State
	// Memory is the KV cache memory of an engine in tokens.
	Memory Tokens
	// Slots is the number of requests that it runs at once, or 0 if that is not known.
	Slots int
	// Incarnation is its life as the instance list knows it, or 0.
	Incarnation Incarnation
	// ColdUntil is when its cold start is over, as far as the instance list knows.
	ColdUntil time.Time
	// ChecksFence tells whether the endpoint refuses stale fencing numbers.
	ChecksFence bool
}

// Entry is what is known of one entry instance.
type Entry struct {
	// ID names the entry.
	ID EntryID
	// Zone is its availability zone.
	Zone Zone
	// Address is where it answers other entries.
	Address netip.AddrPort
	// Incarnation numbers its life.
	Incarnation Incarnation
	// State tells whether it takes new work.
	State State
	// CPUShare is its share of a processor core, or 0 if that is not known.
	CPUShare float64
	// LastSeenAt is when it was last known to be alive.
	LastSeenAt time.Time
}

// Load is what an endpoint or its owner last told of its load.
type Load struct {
	// Incarnation is the life of the endpoint.
	Incarnation Incarnation
	// Running counts the attempts that run.
	Running int
	// Waiting counts the attempts that wait.
	Waiting int
	// Used is the memory in use.
	Used Tokens
	// Capacity is the whole memory.
	Capacity Tokens
	// MeasuredAt is when the figures were true.
	MeasuredAt time.Time
}
