// Package warmup estimates the load that an endpoint can serve: it detects cold starts and raises the limit of a cold
// endpoint step by step.
package warmup

import (
	"time"

	"wisteriadyke/core/fleet"
)

// State is the warmth of an endpoint; an owner hands it over to the next one.
type State struct {
	// Incarnation is the incarnation of the endpoint that the state describes.
	Incarnation fleet.Incarnation
	// Cold reports whether the endpoint is limited.
	Cold bool
	// Since is when it turned cold.
	Since time.Time
	// Attempts is the limit of concurrent attempts while it is cold.
	Attempts int
	// Tokens is the limit of the memory in use while it is cold, in tokens.
	Tokens fleet.Tokens
	// Pace is its pace when warm.
	Pace Pace
}

// Pace is the processing speed of an endpoint.
type Pace struct {
	// Prefill is the number of prompt tokens prefilled per second, shared by all attempts.
	Prefill float64
	// Decode is the number of tokens generated per second by a single stream.
	Decode float64
	// Batch is the number of other streams that halves the decode pace of each.
	Batch float64
}
