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

// Limits of one request, as in core/dispatch, core/retry and core/segment.
const (
	// maxRefusals is the number of refusals after which a request tries no further endpoint, unless handleNoEndpoint
	// starts over.
	maxRefusals = 4
	// maxBrokenAttempts is the number of broken attempts after which a request fails.
	maxBrokenAttempts = 3
	// maxParallelSegments is the largest number of segments of one prompt in flight.
	maxParallelSegments = 4
	// maxSegmentTokens is the largest length of a segment.
	maxSegmentTokens fleet.Tokens = 160_000
	// partialAnswerTokens is the length of the answer to one segment.
	partialAnswerTokens fleet.Tokens = 256
	// maxWholePrompt is the largest length of a prompt that is not split into segments.
	maxWholePrompt fleet.Tokens = 340_000
)

// state specifies whether and how a request has ended.
type state int

// The states of a request.
const (
	// stateOpen means that the request has not ended.
	stateOpen state = iota
	// stateDone means that the whole answer was received.
	stateDone
	// stateRefused means that the request failed before any part of it ran.
	stateRefused
	// stateFailed means that the request failed after a part of it may have run.
	stateFailed
)

// request is one request or one part of a segmented request.
type request struct {
	simulation *simulation
	id         fleet.RequestID
	arrival    arrival
	class      class
	entry      *entry
	maxTokens  fleet.Tokens
	prefixes   []placement.Prefix
	// cachedTokens is the number of prompt tokens that the chosen endpoint may have cached.
	cachedTokens       fleet.Tokens
	arrivedAt          time.Time
	firstTokenDeadline time.Time
	deadline           time.Time
	// excluded holds the endpoints that the next attempt must not use.
	excluded       map[fleet.EndpointID]bool
	attempts       int
	refusals       int
	brokenAttempts int
	// position is the position in the answer at which the next attempt resumes.
	position fleet.Tokens
	// ran reports whether a part of the request may have run.
	ran   bool
	state state
	// startedAt is when the first attempt was sent to an engine.
	startedAt     time.Time
	firstTokenAt  time.Time
	endedAt       time.Time
	refusalReason reservation.Reason
	// onEnded is called when the request has ended.
	onEnded func(r *request)
}

// startRequest starts the request of an arrival.
func (s *simulation) startRequest(number int, a arrival) {
	c := classOf(a.tokens)
	r := &request{
		simulation:         s,
		id:                 fleet.RequestID(fmt.Sprintf("request-%d", number)),
		arrival:            a,
		class:              c,
		entry:              s.entryOf(a),
		maxTokens:          answerTokens,
		arrivedAt:          s.now,
		firstTokenDeadline: s.now.Add(c.startTimeout),
		deadline:           s.now.Add(c.finishTimeout),
	}
	s.requests = append(s.requests, r)
	s.openRequests++
	r.onEnded = func(*request) { s.openRequests-- }
	r.start()
}

// entryOf returns the entry to which the load balancer sends an arrival.
func (s *simulation) entryOf(a arrival) *entry {
	return s.entries[a.entry%len(s.entries)]
}

// start starts the request, in segments if its prompt needs nearly all of the memory of an engine, or more.
func (r *request) start() {
	r.excluded = make(map[fleet.EndpointID]bool)
	if r.arrival.tokens > maxWholePrompt || r.arrival.tokens+r.maxTokens > engineSettings().Memory {
		newSegments(r).startSegments()
		return
	}
	if r.arrival.tokens <= maxSharedPrefixPrompt {
		for _, prefix := range engine.Prefixes(r.arrival.prompt) {
			r.prefixes = append(r.prefixes, placement.Prefix{Digest: string(prefix.Digest), Tokens: prefix.Tokens})
		}
	}
	r.tryNext()
}

