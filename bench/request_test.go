package bench_test

import (
	"fmt"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/io/engine"
)

// Bounds of one request, as in the dispatcher and the segment generator.
const (
	maxRefusals                 = 4
	maxBreaks                   = 3
	segmentsAtOnce              = 4
	segmentTokens  fleet.Tokens = 160_000
	readingTokens  fleet.Tokens = 256
	wholeTokens    fleet.Tokens = 340_000
)

// state is how a request ended.
type state int

// The states of a request.
const (
	// stateOpen means that it is served.
	stateOpen state = iota
	// stateDone means that the whole answer came.
	stateDone
	// stateRefused means that it was refused before anything ran.
	stateRefused
	// stateFailed means that it failed after something ran.
	stateFailed
)

// request is one request that is served.
type request struct {
	simulation *simulation
	id         fleet.RequestID
	arrival    arrival
	class      class
	entry      *entry
	output     fleet.Tokens
	prefixes   []placement.Prefix
	cached     fleet.Tokens
	arrivedAt  time.Time
	startBy    time.Time
	finishBy   time.Time
	excluded   map[fleet.EndpointID]bool
	tries      int
	refusals   int
	breaks     int
	position   fleet.Tokens
	ran        bool
	state      state
	startedAt  time.Time
	firstAt    time.Time
	endedAt    time.Time
	reason     reservation.Reason
	ended      func(r *request)
}

// arrive begins to serve a request of the load.
func (s *simulation) arrive(number int, a arrival) {
	c := classOf(a.tokens)
	r := &request{
		simulation: s,
		id:         fleet.RequestID(fmt.Sprintf("request-%d", number)),
		arrival:    a,
		class:      c,
		entry:      s.entryOf(a),
		output:     answerTokens,
		arrivedAt:  s.now,
		startBy:    s.now.Add(c.wait),
		finishBy:   s.now.Add(c.finish),
	}
	s.requests = append(s.requests, r)
	s.open++
	r.ended = func(*request) { s.open-- }
	r.begin()
}

// entryOf returns the entry that the balancer sends a request to.
func (s *simulation) entryOf(a arrival) *entry {
	return s.entries[a.entry%len(s.entries)]
}

// begin serves the request, in segments if it takes nearly all memory of an engine.
func (r *request) begin() {
	r.excluded = make(map[fleet.EndpointID]bool)
	if r.arrival.tokens > wholeTokens || r.arrival.tokens+r.output > engineSettings().Memory {
		newSegments(r).begin()
		return
	}
	if r.arrival.tokens <= repeatPrompt {
		for _, prefix := range engine.Prefixes(r.arrival.prompt) {
			r.prefixes = append(r.prefixes, placement.Prefix{Digest: string(prefix.Digest), Tokens: prefix.Tokens})
		}
	}
	r.try()
}

// try asks for the next endpoint.
func (r *request) try() {
	b := r.entry.router.next(r)
	if b == nil {
		r.noEndpoint()
		return
	}
	a := &attempt{request: r, backend: b, id: attemptID(r), from: r.position, position: r.position}
	if !a.reachable() {
		r.simulation.after(breakDelay, func() { r.refused(b, &reservation.Refusal{Reason: reservation.ReasonUnreachable}) })
		return
	}
	if b.owner == nil {
		a.grant.Priority = r.priority()
		r.send(a)
		return
	}
	r.simulation.after(oneWay, func() { b.owner.reserve(r.reservation(a), func(d scheduler.Decision) { r.decided(a, d) }) })
}

// priority returns the engine priority where there is no owner to give it.
func (r *request) priority() int {
	if !r.simulation.policy.priorities {
		return 0
	}
	return priorityOf(r.arrival.tokens)
}

// reservation returns what the owner is asked for.
func (r *request) reservation(a *attempt) reservation.Request {
	startBy := r.startBy
	if r.position > 0 {
		startBy = r.finishBy
	}
	return reservation.Request{
		Endpoint:           a.backend.endpoint.ID,
		Request:            r.id,
		Attempt:            a.id,
		Entry:              r.entry.id,
		Account:            r.arrival.client.id,
		Class:              r.class.name,
		Weight:             r.arrival.client.weight,
		Priority:           r.class.priority,
		PromptTokens:       r.arrival.tokens,
		MaxTokens:          r.output,
		CachedTokens:       r.cached,
		FirstTokenDeadline: startBy,
		Deadline:           r.finishBy,
	}
}

// decided handles the owner's decision at the entry.
func (r *request) decided(a *attempt, d scheduler.Decision) {
	if d.Refusal != nil {
		r.refused(a.backend, d.Refusal)
		return
	}
	a.grant = d.Grant
	a.keep()
	r.send(a)
}

