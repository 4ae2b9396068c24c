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

// attempt is one try of a request on one engine.
type attempt struct {
	request  *request
	backend  *backend
	id       fleet.AttemptID
	grant    reservation.Grant
	task     *standin.Task
	sentAt   time.Time
	firstAt  time.Time
	lastAt   time.Time
	position fleet.Tokens
	from     fleet.Tokens
	cached   fleet.Tokens
	ended    bool
}

// submit hands the attempt to the engine; it is called when the message arrives there.
func (a *attempt) submit() {
	b := a.backend
	s := b.simulation
	if a.ended {
		return
	}
	task, err := b.model.Submit(s.now, engine.Request{
		RequestID:     a.request.id,
		AttemptID:     a.id,
		ReservationID: string(a.grant.Reservation),
		Generation:    uint64(a.grant.Generation),
		Fence:         a.grant.Fence,
		Priority:      a.grant.Priority,
		Prompt:        a.request.arrival.prompt,
		MaxTokens:     a.request.output,
		FirstToken:    a.from,
	})
	if err != nil {
		s.after(oneWay, func() { a.end(reservation.OutcomeRefused) })
		b.collect()
		return
	}
	a.task = task
	b.running = append(b.running, a)
	b.poll()
}

// poll collects what the engine has done at each of its steps while it works.
func (b *backend) poll() {
	if b.polling || !b.model.Busy() {
		return
	}
	b.polling = true
	b.simulation.after(standin.Tick, func() {
		b.polling = false
		b.model.Advance(b.simulation.now)
		b.collect()
		b.poll()
	})
}

// collect passes on the events of all attempts.
func (b *backend) collect() {
	b.running = slices.DeleteFunc(b.running, func(a *attempt) bool {
		events, ending := a.task.TakeEvents()
		for _, event := range events {
			a.take(event)
		}
		if ending == standin.EndingCut {
			b.simulation.after(oneWay, a.broken)
		}
		return ending != standin.EndingNone
	})
}

// cancel ends an attempt at the engine.
func (b *backend) cancel(id fleet.AttemptID) {
	// An attempt that the engine does not run needs no end.
	_ = b.model.Cancel(b.simulation.now, id)
	b.collect()
}

// take passes on one event, which arrives at the entry one delay later.
func (a *attempt) take(event engine.Event) {
	s := a.backend.simulation
	switch event.Type {
	case engine.EventStarted:
		s.after(oneWay, a.taken)
	case engine.EventPrefilled:
		a.cached = event.CachedTokens
	case engine.EventToken:
		a.position = event.Position + 1
		if a.firstAt.IsZero() {
			a.firstAt = s.now.Add(oneWay)
			s.after(oneWay, a.first)
		}
	case engine.EventDone:
		s.after(oneWay, func() { a.end(reservation.OutcomeDone) })
	}
}

// reachable tells whether messages pass between the entry and the endpoint.
func (a *attempt) reachable() bool {
	return reaches(a.request.entry.zone, a.backend.zone)
}

// taken handles at the entry that the engine has taken the attempt.
func (a *attempt) taken() {
	if !a.ended && a.backend.simulation.policy.reportFirst {
		a.renew()
	}
}

// first handles the first token at the entry.
func (a *attempt) first() {
	if a.ended || !a.reachable() {
		return
	}
	a.request.started(a)
	if a.backend.simulation.policy.reportFirst {
		a.renew()
	}
}

// keep renews the reservation until the attempt has ended.
func (a *attempt) keep() {
	interval := a.grant.Lease / 3
	a.backend.simulation.every(interval, interval, func() bool {
		if !a.ended {
			a.renew()
		}
		return !a.ended
	})
}

// renew tells the owner how far the attempt is.
func (a *attempt) renew() {
	s := a.backend.simulation
	progress := reservation.Progress{
		Endpoint:    a.backend.endpoint.ID,
		Owner:       a.grant.Owner,
		Reservation: a.grant.Reservation,
		Generation:  a.grant.Generation,
		Started:     !a.firstAt.IsZero(),
		Position:    a.position,
		Incarnation: a.backend.model.Incarnation(),
	}
	if progress.Started {
		progress.PrefilledTokens = a.request.arrival.tokens - a.cached
		progress.TimeToFirstToken = a.firstAt.Sub(a.sentAt)
	}
	if a.backend.owner == nil || !a.reachable() {
		return
	}
	s.after(oneWay, func() {
		var refusal *reservation.Refusal
		a.backend.owner.do(func(e *scheduler.Endpoint) { refusal = e.Renew(s.now, progress) })
		if refusal != nil && refusal.Reason == reservation.ReasonUnknownReservation {
			s.after(oneWay, a.lapse)
		}
	})
}

// lapse ends an attempt whose reservation is gone.
func (a *attempt) lapse() {
	if a.ended {
		return
	}
	a.backend.simulation.lapsed++
	a.backend.cancel(a.id)
	a.end(reservation.OutcomeCanceled)
}

// broken ends an attempt whose stream broke.
func (a *attempt) broken() {
	if !a.ended {
		a.end(reservation.OutcomeBroken)
	}
}

// end handles the end of the attempt at the entry.
func (a *attempt) end(outcome reservation.Outcome) {
	if a.ended || outcome == reservation.OutcomeDone && !a.reachable() {
		return
	}
	a.ended = true
	a.lastAt = a.backend.simulation.now
	a.release(outcome)
	a.request.attempted(a, outcome)
}

// release gives the reservation back.
func (a *attempt) release(outcome reservation.Outcome) {
	b := a.backend
	s := b.simulation
	if b.owner == nil || !a.reachable() {
		return
	}
	release := reservation.Release{
		Endpoint:    b.endpoint.ID,
		Owner:       a.grant.Owner,
		Reservation: a.grant.Reservation,
		Generation:  a.grant.Generation,
		Outcome:     outcome,
	}
	if outcome == reservation.OutcomeDone {
		release.Incarnation = b.model.Incarnation()
		release.PrefilledTokens = a.request.arrival.tokens - a.cached
		release.TimeToFirstToken = a.firstAt.Sub(a.sentAt)
		release.GeneratedTokens = a.position - a.from
		release.DecodeTime = a.lastAt.Sub(a.firstAt)
	}
	s.after(oneWay, func() {
		// A reservation that is gone needs no release.
		b.owner.do(func(e *scheduler.Endpoint) { _ = e.Release(s.now, release) })
	})
}

// cacheEvents turns the engine's cache events into those of placement.
func cacheEvents(events engine.CacheEvents) []placement.CacheEvent {
	rows := make([]placement.CacheEvent, 0, len(events.Events))
	for _, event := range events.Events {
		rows = append(rows, placement.CacheEvent{
			Sequence: event.Sequence,
			Evicted:  event.Kind == engine.CacheEvicted,
			Prefix:   placement.Prefix{Digest: string(event.Prefix.Digest), Tokens: event.Prefix.Tokens},
		})
	}
	return rows
}

// attemptID names an attempt of a request.
func attemptID(r *request) fleet.AttemptID {
	r.tries++
	return fleet.AttemptID(fmt.Sprintf("%s.%d", r.id, r.tries))
}