// tryNext chooses the next endpoint and starts an attempt there. If the policy has owners, the attempt is sent only
// after the owner has granted a reservation.
func (r *request) tryNext() {
	ep := r.entry.router.nextEndpoint(r)
	if ep == nil {
		r.handleNoEndpoint()
		return
	}
	a := &attempt{request: r, endpoint: ep, id: newAttemptID(r), startPosition: r.position, position: r.position}
	if !a.reachable() {
		r.simulation.after(failureDetectionDelay, func() {
			r.handleRefusal(ep, &reservation.Refusal{Reason: reservation.ReasonUnreachable})
		})
		return
	}
	if ep.owner == nil {
		a.grant.Priority = r.priority()
		r.send(a)
		return
	}
	r.simulation.after(messageDelay, func() {
		ep.owner.reserve(r.reservation(a), func(d scheduler.Decision) { r.handleDecision(a, d) })
	})
}

// priority returns the engine priority of the request. It is used only without owners, since an owner's grant contains
// the priority.
func (r *request) priority() int {
	if !r.simulation.policy.priorities {
		return 0
	}
	return priorityOf(r.arrival.tokens)
}

// reservation returns the request for a reservation that the entry sends to the owner.
func (r *request) reservation(a *attempt) reservation.Request {
	firstTokenDeadline := r.firstTokenDeadline
	if r.position > 0 {
		firstTokenDeadline = r.deadline
	}
	return reservation.Request{
		Endpoint:           a.endpoint.info.ID,
		Request:            r.id,
		Attempt:            a.id,
		Entry:              r.entry.id,
		Account:            r.arrival.account.id,
		Class:              r.class.name,
		Weight:             r.arrival.account.weight,
		Priority:           r.class.priority,
		PromptTokens:       r.arrival.tokens,
		MaxTokens:          r.maxTokens,
		CachedTokens:       r.cachedTokens,
		FirstTokenDeadline: firstTokenDeadline,
		Deadline:           r.deadline,
	}
}

// handleDecision is called when the owner's decision reaches the entry. After a grant it sends the attempt; a refusal
// is passed to handleRefusal.
func (r *request) handleDecision(a *attempt, d scheduler.Decision) {
	if d.Refusal != nil {
		r.handleRefusal(a.endpoint, d.Refusal)
		return
	}
	a.grant = d.Grant
	a.renewUntilEnded()
	r.send(a)
}

// send sends an attempt to its engine. If the engine is unreachable, the attempt ends as broken after
// failureDetectionDelay.
func (r *request) send(a *attempt) {
	s := r.simulation
	a.sentAt = s.now
	if r.startedAt.IsZero() {
		r.startedAt = s.now
	}
	if !a.reachable() {
		s.after(failureDetectionDelay, a.handleBroken)
		return
	}
	s.after(messageDelay, a.submit)
}

// handleRefusal excludes an endpoint that refused or was unreachable and tries the next one. The request fails after
// maxRefusals refusals.
func (r *request) handleRefusal(ep *endpoint, refusal *reservation.Refusal) {
	r.excluded[ep.info.ID] = true
	r.refusalReason = refusal.Reason
	r.refusals++
	if r.refusals >= maxRefusals {
		r.finish(r.failureState())
		return
	}
	r.tryNext()
}

// handleNoEndpoint is called when no endpoint is left or engines have refused the request maxRefusals times. Without
// owners, the request tries all endpoints again after retryPause until its first-token deadline; otherwise it fails.
func (r *request) handleNoEndpoint() {
	s := r.simulation
	if s.policy.hasOwners || s.now.After(r.firstTokenDeadline) {
		r.finish(r.failureState())
		return
	}
	s.after(retryPause, func() {
		clear(r.excluded)
		r.refusals = 0
		r.tryNext()
	})
}

// failureState returns the state in which the request ends if it fails now.
func (r *request) failureState() state {
	if r.ran {
		return stateFailed
	}
	return stateRefused
}

// recordFirstToken records that an attempt of the request has received its first token. The time is recorded only for
// the first such attempt.
func (r *request) recordFirstToken(a *attempt) {
	r.ran = true
	if r.firstTokenAt.IsZero() {
		r.firstTokenAt = a.firstTokenAt
	}
}

