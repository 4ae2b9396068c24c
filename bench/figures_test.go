package bench_test

import (
	"math"
	"slices"
	"time"
)

// quantile returns a quantile of durations in seconds, or NaN if there are none. It sorts the durations in place.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	index := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(0, index)].Seconds()
}

// firstTokenTimes returns the times to the first token of the requests that the filter keep selects.
func (s *simulation) firstTokenTimes(keep func(r *request) bool) []time.Duration {
	var times []time.Duration
	for _, r := range s.requests {
		if !r.firstTokenAt.IsZero() && keep(r) {
			times = append(times, r.firstTokenAt.Sub(r.arrivedAt))
		}
	}
	return times
}

// answerTimes returns the times to the whole answer of the requests that the filter keep selects.
func (s *simulation) answerTimes(keep func(r *request) bool) []time.Duration {
	var times []time.Duration
	for _, r := range s.requests {
		if r.state == stateDone && keep(r) {
			times = append(times, r.endedAt.Sub(r.arrivedAt))
		}
	}
	return times
}

// inBand returns a filter that selects the requests of a band.
func inBand(b band) func(r *request) bool {
	return func(r *request) bool { return r.arrival.tokens >= b.from && r.arrival.tokens < b.upTo }
}

// isShort reports whether the prompt of a request is short.
func isShort(r *request) bool {
	return r.arrival.tokens <= shortPrompt
}

// count returns the number of requests that the filter keep selects.
func (s *simulation) count(keep func(r *request) bool) int {
	count := 0
	for _, r := range s.requests {
		if keep(r) {
			count++
		}
	}
	return count
}

// allRequests is a filter that selects all requests.
func allRequests(*request) bool {
	return true
}

// failedOrLate reports whether a request failed after a part of it may have run, had not ended or was answered late.
func failedOrLate(r *request) bool {
	return r.state == stateFailed || r.state == stateOpen || r.state == stateDone && !r.inTime()
}

// goodput returns the prompt tokens per second, as a fraction of the capacity, of the requests answered in time, for
// the part of the run between two times since its start. The prompt tokens of a request are spread evenly over the time
// from its first attempt to its first token.
func (s *simulation) goodput(from, to time.Duration) float64 {
	var tokens float64
	for _, r := range s.requests {
		if !r.inTime() {
			continue
		}
		start := r.startedAt.Sub(epoch)
		end := r.firstTokenAt.Sub(epoch)
		overlap := min(end, to) - max(start, from)
		if overlap > 0 {
			tokens += float64(r.arrival.tokens) * float64(overlap) / float64(end-start)
		}
	}
	return tokens / (to - from).Seconds() / s.deployment.capacity()
}

// simulations holds the finished simulations of one scenario, one for each seed.
type simulations []*simulation

// firstTokenTimes returns the times to the first token of the requests that the filter keep selects.
func (m simulations) firstTokenTimes(keep func(r *request) bool) []time.Duration {
	var times []time.Duration
	for _, s := range m {
		times = append(times, s.firstTokenTimes(keep)...)
	}
	return times
}

// answerTimes returns the times to the whole answer of the requests that the filter keep selects.
func (m simulations) answerTimes(keep func(r *request) bool) []time.Duration {
	var times []time.Duration
	for _, s := range m {
		times = append(times, s.answerTimes(keep)...)
	}
	return times
}

// count returns the number of requests that the filter keep selects.
func (m simulations) count(keep func(r *request) bool) int {
	count := 0
	for _, s := range m {
		count += s.count(keep)
	}
	return count
}

// shareInTime returns the share of the requests selected by keep that were answered in time, or NaN if there are none.
func (m simulations) shareInTime(keep func(r *request) bool) float64 {
	total := m.count(keep)
	if total == 0 {
		return math.NaN()
	}
	return float64(m.count(func(r *request) bool { return keep(r) && r.inTime() })) / float64(total)
}

// coldReports returns the number of owner reports in which the endpoint is cold.
func (m simulations) coldReports() int {
	count := 0
	for _, s := range m {
		count += s.coldReports
	}
	return count
}

// overloadDeaths returns the number of engine deaths by overload during a cold start. Deaths of engines that
// restartEngines has replaced since are not counted.
func (m simulations) overloadDeaths() int {
	count := 0
	for _, s := range m {
		for _, ep := range s.endpoints {
			count += ep.model.Stats().OverloadDeaths
		}
	}
	return count
}

// goodput returns the mean goodput of the simulations.
func (m simulations) goodput(from, to time.Duration) float64 {
	var sum float64
	for _, s := range m {
		sum += s.goodput(from, to)
	}
	return sum / float64(len(m))
}

// idleFirstTokenTimes returns the times to the first token that the requests selected by keep would have on an idle
// fleet without cached prefixes. They are meant as lower bounds of the simulated times.
func (m simulations) idleFirstTokenTimes(keep func(r *request) bool) []time.Duration {
	settings := engineSettings()
	var times []time.Duration
	for _, s := range m {
		for _, r := range s.requests {
			if keep(r) {
				times = append(times, idleFirstTokenTime(r, settings.PrefillPace, settings.DecodePace))
			}
		}
	}
	return times
}

// archiveSlowdowns returns, in ascending order, the ratio of the answer time to that on an idle fleet for each answered
// prompt of at least 250,000 tokens.
func (m simulations) archiveSlowdowns() []float64 {
	settings := engineSettings()
	var slowdowns []float64
	for _, s := range m {
		for _, r := range s.requests {
			if r.arrival.tokens < 250_000 || r.state != stateDone {
				continue
			}
			decodeTime := time.Duration(float64(answerTokens-1) / settings.DecodePace * float64(time.Second))
			idleTime := idleFirstTokenTime(r, settings.PrefillPace, settings.DecodePace) + decodeTime
			slowdowns = append(slowdowns, float64(r.endedAt.Sub(r.arrivedAt))/float64(idleTime))
		}
	}
	slices.Sort(slowdowns)
	return slowdowns
}

// sortedQuantile returns a quantile of numbers in ascending order, or NaN if there are none.
func sortedQuantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// idleFirstTokenTime returns the time to the first token of a request on an idle fleet without cached prefixes. A
// prompt is segmented only if it does not fit into an engine's memory. The paces are in tokens per second.
func idleFirstTokenTime(r *request, prefill, decode float64) time.Duration {
	prefillTime := func(tokens float64) time.Duration { return time.Duration(tokens / prefill * float64(time.Second)) }
	firstToken := time.Duration(float64(time.Second) / decode)
	if r.arrival.tokens+r.maxTokens <= engineSettings().Memory {
		return 2*messageDelay + prefillTime(float64(r.arrival.tokens)) + firstToken
	}
	g := newSegments(r)
	rounds := (g.count + maxParallelSegments - 1) / maxParallelSegments
	segmentTime := prefillTime(float64(g.size)) +
		time.Duration(float64(partialAnswerTokens)/decode*float64(time.Second))
	return time.Duration(rounds)*(2*messageDelay+segmentTime) +
		2*messageDelay + prefillTime(float64(g.count)*float64(partialAnswerTokens)) + firstToken
}
