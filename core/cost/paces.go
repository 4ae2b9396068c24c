// Package cost learns from answers what requests cost: the paces of endpoints and the lengths of answers.
package cost

import (
	"math"
	"slices"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// minSamples is the number of samples below which an endpoint is assumed to keep its published times.
	minSamples = 3
	// keptSamples is the number of samples kept for each endpoint.
	keptSamples = 8
	// fullTrustTime is the age of the latest sample up to which an estimate counts in full; trustDecayTime is the time
	// constant of its decay afterwards.
	fullTrustTime  = 5 * time.Second
	trustDecayTime = time.Second
	// slowPace is the pace from which an endpoint counts as slow. Smaller ones are within the error of the prediction:
	// nine in ten first tokens of endpoints that keep their published times arrive within 1.5 times the prediction.
	slowPace = 1.6
	// typicalWeight is the weight of a sample in the average of all, a second's worth of first tokens. maxTypicalSample
	// bounds what a sample adds, so that a few slow endpoints do not raise the average.
	typicalWeight    = 0.02
	maxTypicalSample = 4
	// biasStep is the change of the bias by one sample; the bias follows a change of the load within some seconds. minBias
	// and maxBias bound it.
	biasStep = 0.001
	minBias  = 0.8
	maxBias  = 1.5
	// maxPace bounds a sample, so that a single one does not exclude an endpoint for long.
	maxPace = 20
	// trialInterval is the interval at which an endpoint that is avoided for its pace gets a request, so that it can
	// recover; earlyTrialInterval applies to requests with enough slack to be in time there.
	trialInterval      = 2 * time.Second
	earlyTrialInterval = 1500 * time.Millisecond
	// reportTime is the age up to which a sample is reported, a few times the interval between reports.
	reportTime = time.Second
)

// MaxReported is the largest number of samples in a report.
const MaxReported = 16

// PaceSample is the pace of an endpoint as measured by one answer, or the mean of several.
type PaceSample struct {
	// Endpoint and Incarnation are what was measured.
	Endpoint    fleet.EndpointID
	Incarnation fleet.Incarnation
	// Pace is the ratio of the measured to the published time.
	Pace float64
	// Samples is the number of answers.
	Samples int
	// At is when the latest of them was measured, and Entry the entry that measured it.
	At    time.Time
	Entry fleet.EntryID
}

// paceState holds the latest samples of one incarnation of an endpoint.
type paceState struct {
	incarnation fleet.Incarnation
	samples     []PaceSample
	// pace is the lower quartile of the samples relative to those of all endpoints, or 1 if they are too few.
	pace float64
	// triedAt is when the endpoint was last chosen while it counted as slow.
	triedAt time.Time
}

// Paces holds the paces of endpoints, measured by this entry and reported by others. Its zero value is ready to use; its
// methods are safe for concurrent use.
//
// Load pattern: an endpoint becomes several times slower than published without announcing it. Its attempts run long,
// each long prompt with a part there waits for it, and requests keep coming because it looks no busier than others.
type Paces struct {
	// Listed reports whether an endpoint is listed; samples of others are dropped. Nil means that all are.
	Listed func(fleet.EndpointID) bool

	mu        sync.Mutex
	endpoints map[fleet.EndpointID]*paceState
	// own holds the samples of this entry to report, the oldest first.
	own []PaceSample
	// typical is the moving average of all samples. Above 1, the endpoints are busier than predicted.
	typical float64
	// bias is the factor by which predictions are corrected, so that half of the samples are above 1.
	bias float64
}

// Record adds a sample of this entry.
func (p *Paces) Record(s PaceSample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own = append(p.own, s)
	if excess := len(p.own) - MaxReported; excess > 0 {
		p.own = slices.Delete(p.own, 0, excess)
	}
	p.add(s)
}

// Merge adds a sample that another entry reports. An entry reports each sample more than once.
func (p *Paces) Merge(s PaceSample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(s)
}

// Own returns the recent samples of this entry.
func (p *Paces) Own(now time.Time) []PaceSample {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own = slices.DeleteFunc(p.own, func(s PaceSample) bool { return now.Sub(s.At) > reportTime })
	return slices.Clone(p.own)
}

// duplicateTime is the difference of the times of one sample in two reports, which travel for different times.
const duplicateTime = 100 * time.Millisecond