// handleAttemptEnded ends the request after a complete answer. Otherwise it continues the request on another endpoint,
// or fails it if maxBrokenAttempts is reached. After maxRefusals refusals it calls handleNoEndpoint.
func (r *request) handleAttemptEnded(a *attempt, outcome reservation.Outcome) {
	r.position = a.position
	switch outcome {
	case reservation.OutcomeDone:
		r.finish(stateDone)
		return
	case reservation.OutcomeRefused:
		r.excluded[a.endpoint.info.ID] = true
		r.refusals++
	default:
		r.ran = true
		r.brokenAttempts++
		r.excluded[a.endpoint.info.ID] = true
	}
	switch {
	case r.brokenAttempts >= maxBrokenAttempts:
		r.finish(r.failureState())
	case r.refusals >= maxRefusals:
		r.handleNoEndpoint()
	default:
		r.tryNext()
	}
}

// finish ends the request in a state.
func (r *request) finish(s state) {
	r.state = s
	r.endedAt = r.simulation.now
	r.onEnded(r)
}

// inTime reports whether the request was answered within both deadlines of its class.
func (r *request) inTime() bool {
	return r.state == stateDone && !r.firstTokenAt.After(r.firstTokenDeadline) && !r.endedAt.After(r.deadline)
}

// segments serves a prompt that needs nearly all of the memory of an engine, or more. The segments are sent in
// parallel; a final pass generates the answer from their partial answers.
type segments struct {
	whole    *request
	nextFrom fleet.Tokens
	size     fleet.Tokens
	count    int
	running  int
	done     int
	failed   bool
}

// newSegments returns the segmentation of a request's prompt into segments of nearly equal size.
func newSegments(r *request) *segments {
	count := (r.arrival.tokens + maxSegmentTokens - 1) / maxSegmentTokens
	return &segments{whole: r, size: (r.arrival.tokens + count - 1) / count, count: int(count)}
}

// startSegments starts segments until maxParallelSegments are running or none is left.
func (g *segments) startSegments() {
	for g.running < maxParallelSegments && g.nextFrom < g.whole.arrival.tokens && !g.failed {
		from := g.nextFrom
		g.nextFrom = min(from+g.size, g.whole.arrival.tokens)
		g.running++
		text := engine.Segment(g.whole.arrival.prompt, from, g.nextFrom)
		g.newPart(fmt.Sprintf("segment-%d", from), text, partialAnswerTokens, g.handleSegmentEnded).tryNext()
	}
}

// newPart returns the request for a segment or the final pass.
func (g *segments) newPart(name, prompt string, output fleet.Tokens, ended func(r *request)) *request {
	part := *g.whole
	part.id = fleet.RequestID(fmt.Sprintf("%s/%s", g.whole.id, name))
	part.arrival.prompt = prompt
	part.arrival.tokens = engine.CountTokens(prompt)
	part.maxTokens = output
	part.firstTokenDeadline = g.whole.deadline
	part.excluded = make(map[fleet.EndpointID]bool)
	part.onEnded = ended
	return &part
}

// handleSegmentEnded starts further segments after one is done, and the final pass after the last one is done. If a
// segment failed, the whole request fails.
func (g *segments) handleSegmentEnded(r *request) {
	g.running--
	g.whole.ran = g.whole.ran || r.ran
	if g.failed {
		return
	}
	if r.state != stateDone {
		g.failed = true
		g.whole.refusalReason = r.refusalReason
		g.whole.finish(g.whole.failureState())
		return
	}
	g.done++
	if g.whole.startedAt.IsZero() {
		g.whole.startedAt = r.startedAt
	}
	if g.done < g.count {
		g.startSegments()
		return
	}
	text := engine.Segment(corpus(), 0, partialAnswerTokens*fleet.Tokens(g.count))
	g.newPart("answer", text, answerTokens, g.handleAnswerEnded).tryNext()
}

// handleAnswerEnded ends the whole request in the state of the final pass.
func (g *segments) handleAnswerEnded(r *request) {
	g.whole.firstTokenAt = r.firstTokenAt
	g.whole.refusalReason = r.refusalReason
	g.whole.finish(r.state)
}
