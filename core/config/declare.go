// Package config holds the operators' configuration: client accounts, request classes and zone states.
package config

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Account is a configured client account.
type Account struct {
	// Name is the account's ID, which is unique.
	Name fleet.AccountID
	// Weight is the account's share relative to other accounts; it is positive.
	Weight float64
	// KeyDigest is the SHA-256 digest of the account's key in hexadecimal.
	KeyDigest string
}

// Class is a configured request class.
type Class struct {
	// Name is the name of the class, which is unique.
	Name fleet.ClassName
	// Pool is the name of the pool of endpoints that serves the class.
	Pool fleet.PoolName
	// Kind is the kind of these endpoints.
	Kind fleet.Kind
	// Operation is the operation that a plain service is called with; "" means the name of the class.
	Operation string
	// Priority orders the requests of one account; the highest is served first.
	Priority int
	// StartTimeout bounds the time to the first token, or to the start of a call.
	StartTimeout time.Duration
	// FinishTimeout bounds the time to the complete answer.
	FinishTimeout time.Duration
	// AtMostOnce marks calls that must not be executed more than once.
	AtMostOnce bool
	// MaxPrompt bounds the length of the prompt.
	MaxPrompt fleet.Tokens
	// MaxOutput bounds the length of the answer.
	MaxOutput fleet.Tokens
}

// Configuration is the complete configuration at one revision.
type Configuration struct {
	// Revision increases with every accepted change.
	Revision uint64
	// Accounts holds the client accounts by name.
	Accounts map[fleet.AccountID]Account
	// Classes holds the request classes by name.
	Classes map[fleet.ClassName]Class
}

// ZoneState records whether an availability zone is in service.
type ZoneState struct {
	// Zone is the availability zone.
	Zone fleet.Zone
	// Revision increases with every change of this zone.
	Revision uint64
	// Drained reports whether operators have taken the zone out of service.
	Drained bool
	// ChangedAt is when the change was accepted.
	ChangedAt time.Time
}
