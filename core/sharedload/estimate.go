package sharedload

import (
	"time"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/enginemodel"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

const (
	// overloadWait is added to the wait once for each attempt beyond an endpoint's slots, including the arriving one; a
	// slot becomes free about once in that time.
	overloadWait = 150 * time.Millisecond
	// tokensPerQuickValue is the number of prompt tokens whose value equals that of one quick request, the unit of
	// value. It follows the payments for each kind of request in the users' requirements: a request is worth its prompt
	// tokens divided by tokensPerQuickValue, but at least 1 and at most maxValue.
	tokensPerQuickValue = 9000
	// maxValue bounds the value of a long prompt, in quick requests, as in the users' requirements.
	maxValue = 60
	// lateLoss is the share of a request's value that is lost when it misses an objective, as in the users'
	// requirements: a late request counts a quarter of its value.
	lateLoss = 0.75
	// rankDiscount is the discount of the value for each rank, so that of two requests of equal work the one of the more
	// important route goes first.
	rankDiscount = 0.25
	// defaultPauseObjective applies to pools whose routes have no pause objective.
	defaultPauseObjective = 250 * time.Millisecond
)

// endpointState is an endpoint with its current usage.
type endpointState struct {
	endpoint fleet.Endpoint
	usage    Usage
	// prefill is the prefill that is not finished.
	prefill outstandingPrefill
	// pace is what is known about the pace of the endpoint; the zero value stands for the published times.
	pace cost.Estimate
	// rank is the position of the endpoint among the usable ones of its pool, in the order that all entries agree on;
	// rankCost is the cost of that rank for a quick request.
	rank     int
	rankCost time.Duration
	// recentlyExcluded reports whether another entry recently excluded the endpoint; see UsageTable.RecordExclusions.
	recentlyExcluded bool
	// limited reports whether the endpoint states a limit.
	limited bool
	// lost and suspect report whether the endpoint is lost or suspect for the entry that sends the request; see
	// outlier.PathTable.
	lost, suspect bool
	// replacesLost reports whether an endpoint that is lost came before all others.
	replacesLost bool
}

// passTime returns the duration of one pass of the endpoint's engine without prefill.
func (s *endpointState) passTime(pool routing.Pool) time.Duration {
	streams := s.usage.Running
	if s.endpoint.Slots > 0 {
		streams = min(streams, s.endpoint.Slots)
	}
	return s.atPace(pool.Engine.PassTime(streams, s.usage.Memory))
}

// atPace returns how long the endpoint takes for what takes a published time.
func (s *endpointState) atPace(published time.Duration) time.Duration {
	if s.pace.Pace <= 1 {
		return published
	}
	return time.Duration(float64(published) * s.pace.Pace)
}

// slow reports whether the endpoint is known to take longer than published.
func (s *endpointState) slow() bool {
	return s.pace.Pace > 1
}

// prefillWait returns the time until the prefill of an attempt that arrives now starts.
func (s *endpointState) prefillWait(pool routing.Pool) time.Duration {
	wait := s.prefill.wait
	if excess := s.usage.Running - s.endpoint.Slots; s.endpoint.Slots > 0 && excess >= 0 {
		wait += s.atPace(time.Duration(excess+1) * slotWait(pool))
	}
	return wait
}

// slotWait returns the time after which a slot of a full endpoint usually becomes free.
func slotWait(pool routing.Pool) time.Duration {
	if pool.Contended {
		return pool.Engine.SlotInterval()
	}
	return overloadWait
}

// lateValue returns the expected value, in quick requests, of the endpoint's running attempts that miss their pause
// objectives because of added prefill time. It excludes the value that the outstanding prefill already makes late.
func (s *endpointState) lateValue(pool routing.Pool, added time.Duration) float64 {
	pause := s.prefill.shared + s.passTime(pool)
	return s.usage.ValueByPause.lateValue(pauseObjective(pool), pause, pause+added)
}

// freeMemory returns the memory that is not reserved, in tokens.
func (s *endpointState) freeMemory(pool routing.Pool) fleet.Tokens {
	return pool.Engine.Memory - s.usage.Memory
}

// pauseObjective returns the shortest pause objective of the pool's routes, or defaultPauseObjective if they have none.
func pauseObjective(pool routing.Pool) time.Duration {
	if pool.PauseObjective <= 0 {
		return defaultPauseObjective
	}
	return pool.PauseObjective
}

// lateProbability returns the probability that a predicted time misses its objective.
func lateProbability(predicted, objective time.Duration) float64 {
	safe := time.Duration(float64(objective) * routing.SafeShare)
	switch {
	case predicted <= safe:
		return 0
	case predicted >= objective:
		return 1
	default:
		return float64(predicted-safe) / float64(objective-safe)
	}
}

// requestValue returns the value of a request by the length of its prompt, in quick requests.
func requestValue(prompt fleet.Tokens) float64 {
	return min(max(1, float64(prompt)/tokensPerQuickValue), maxValue)
}

// valueOf returns the value of a request, in mean requests of its pool if that is contended, else in quick requests. In a
// contended pool it is the time that the request takes of an engine over that of a request of the published mean lengths,
// so that no size is worth less than what it displaces, and it falls with the rank of the route. The objective counts by
// the probability to miss it.
func valueOf(pool routing.Pool, need placement.Need) float64 {
	if !pool.Contended {
		return requestValue(need.PromptTokens)
	}
	expected := need.ExpectedOutput
	if expected <= 0 {
		expected = pool.Engine.MeanOutput
	}
	mean := engineTime(pool.Engine, pool.Engine.MeanPrompt, pool.Engine.MeanOutput)
	size := float64(engineTime(pool.Engine, need.PromptTokens, expected)) / float64(max(1, mean))
	return size / (1 + rankDiscount*float64(max(0, need.Rank)))
}

// engineTime returns the time that a request takes of an engine: its prefill, and its share of the decode steps while all
// slots are taken.
func engineTime(model *enginemodel.Model, prompt, output fleet.Tokens) time.Duration {
	steps := float64(output) / float64(max(1, model.Stride))
	pass := model.PassTime(model.Slots, fleet.Tokens(model.Slots)*prompt)
	return model.PrefillTime(prompt) + time.Duration(steps*float64(pass)/float64(max(1, model.Slots)))
}

// lossIfLate returns the share of a request's value that is lost when it misses an objective. In a contended pool, it is
// the whole value.
func lossIfLate(pool routing.Pool) float64 {
	if pool.Contended {
		return 1
	}
	return lateLoss
}
