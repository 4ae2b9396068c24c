package sharedload

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

const (
	// easyShare is the part of a pause objective up to which a pause surely is no trouble; predictions are that exact.
	easyShare = 0.6
	// overfullWait is what each attempt beyond an endpoint's slots adds to the wait, about the time until a slot is free.
	overfullWait = 150 * time.Millisecond
	// valueTokens is the length of a prompt that is worth as much to its caller as one quick answer, by what the users'
	// sheets pay for each kind of request.
	valueTokens = 9000
	// maxValue bounds the worth of a long prompt, as the users' sheets do.
	maxValue = 60
	// lateLoss is the part of a request's worth that is lost when it misses an objective, by the users' sheets.
	lateLoss = 0.75
	// defaultPause is the pause objective that is taken for pools whose routes name none.
	defaultPause = 250 * time.Millisecond
)

// state is one endpoint with what runs there.
type state struct {
	endpoint fleet.Endpoint
	usage    Usage
	// rank numbers the endpoints of a pool in a fixed order, and rankCost is what that costs a quick request.
	rank     int
	rankCost time.Duration
	// doubted tells that the endpoint has lately failed another entry.
	doubted bool
}

// pass returns the time of one pass of the endpoint's engine without reading.
func (s *state) pass(pool routing.Pool) time.Duration {
	writers := s.usage.Running
	if s.endpoint.Slots > 0 {
		writers = min(writers, s.endpoint.Slots)
	}
	return pool.Engine.PassTime(writers, s.usage.Memory)
}

// wait returns the time until an attempt that comes now begins to be read.
func (s *state) wait(pool routing.Pool) time.Duration {
	wait := s.usage.PrefillTime + s.pass(pool)/2
	if over := s.usage.Running - s.endpoint.Slots; s.endpoint.Slots > 0 && over >= 0 {
		wait += time.Duration(over+1) * overfullWait
	}
	return wait
}

// harm returns the worth of the attempts at the endpoint that are made late by more reading there; those that the
// present reading makes late already don't count.
func (s *state) harm(pool routing.Pool, more time.Duration) float64 {
	pause := s.usage.PrefillTime + s.pass(pool)
	return s.usage.ValueByPause.harm(pauseObjective(pool), pause, pause+more)
}

// free returns the memory that is not promised.
func (s *state) free(pool routing.Pool) fleet.Tokens {
	return pool.Engine.Memory - s.usage.Memory
}

// pauseObjective returns the shortest pause objective of a pool's routes.
func pauseObjective(pool routing.Pool) time.Duration {
	if pool.PauseObjective <= 0 {
		return defaultPause
	}
	return pool.PauseObjective
}

// lateChance returns the chance that something predicted to take some time misses its objective.
func lateChance(predicted, objective time.Duration) float64 {
	easy := time.Duration(float64(objective) * easyShare)
	switch {
	case predicted <= easy:
		return 0
	case predicted >= objective:
		return 1
	default:
		return float64(predicted-easy) / float64(objective-easy)
	}
}

// value returns what a request is worth to its caller, relative to a quick one.
func value(prompt fleet.Tokens) float64 {
	return min(max(1, float64(prompt)/valueTokens), maxValue)
}
