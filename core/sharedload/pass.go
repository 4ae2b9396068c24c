package sharedload

import (
	"time"

	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
	"wisteriadyke/core/waiting"
)

// pass evaluates the endpoints of a pool once and places requests in the order of the queue while slots are free. It
// refuses the requests that can no longer be served in time; the caller holds the lock.
func (p *ChooserSet) pass(q *waitingPool, pool routing.Pool, now time.Time) {
	q.passedAt = now
	if p.waiting.isSuspended(now) {
		for _, i := range q.queue.Items() {
			p.endWaiting(q, i.Value)
		}
		q.overflow = q.overflow[:0]
		return
	}
	for _, i := range q.queue.Items() {
		if i.Value.isAbandoned(now) {
			p.endWaiting(q, i.Value)
		}
	}
	if q.blocked && now.Sub(q.evaluatedAt) < maxEvaluationAge &&
		!p.Chooser.Policy.hasFreeSlot(p.Chooser.Views.View(), pool.Name, now) {
		for _, i := range q.queue.Refresh(now, q.overhead, q.capacity) {
			p.refuse(q, i.Value, reservation.ReasonWaitTooLong, now)
		}
		p.endOverflow(nil, q, now)
		q.queue.EndPass()
		return
	}
	q.evaluatedAt = now
	p.Chooser.evaluate(pool, now, func(e *evaluation) {
		q.endpoints = e.endpoints()
		overhead, found := e.overhead()
		if !found {
			for _, i := range q.queue.Items() {
				p.end(q, i.Value, Choice{}, e.refuseEmpty(i.Value.need, i.Value.role))
			}
			return
		}
		q.overhead, q.capacity = overhead, e.capacity()
		for _, i := range q.queue.Refresh(now, q.overhead, q.capacity) {
			p.placeOrRefuse(e, q, i.Value, reservation.ReasonWaitTooLong)
		}
		for e.hasFreeSlot() {
			i := q.queue.Next()
			if i == nil {
				break
			}
			call := i.Value
			if index, found := e.find(call.need, call.role, acceptance(e, i, overhead)); found {
				p.place(e, q, call, index)
			} else {
				q.queue.Skip(i)
			}
		}
		q.queue.EndPass()
		p.endOverflow(e, q, now)
		q.blocked = !e.hasFreeSlot()
	})
}

// acceptance returns whether a waiting request accepts an endpoint with a free slot: one that meets its objective or, for
// a late request, one with a short backlog of prefill, so that it doesn't wait behind other requests there. It accepts any
// if it could not have met its objective anywhere, since waiting gains it nothing, and if its caller would give up soon.
//
// Load pattern: quick requests wait while long prompts are prefilled at most engines. A late request that takes the free
// slot of an engine with a long backlog is served later than one that waits for the next free engine.
func acceptance(
	e *evaluation, i *waiting.Item[*heldCall], overhead time.Duration,
) func(s *endpointState, firstToken time.Duration) bool {
	left := i.LatestStart.Sub(e.now)
	if !i.Late() {
		toObjective := i.ArrivedAt.Add(i.Objective).Sub(e.now)
		return func(_ *endpointState, firstToken time.Duration) bool {
			return i.Objective <= 0 || firstToken <= toObjective
		}
	}
	if i.NeverInTime(overhead) {
		return func(_ *endpointState, firstToken time.Duration) bool { return firstToken <= left }
	}
	return func(s *endpointState, firstToken time.Duration) bool {
		isLastChance := firstToken+2*passInterval >= left && firstToken <= left
		return s.prefill.wait < i.Objective/2 || isLastChance
	}
}

// endOverflow ends the calls of q.overflow: it places a request at any endpoint with a free slot or refuses it. Without an
// evaluation it refuses them all; the caller holds the lock.
func (p *ChooserSet) endOverflow(e *evaluation, q *waitingPool, now time.Time) {
	for _, o := range q.overflow {
		switch {
		case o.call.hasEnded():
		case e == nil:
			p.refuse(q, o.call, o.reason, now)
		default:
			p.placeOrRefuse(e, q, o.call, o.reason)
		}
	}
	clear(q.overflow)
	q.overflow = q.overflow[:0]
}

// placeOrRefuse places a request that would be refused at any endpoint with a free slot where its first token is still of
// use, or anywhere with a free slot if no other request waits; else it refuses the request. The caller holds the lock.
func (p *ChooserSet) placeOrRefuse(e *evaluation, q *waitingPool, call *heldCall, reason reservation.Reason) {
	left := call.need.LatestStart.Sub(e.now)
	isAlone := q.queue.Len() == 1
	index, found := e.find(call.need, call.role, func(_ *endpointState, firstToken time.Duration) bool {
		return firstToken <= left || isAlone && left > 0
	})
	if !found {
		p.refuse(q, call, reason, e.now)
		return
	}
	p.place(e, q, call, index)
}

// place places the request of a call; the caller holds the lock.
func (p *ChooserSet) place(e *evaluation, q *waitingPool, call *heldCall, index int) {
	q.queue.Place(call.item)
	p.recordPlacement(call, e.place(index, call.need, call.record), e.now)
}
