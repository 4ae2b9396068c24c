// Package config holds what operators declare: client accounts, request classes and their bounds.
package config

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Account is a declared client account.
type Account struct {
	// Name names the account.
	Name fleet.AccountID
	// Weight is its share relative to other accounts; it is positive.
	Weight float64
	// KeyDigest is the SHA-256 digest of its key in hexadecimal.
	KeyDigest string
}

// Class is a declared request class.
type Class struct {
	// Name names the class.
	Name fleet.ClassName
	// Pool names the endpoints that serve it.
	Pool fleet.PoolName
	// Kind tells what kind of endpoints these are.
	Kind fleet.Kind
	// Operation names what a plain service is asked to do; "" stands for the name of the class.
	Operation string
	// Priority orders the requests of one account; larger goes first.
	Priority int
	// StartTimeout bounds the time to the first token, or to the start of a call.
	StartTimeout time.Duration
	// FinishTimeout bounds the time to the whole answer.
	FinishTimeout time.Duration
	// AtMostOnce marks calls that may not be repeated.
	AtMostOnce bool
	// MaxPrompt bounds the prompt.
	MaxPrompt fleet.Tokens
	// MaxOutput bounds the answer.
	MaxOutput fleet.Tokens
}

// Configuration is everything declared, at one revision.
type Configuration struct {
	// Revision grows with every accepted change.
	Revision uint64
	// Accounts holds the client accounts by name.
	Accounts map[fleet.AccountID]Account
	// Classes holds the request classes by name.
	Classes map[fleet.ClassName]Class
}

// ZoneState tells whether an availability zone takes new work.
type ZoneState struct {
	// Zone is the availability zone.
	Zone fleet.Zone
	// Revision grows with every change of this zone.
	Revision uint64
	// Drained means that operators have taken the zone out of service.
	Drained bool
	// ChangedAt is when the change was accepted.
	ChangedAt time.Time
}