// add adds a sample and updates the pace; the caller holds the lock. A newer incarnation replaces the samples of an
// older one.
func (p *Paces) add(s PaceSample) {
	if math.IsNaN(s.Pace) || s.Pace <= 0 || p.Listed != nil && !p.Listed(s.Endpoint) {
		return
	}
	if p.endpoints == nil {
		p.endpoints = make(map[fleet.EndpointID]*paceState)
		p.typical, p.bias = 1, 1
	}
	state, found := p.endpoints[s.Endpoint]
	switch {
	case !found:
		p.dropUnlisted()
		state = &paceState{incarnation: s.Incarnation}
		p.endpoints[s.Endpoint] = state
	case s.Incarnation < state.incarnation:
		return
	case s.Incarnation > state.incarnation:
		*state = paceState{incarnation: s.Incarnation}
	}
	known := func(o PaceSample) bool {
		return o.Entry == s.Entry && o.Pace == s.Pace && s.At.Sub(o.At).Abs() < duplicateTime
	}
	if slices.ContainsFunc(state.samples, known) {
		return
	}
	if s.Pace > 1 {
		p.bias = min(p.bias+biasStep, maxBias)
	} else {
		p.bias = max(p.bias-biasStep, minBias)
	}
	p.typical += (min(s.Pace, maxTypicalSample) - p.typical) * typicalWeight
	s.Pace = min(s.Pace, maxPace)
	state.samples = append(state.samples, s)
	// An endpoint that is avoided has few new samples; the latest ones then decide whether it has recovered.
	for len(state.samples) > minSamples &&
		(len(state.samples) > keptSamples || s.At.Sub(state.samples[0].At) > fullTrustTime) {
		state.samples = slices.Delete(state.samples, 0, 1)
	}
	state.pace = lowerQuartile(state.samples) / max(1, p.typical)
}

// lowerQuartile returns the lower quartile of samples, or 1 if there are fewer than minSamples. All first tokens of a slow
// endpoint are late; those of another one are late at times, when it was busier than predicted or when another endpoint
// delayed a prompt that both prefilled.
func lowerQuartile(samples []PaceSample) float64 {
	if len(samples) < minSamples {
		return 1
	}
	var paces [keptSamples]float64
	for i, s := range samples {
		paces[i] = s.Pace
	}
	sorted := paces[:len(samples)]
	slices.Sort(sorted)
	return sorted[(len(sorted)-1)/4]
}

// dropUnlisted drops the endpoints that are no longer listed; the caller holds the lock.
func (p *Paces) dropUnlisted() {
	for id := range p.endpoints {
		if p.Listed != nil && !p.Listed(id) {
			delete(p.endpoints, id)
		}
	}
}

// Estimate is what is known about the pace of an endpoint.
type Estimate struct {
	// Pace is the ratio of its times to the published ones, 1 if it is not known to be slow.
	Pace float64
	// Samples is the number of samples that it is based on.
	Samples int
	// TrialDue reports whether a slow endpoint should get a request, and EarlyTrialDue whether it should get one with
	// slack.
	TrialDue, EarlyTrialDue bool
}

// Estimate returns the estimate for an incarnation of an endpoint.
func (p *Paces) Estimate(endpoint fleet.Endpoint, now time.Time) Estimate {
	p.mu.Lock()
	defer p.mu.Unlock()
	state, found := p.endpoints[endpoint.ID]
	if !found || endpoint.Incarnation != state.incarnation || len(state.samples) == 0 {
		return Estimate{Pace: 1}
	}
	e := Estimate{Pace: 1, Samples: len(state.samples)}
	if state.pace < slowPace {
		return e
	}
	latest := state.samples[len(state.samples)-1].At
	trust := 1.0
	if excess := now.Sub(latest) - fullTrustTime; excess > 0 {
		trust = math.Exp(-float64(excess) / float64(trustDecayTime))
	}
	if pace := 1 + (state.pace-1)*trust; pace >= slowPace {
		e.Pace = pace
		since := now.Sub(state.triedAt)
		e.TrialDue, e.EarlyTrialDue = since >= trialInterval, since >= earlyTrialInterval
	}
	return e
}

// Corrected returns a predicted time to the first token, corrected by what the samples show: prompts that arrive after a
// choice join the same pass and delay its first token.
func (p *Paces) Corrected(predicted time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bias <= 0 {
		return predicted
	}
	return time.Duration(float64(predicted) * p.bias)
}

// MarkTried records that an endpoint that counts as slow was chosen.
func (p *Paces) MarkTried(id fleet.EndpointID, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state, found := p.endpoints[id]; found {
		state.triedAt = now
	}
}

// Slow returns the number of endpoints that count as slow.
func (p *Paces) Slow() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, state := range p.endpoints {
		if state.pace >= slowPace {
			count++
		}
	}
	return count
}
