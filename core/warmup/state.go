// Package warmup estimates what an endpoint can bear: it recognises a cold start and raises the limit with evidence.
package warmup

import (
	"time"

	"wisteriadyke/core/fleet"
)

// State is what an owner knows of the warmth of an endpoint; it is handed to the next owner.
type State struct {
	// Incarnation is the life of the endpoint that the state describes.
	Incarnation fleet.Incarnation
	// Cold tells whether the endpoint is limited.
	Cold bool
	// Since is when it turned cold.
	Since time.Time
	// Attempts is the number of attempts at once that it bears while cold.
	Attempts int
	// Tokens is the memory in use that it bears while cold.
	Tokens fleet.Tokens
	// Pace is the pace that it has when warm.
	Pace Pace
}

// Pace is how fast an endpoint works.
type Pace struct {
	// Prefill is the prompt tokens read a second, shared by all attempts.
	Prefill float64
	// Decode is the tokens generated a second by one stream alone.
	Decode float64
	// Batch is the number of further streams that halves the decode pace of each.
	Batch float64
}
