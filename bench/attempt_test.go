package bench_test

import (
	"fmt"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/io/engine"
	standin "wisteriadyke/standin/engine"
)

// attempt is one attempt of a request on one engine.
type attempt struct {
	request      *request
	endpoint     *endpoint
	id           fleet.AttemptID
	grant        reservation.Grant
	task         *standin.Task
	sentAt       time.Time
	firstTokenAt time.Time
	endedAt      time.Time
	// position is the position of the next token of the answer, startPosition that of the attempt's first token.
	position      fleet.Tokens
	startPosition fleet.Tokens
	// cachedTokens is the number of prompt tokens that the engine found in its cache.
	cachedTokens fleet.Tokens
	ended        bool
}

// submit submits the attempt to the engine; it is called when the entry's message arrives there. An attempt that the
// engine refuses ends as refused at the entry after messageDelay.
func (a *attempt) submit() {
	ep := a.endpoint
	s := ep.simulation
	if a.ended {
		return
	}
	task, err := ep.model.Submit(s.now, engine.Request{
		RequestID:     a.request.id,
		AttemptID:     a.id,
		ReservationID: string(a.grant.Reservation),
		Generation:    uint64(a.grant.Generation),
		Fence:         a.grant.Fence,
		Priority:      a.grant.Priority,
		Prompt:        a.request.arrival.prompt,
		MaxTokens:     a.request.maxTokens,
		FirstToken:    a.startPosition,
	})
	if err != nil {
		s.after(messageDelay, func() { a.end(reservation.OutcomeRefused) })
		ep.handleEvents()
		return
	}
	a.task = task
	ep.running = append(ep.running, a)
	ep.poll()
}

// poll advances the engine at each of its steps from now on and handles the new events, until the engine is not busy.
// It does nothing if the next step is already scheduled.
func (ep *endpoint) poll() {
	if ep.polling || !ep.model.Busy() {
		return
	}
	ep.polling = true
	ep.simulation.after(standin.Tick, func() {
		ep.polling = false
		ep.model.Advance(ep.simulation.now)
		ep.handleEvents()
		ep.poll()
	})
}

// handleEvents handles the new events of all running attempts and removes the attempts that have ended. An attempt
// whose stream broke ends as broken at the entry after messageDelay.
func (ep *endpoint) handleEvents() {
	ep.running = slices.DeleteFunc(ep.running, func(a *attempt) bool {
		events, ending := a.task.TakeEvents()
		for _, event := range events {
			a.handleEvent(event)
		}
		if ending == standin.EndingDied {
			ep.simulation.after(messageDelay, a.handleBroken)
		}
		return ending != standin.EndingNone
	})
}

// cancel cancels an attempt at the engine.
func (ep *endpoint) cancel(id fleet.AttemptID) {
	// The engine returns an error if it does not run the attempt, which then needs no cancellation.
	_ = ep.model.Cancel(ep.simulation.now, id)
	ep.handleEvents()
}

// handleEvent handles one event of the engine; the entry receives it after messageDelay.
func (a *attempt) handleEvent(event engine.Event) {
	s := a.endpoint.simulation
	switch event.Type {
	case engine.EventStarted:
		s.after(messageDelay, a.handleStarted)
	case engine.EventPrefilled:
		a.cachedTokens = event.CachedTokens
	case engine.EventToken:
		a.position = event.Position + 1
		if a.firstTokenAt.IsZero() {
			a.firstTokenAt = s.now.Add(messageDelay)
			s.after(messageDelay, a.handleFirstToken)
		}
	case engine.EventDone:
		s.after(messageDelay, func() { a.end(reservation.OutcomeDone) })
	}
}

// reachable reports whether the entry and the endpoint can exchange messages.
func (a *attempt) reachable() bool {
	return reaches(a.request.entry.zone, a.endpoint.zone)
}

// handleStarted is called when the entry learns that the engine has accepted the attempt. If reportFirstToken is set,
// it renews the reservation at once rather than at the next periodic renewal.
func (a *attempt) handleStarted() {
	if !a.ended && a.endpoint.simulation.policy.reportFirstToken {
		a.renew()
	}
}

// handleFirstToken is called when the first token reaches the entry. It records the token for the request, and renews
// the reservation if the policy reports first tokens.
func (a *attempt) handleFirstToken() {
	if a.ended || !a.reachable() {
		return
	}
	a.request.recordFirstToken(a)
	if a.endpoint.simulation.policy.reportFirstToken {
		a.renew()
	}
}