// send hands an attempt to its engine.
func (r *request) send(a *attempt) {
	s := r.simulation
	a.sentAt = s.now
	if r.startedAt.IsZero() {
		r.startedAt = s.now
	}
	if !a.reachable() {
		s.after(breakDelay, a.broken)
		return
	}
	s.after(oneWay, a.submit)
}

// refused handles a refusal.
func (r *request) refused(b *backend, refusal *reservation.Refusal) {
	r.excluded[b.endpoint.ID] = true
	r.reason = refusal.Reason
	r.refusals++
	if r.refusals >= maxRefusals {
		r.finish(r.failure())
		return
	}
	r.try()
}

// noEndpoint handles that no endpoint is left; without owners the request waits and tries all again.
func (r *request) noEndpoint() {
	s := r.simulation
	if s.policy.owned || s.now.After(r.startBy) {
		r.finish(r.failure())
		return
	}
	s.after(retryPause, func() {
		clear(r.excluded)
		r.refusals = 0
		r.try()
	})
}

// failure is the state of a request that is given up.
func (r *request) failure() state {
	if r.ran {
		return stateFailed
	}
	return stateRefused
}

// started notes the first token of an attempt.
func (r *request) started(a *attempt) {
	r.ran = true
	if r.firstAt.IsZero() {
		r.firstAt = a.firstAt
	}
}

// attempted handles the end of an attempt.
func (r *request) attempted(a *attempt, outcome reservation.Outcome) {
	r.position = a.position
	switch outcome {
	case reservation.OutcomeDone:
		r.finish(stateDone)
		return
	case reservation.OutcomeRefused:
		r.excluded[a.backend.endpoint.ID] = true
		r.refusals++
	default:
		r.ran = true
		r.breaks++
		r.excluded[a.backend.endpoint.ID] = true
	}
	switch {
	case r.breaks >= maxBreaks:
		r.finish(r.failure())
	case r.refusals >= maxRefusals:
		r.noEndpoint()
	default:
		r.try()
	}
}

// finish ends the request.
func (r *request) finish(s state) {
	r.state = s
	r.endedAt = r.simulation.now
	r.ended(r)
}

// inTime tells whether the request was answered within the bounds of its class.
func (r *request) inTime() bool {
	return r.state == stateDone && !r.firstAt.After(r.startBy) && !r.endedAt.After(r.finishBy)
}

// segments serves a prompt that takes nearly all memory of an engine: segments are read side by side, and a last pass
// answers from their readings.
type segments struct {
	whole   *request
	next    fleet.Tokens
	size    fleet.Tokens
	count   int
	running int
	done    int
	failed  bool
}

// newSegments cuts the prompt of a request.
func newSegments(r *request) *segments {
	count := (r.arrival.tokens + segmentTokens - 1) / segmentTokens
	return &segments{whole: r, size: (r.arrival.tokens + count - 1) / count, count: int(count)}
}

// begin reads as many segments as may be read at once.
func (g *segments) begin() {
	for g.running < segmentsAtOnce && g.next < g.whole.arrival.tokens && !g.failed {
		from := g.next
		g.next = min(from+g.size, g.whole.arrival.tokens)
		g.running++
		text := engine.Segment(g.whole.arrival.prompt, from, g.next)
		g.part(fmt.Sprintf("segment-%d", from), text, readingTokens, g.read).try()
	}
}

// part returns a request for a part of the work.
func (g *segments) part(name, prompt string, output fleet.Tokens, ended func(r *request)) *request {
	part := *g.whole
	part.id = fleet.RequestID(fmt.Sprintf("%s/%s", g.whole.id, name))
	part.arrival.prompt = prompt
	part.arrival.tokens = engine.CountTokens(prompt)
	part.output = output
	part.startBy = g.whole.finishBy
	part.excluded = make(map[fleet.EndpointID]bool)
	part.ended = ended
	return &part
}

// read handles the end of a segment.
func (g *segments) read(r *request) {
	g.running--
	g.whole.ran = g.whole.ran || r.ran
	if g.failed {
		return
	}
	if r.state != stateDone {
		g.failed = true
		g.whole.reason = r.reason
		g.whole.finish(g.whole.failure())
		return
	}
	g.done++
	if g.whole.startedAt.IsZero() {
		g.whole.startedAt = r.startedAt
	}
	if g.done < g.count {
		g.begin()
		return
	}
	text := engine.Segment(corpus(), 0, readingTokens*fleet.Tokens(g.count))
	g.part("answer", text, answerTokens, g.answered).try()
}

// answered handles the end of the last pass.
func (g *segments) answered(r *request) {
	g.whole.firstAt = r.firstAt
	g.whole.reason = r.reason
	g.whole.finish(r.state)
}
