package sharedload

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

const (
	// safeShare is the share of an objective up to which a predicted time is never late; it covers the prediction
	// error.
	safeShare = 0.6
	// overloadWait is added to the wait for each attempt beyond an endpoint's slots; a slot becomes free about as
	// often.
	overloadWait = 150 * time.Millisecond
	// tokensPerValue is the number of prompt tokens whose value equals that of one quick answer, after the payments for
	// each kind of request in the users' requirement sheets.
	tokensPerValue = 9000
	// maxValue bounds the value of a long prompt, as in the users' requirement sheets.
	maxValue = 60
	// lateLoss is the share of a request's value that is lost when it misses an objective, as in the users' requirement
	// sheets.
	lateLoss = 0.75
	// defaultPauseObjective applies to pools whose routes have no pause objective.
	defaultPauseObjective = 250 * time.Millisecond
)

// endpointState is an endpoint with its current usage.
type endpointState struct {
	endpoint fleet.Endpoint
	usage    Usage
	// rank is the position of the endpoint in the fixed order of its pool; rankCost is its cost for a quick request.
	rank     int
	rankCost time.Duration
	// recentlyFailed reports whether the endpoint recently failed another entry.
	recentlyFailed bool
}

// passTime returns the duration of one generation pass of the endpoint's engine without prefill.
func (s *endpointState) passTime(pool routing.Pool) time.Duration {
	streams := s.usage.Running
	if s.endpoint.Slots > 0 {
		streams = min(streams, s.endpoint.Slots)
	}
	return pool.Engine.PassTime(streams, s.usage.Memory)
}

// prefillWait returns the time until the prefill of an attempt that arrives now starts.
func (s *endpointState) prefillWait(pool routing.Pool) time.Duration {
	wait := s.usage.PrefillTime + s.passTime(pool)/2
	if excess := s.usage.Running - s.endpoint.Slots; s.endpoint.Slots > 0 && excess >= 0 {
		wait += time.Duration(excess+1) * overloadWait
	}
	return wait
}

// lateValue returns the value of the endpoint's running attempts that added prefill makes late; it leaves out those
// that the outstanding prefill already makes late.
func (s *endpointState) lateValue(pool routing.Pool, added time.Duration) float64 {
	pause := s.usage.PrefillTime + s.passTime(pool)
	return s.usage.ValueByPause.lateValue(pauseObjective(pool), pause, pause+added)
}

// freeMemory returns the memory that is not reserved, in tokens.
func (s *endpointState) freeMemory(pool routing.Pool) fleet.Tokens {
	return pool.Engine.Memory - s.usage.Memory
}

// pauseObjective returns the shortest pause objective of the pool's routes.
func pauseObjective(pool routing.Pool) time.Duration {
	if pool.PauseObjective <= 0 {
		return defaultPauseObjective
	}
	return pool.PauseObjective
}

// lateProbability returns the probability that a predicted time misses its objective.
func lateProbability(predicted, objective time.Duration) float64 {
	safe := time.Duration(float64(objective) * safeShare)
	switch {
	case predicted <= safe:
		return 0
	case predicted >= objective:
		return 1
	default:
		return float64(predicted-safe) / float64(objective-safe)
	}
}

// requestValue returns the value of a request relative to a quick one.
func requestValue(prompt fleet.Tokens) float64 {
	return min(max(1, float64(prompt)/tokensPerValue), maxValue)
}