// renewUntilEnded renews the reservation every third of the lease until the attempt has ended.
func (a *attempt) renewUntilEnded() {
	interval := a.grant.Lease / 3
	a.endpoint.simulation.every(interval, interval, func() bool {
		if !a.ended {
			a.renew()
		}
		return !a.ended
	})
}

// renew sends the attempt's progress to the owner, if there is one and it is reachable. If the owner does not know the
// reservation, the attempt is canceled.
func (a *attempt) renew() {
	s := a.endpoint.simulation
	progress := reservation.Progress{
		Endpoint:    a.endpoint.info.ID,
		Owner:       a.grant.Owner,
		Reservation: a.grant.Reservation,
		Generation:  a.grant.Generation,
		Started:     !a.firstTokenAt.IsZero(),
		Position:    a.position,
		Incarnation: a.endpoint.model.Incarnation(),
	}
	if progress.Started {
		progress.PrefilledTokens = a.request.arrival.tokens - a.cachedTokens
		progress.TimeToFirstToken = a.firstTokenAt.Sub(a.sentAt)
	}
	if a.endpoint.owner == nil || !a.reachable() {
		return
	}
	s.after(messageDelay, func() {
		var refusal *reservation.Refusal
		a.endpoint.owner.apply(func(e *scheduler.Endpoint) { refusal = e.Renew(s.now, progress) })
		if refusal != nil && refusal.Reason == reservation.ReasonUnknownReservation {
			s.after(messageDelay, a.cancelLapsed)
		}
	})
}

// cancelLapsed cancels an attempt whose reservation no longer exists at the owner.
func (a *attempt) cancelLapsed() {
	if a.ended {
		return
	}
	a.endpoint.simulation.lapsedReservations++
	a.endpoint.cancel(a.id)
	a.end(reservation.OutcomeCanceled)
}

// handleBroken ends an attempt whose stream broke.
func (a *attempt) handleBroken() {
	if !a.ended {
		a.end(reservation.OutcomeBroken)
	}
}

// end ends the attempt at the entry. OutcomeDone is ignored while the engine's message cannot reach the entry.
func (a *attempt) end(outcome reservation.Outcome) {
	if a.ended || outcome == reservation.OutcomeDone && !a.reachable() {
		return
	}
	a.ended = true
	a.endedAt = a.endpoint.simulation.now
	a.release(outcome)
	a.request.handleAttemptEnded(a, outcome)
}

// release releases the reservation at the owner, if there is one and it is reachable.
func (a *attempt) release(outcome reservation.Outcome) {
	ep := a.endpoint
	s := ep.simulation
	if ep.owner == nil || !a.reachable() {
		return
	}
	release := reservation.Release{
		Endpoint:    ep.info.ID,
		Owner:       a.grant.Owner,
		Reservation: a.grant.Reservation,
		Generation:  a.grant.Generation,
		Outcome:     outcome,
	}
	if outcome == reservation.OutcomeDone {
		release.Incarnation = ep.model.Incarnation()
		release.PrefilledTokens = a.request.arrival.tokens - a.cachedTokens
		release.TimeToFirstToken = a.firstTokenAt.Sub(a.sentAt)
		release.GeneratedTokens = a.position - a.startPosition
		release.DecodeTime = a.endedAt.Sub(a.firstTokenAt)
	}
	s.after(messageDelay, func() {
		// If the owner refuses the release because the reservation no longer exists, there is nothing to release.
		ep.owner.apply(func(e *scheduler.Endpoint) { _ = e.Release(s.now, release) })
	})
}

// cacheEvents converts the engine's cache events to those of placement.
func cacheEvents(events engine.CacheEvents) []placement.CacheEvent {
	converted := make([]placement.CacheEvent, 0, len(events.Events))
	for _, event := range events.Events {
		converted = append(converted, placement.CacheEvent{
			Sequence: event.Sequence,
			Evicted:  event.Kind == engine.CacheEvicted,
			Prefix:   placement.Prefix{Digest: string(event.Prefix.Digest), Tokens: event.Prefix.Tokens},
		})
	}
	return converted
}

// newAttemptID returns the ID of the next attempt of a request.
func newAttemptID(r *request) fleet.AttemptID {
	r.attempts++
	return fleet.AttemptID(fmt.Sprintf("%s.%d", r.id, r.attempts))
}
