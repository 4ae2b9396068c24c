package bench_test

import (
	"math"
	"slices"
	"time"
)

// quantile returns a quantile of some durations in seconds, or NaN if there are none.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	slices.Sort(values)
	place := int(math.Ceil(q*float64(len(values)))) - 1
	return values[max(0, place)].Seconds()
}

// waits returns the times to the first token of the requests that a filter keeps.
func (s *simulation) waits(keep func(r *request) bool) []time.Duration {
	var waits []time.Duration
	for _, r := range s.requests {
		if !r.firstAt.IsZero() && keep(r) {
			waits = append(waits, r.firstAt.Sub(r.arrivedAt))
		}
	}
	return waits
}

// answers returns the times to the whole answer of the requests that a filter keeps.
func (s *simulation) answers(keep func(r *request) bool) []time.Duration {
	var answers []time.Duration
	for _, r := range s.requests {
		if r.state == stateDone && keep(r) {
			answers = append(answers, r.endedAt.Sub(r.arrivedAt))
		}
	}
	return answers
}

// inBand keeps the requests of a band.
func inBand(b band) func(r *request) bool {
	return func(r *request) bool { return r.arrival.tokens >= b.from && r.arrival.tokens < b.upTo }
}

// isShort keeps short requests.
func isShort(r *request) bool {
	return r.arrival.tokens <= shortPrompt
}

// count counts the requests that a filter keeps.
func (s *simulation) count(keep func(r *request) bool) int {
	count := 0
	for _, r := range s.requests {
		if keep(r) {
			count++
		}
	}
	return count
}

// every keeps all requests.
func every(*request) bool {
	return true
}

// failed keeps the requests that failed after something of them ran, or were answered late.
func failed(r *request) bool {
	return r.state == stateFailed || r.state == stateOpen || r.state == stateDone && !r.inTime()
}

// goodput returns the prompt tokens a second of requests answered in time, read between two times since the start,
// over the capacity. The reading of a request is spread evenly from its start to its first token.
func (s *simulation) goodput(from, to time.Duration) float64 {
	var tokens float64
	for _, r := range s.requests {
		if !r.inTime() {
			continue
		}
		begin := r.startedAt.Sub(epoch)
		end := r.firstAt.Sub(epoch)
		overlap := min(end, to) - max(begin, from)
		if overlap > 0 {
			tokens += float64(r.arrival.tokens) * float64(overlap) / float64(end-begin)
		}
	}
	return tokens / (to - from).Seconds() / s.deployment.capacity()
}

// merged is the simulations of several seeds together.
type merged []*simulation

// waits returns the times to the first token of the requests that a filter keeps.
func (m merged) waits(keep func(r *request) bool) []time.Duration {
	var waits []time.Duration
	for _, s := range m {
		waits = append(waits, s.waits(keep)...)
	}
	return waits
}

// answers returns the times to the whole answer of the requests that a filter keeps.
func (m merged) answers(keep func(r *request) bool) []time.Duration {
	var answers []time.Duration
	for _, s := range m {
		answers = append(answers, s.answers(keep)...)
	}
	return answers
}

// count counts the requests that a filter keeps.
func (m merged) count(keep func(r *request) bool) int {
	count := 0
	for _, s := range m {
		count += s.count(keep)
	}
	return count
}

// served returns the share of requests that were answered in time, of those that a filter keeps.
func (m merged) served(keep func(r *request) bool) float64 {
	all := m.count(keep)
	if all == 0 {
		return math.NaN()
	}
	return float64(m.count(func(r *request) bool { return keep(r) && r.inTime() })) / float64(all)
}

// coldReports counts the reports of owners that take their endpoint for cold.
func (m merged) coldReports() int {
	count := 0
	for _, s := range m {
		count += s.coldReports
	}
	return count
}

// deaths counts the engines that died of more than they bear in a cold start.
func (m merged) deaths() int {
	count := 0
	for _, s := range m {
		for _, b := range s.backends {
			count += b.model.Stats().OverloadDeaths
		}
	}
	return count
}

// goodput returns the mean of the simulations.
func (m merged) goodput(from, to time.Duration) float64 {
	var sum float64
	for _, s := range m {
		sum += s.goodput(from, to)
	}
	return sum / float64(len(m))
}

// lowerBound returns the times to the first token that requests would have on an idle fleet.
func (m merged) lowerBound(keep func(r *request) bool) []time.Duration {
	settings := engineSettings()
	var waits []time.Duration
	for _, s := range m {
		for _, r := range s.requests {
			if keep(r) {
				waits = append(waits, idleWait(r, settings.PrefillPace, settings.DecodePace))
			}
		}
	}
	return waits
}

// archiveRatios returns how many times longer prompts over 250,000 tokens took than on an idle fleet.
func (m merged) archiveRatios() []float64 {
	settings := engineSettings()
	var ratios []float64
	for _, s := range m {
		for _, r := range s.requests {
			if r.arrival.tokens < 250_000 || r.state != stateDone {
				continue
			}
			answer := time.Duration(float64(answerTokens-1) / settings.DecodePace * float64(time.Second))
			alone := idleWait(r, settings.PrefillPace, settings.DecodePace) + answer
			ratios = append(ratios, float64(r.endedAt.Sub(r.arrivedAt))/float64(alone))
		}
	}
	slices.Sort(ratios)
	return ratios
}

// at returns a quantile of sorted numbers, or NaN if there are none.
func at(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}

// idleWait returns the time to the first token of a request on an idle fleet.
func idleWait(r *request, prefill, decode float64) time.Duration {
	read := func(tokens float64) time.Duration { return time.Duration(tokens / prefill * float64(time.Second)) }
	first := time.Duration(float64(time.Second) / decode)
	if r.arrival.tokens+r.output <= engineSettings().Memory {
		return 2*oneWay + read(float64(r.arrival.tokens)) + first
	}
	g := newSegments(r)
	rounds := (g.count + segmentsAtOnce - 1) / segmentsAtOnce
	reading := read(float64(g.size)) + time.Duration(float64(readingTokens)/decode*float64(time.Second))
	return time.Duration(rounds)*(2*oneWay+reading) + 2*oneWay + read(float64(g.count)*float64(readingTokens)) + first
}
