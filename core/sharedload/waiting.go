package sharedload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
	"wisteriadyke/core/waiting"
)

const (
	// holdTime is how long a choose call is held at most; with the time on the way it stays below chooseTimeout.
	holdTime = 80 * time.Millisecond
	// passInterval is the interval at which waiting requests are placed without an event, since prefill progresses and
	// endpoints come back without one.
	passInterval = 10 * time.Millisecond
	// minPassInterval is the shortest time between two passes that usage reports cause. Reports arrive some 1,500 times a
	// second, and each pass adds up the usage of all entries.
	minPassInterval = 5 * time.Millisecond
)

// maxEvaluationAge is the time after which the endpoints are evaluated again although none has a free slot: their pass
// times and their number change little within it.
const maxEvaluationAge = reportPeriod

// heldCall is a choose call whose request waits for an endpoint.
type heldCall struct {
	need   placement.Need
	role   Role
	record func(Choice)
	pool   routing.Pool
	item   *waiting.Item[*heldCall]
	// predictedStart is when the first token was predicted when the call began.
	predictedStart time.Time
	// done is closed once choice or err is set.
	done   chan struct{}
	choice Choice
	err    error
}

// hasEnded reports whether the call has a choice or an error.
func (c *heldCall) hasEnded() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// waitingPool holds the waiting requests of one pool.
type waitingPool struct {
	queue waiting.Queue[*heldCall]
	// passedAt is the time of the latest pass. blocked reports whether it left no free slot, and endpoints holds the
	// endpoints that it found.
	passedAt  time.Time
	blocked   bool
	endpoints []fleet.EndpointID
	// evaluatedAt is when the endpoints were last evaluated; overhead and capacity are the results for Refresh.
	evaluatedAt time.Time
	overhead    time.Duration
	capacity    float64
}

// waitingCalls holds the calls whose requests wait at this entry as their chooser. There is no other state of a waiting
// request here: it is lost with the call, and the entry that made the call asks again.
type waitingCalls struct {
	mu    sync.Mutex
	pools map[fleet.PoolName]*waitingPool
	// count is the number of held calls. ticker runs a pass each passInterval while there are any.
	count   int
	ticker  *time.Timer
	ticking bool
}

// choose makes the choice for a request of this or another entry and calls record with it. A quick request of a
// contended pool that may wait gets an endpoint with a free slot that meets its objective. Without one, its call is
// held for up to holdTime; the choice is then that it has to wait.
//
// Load pattern: all slots of most engines are taken. A request that queues at one of them is late even if another
// engine frees a slot a moment later.
func (p *ChooserSet) choose(ctx context.Context, need placement.Need, role Role, record func(Choice)) (Choice, error) {
	pool, found := p.Chooser.Policy.Pool(need.Pool)
	if !found || !mayHold(pool, need) {
		return p.Chooser.Choose(need, role, time.Now(), record)
	}
	if need.ArrivedAt.IsZero() {
		need.ArrivedAt = time.Now()
	}
	call := &heldCall{need: need, role: role, record: record, pool: pool, done: make(chan struct{})}
	p.startCall(call)
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-call.done:
		return call.choice, call.err
	case <-ctx.Done():
	case <-timer.C:
	}
	p.stopCall(call)
	return call.choice, call.err
}

// mayHold reports whether the call for a request may be held.
func mayHold(pool routing.Pool, need placement.Need) bool {
	return pool.Contended && need.MayWait && pool.Engine != nil && isQuick(pool, need.PromptTokens) &&
		!need.LatestStart.IsZero()
}

// startCall adds a call to the queue of its pool and places waiting requests. It refuses the request of the call if
// that is hopeless or the queue is full, unless it can be placed after all.
func (p *ChooserSet) startCall(call *heldCall) {
	now := time.Now()
	w := &p.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.pool(call.need.Pool)
	request := waitingRequest(call.pool, call.need)
	isFirst := now.Sub(call.need.ArrivedAt) < holdTime
	full := w.count >= waiting.MaxLength || isFirst && q.queue.Full(request, now)
	prediction := q.queue.Predict(request, now)
	call.predictedStart = prediction.Start
	call.item = q.queue.Add(request, call, now)
	w.count++
	p.recordWaiting(call, q)
	if !q.blocked || now.Sub(q.passedAt) >= minPassInterval {
		p.pass(q, call.pool, now)
	}
	switch {
	case call.hasEnded():
		return
	case excludesAll(q.endpoints, call.need):
		p.end(q, call, Choice{}, p.Chooser.refuseEmpty(call.need, call.role, now))
	case now.After(call.need.LatestStart):
		p.refuse(q, call, reservation.ReasonWaitTooLong, now)
	case full:
		p.placeAnywhereOrRefuse(q, call, reservation.ReasonWaitingFull, now)
	case isFirst && prediction.Start.After(call.need.LatestStart):
		p.placeAnywhereOrRefuse(q, call, reservation.ReasonWaitTooLong, now)
	default:
		if isFirst {
			p.logWaitBegun(call, q, prediction, now)
		}
		w.startTicking(p.tick)
	}
}

// stopCall takes a call out of the queue if it has not ended: its request has to wait for longer, or its entry is gone.
func (p *ChooserSet) stopCall(call *heldCall) {
	w := &p.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	if call.hasEnded() {
		return
	}
	predicted := max(0, time.Until(call.predictedStart))
	p.end(w.pool(call.need.Pool), call, Choice{Waiting: true, PredictedStart: predicted}, nil)
}

// placeWaiting places waiting requests unless it was just done.
func (p *ChooserSet) placeWaiting(now time.Time) {
	w := &p.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count == 0 {
		return
	}
	for name, q := range w.pools {
		if q.queue.Len() == 0 || now.Sub(q.passedAt) < minPassInterval {
			continue
		}
		pool, found := p.Chooser.Policy.Pool(name)
		if !found {
			for _, i := range q.queue.Items() {
				p.end(q, i.Value, Choice{}, &reservation.Refusal{Reason: reservation.ReasonNoEndpoint, RetryAfter: fullRetryAfter})
			}
			continue
		}
		p.pass(q, pool, now)
	}
}

// tick places waiting requests and arranges the next tick while there are any.
func (p *ChooserSet) tick() {
	p.placeWaiting(time.Now())
	w := &p.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ticking = w.count > 0
	if w.ticking {
		w.ticker.Reset(passInterval)
	}
}

// pass evaluates the endpoints of a pool once and places requests in the order of the queue while slots are free. It
// refuses the requests that have become hopeless; the caller holds the lock.
func (p *ChooserSet) pass(q *waitingPool, pool routing.Pool, now time.Time) {
	q.passedAt = now
	if q.blocked && now.Sub(q.evaluatedAt) < maxEvaluationAge &&
		!p.Chooser.Policy.hasFreeSlot(p.Chooser.Views.View(), pool.Name, now) {
		for _, i := range q.queue.Refresh(now, q.overhead, q.capacity) {
			p.refuse(q, i.Value, reservation.ReasonWaitTooLong, now)
		}
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
		q.blocked = !e.hasFreeSlot()
	})
}

// acceptance returns whether a waiting request accepts an endpoint with a free slot: one that meets its objective or,
// for a late request, one with a short backlog of prefill, so that it doesn't wait behind other requests there. It
// accepts any if it could not have met its objective anywhere, since waiting gains it nothing, and if its caller would
// give up soon.
//
// Load pattern: quick requests wait while long prompts are prefilled at most engines. A late request that takes the
// free slot of an engine with a long backlog is served later than one that waits for the next free engine.
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
		return s.usage.PrefillTime < i.Objective/2 || isLastChance
	}
}

// placeAnywhereOrRefuse places a request that would be refused at any endpoint with a free slot, or refuses it; the
// caller holds the lock.
func (p *ChooserSet) placeAnywhereOrRefuse(q *waitingPool, call *heldCall, reason reservation.Reason, now time.Time) {
	if q.blocked {
		p.refuse(q, call, reason, now)
		return
	}
	p.Chooser.evaluate(call.pool, now, func(e *evaluation) { p.placeOrRefuse(e, q, call, reason) })
}

// placeOrRefuse places a request that would be refused at any endpoint with a free slot where its first token is still
// of use, or anywhere with a free slot if no other request waits; else it refuses the request. The caller holds the
// lock.
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

// refuse refuses the request of a call with the time until the queue has drained; the caller holds the lock.
func (p *ChooserSet) refuse(q *waitingPool, call *heldCall, reason reservation.Reason, now time.Time) {
	retryAfter := q.queue.RetryAfter(call.item.Request, now, rand.Float64())
	p.end(q, call, Choice{}, &reservation.Refusal{
		Reason: reason, RetryAfter: retryAfter, PredictedStart: call.predictedStart,
	})
}

// end takes a call without a placement out of the queue and ends it with its result; the caller holds the lock.
func (p *ChooserSet) end(q *waitingPool, call *heldCall, choice Choice, refusal *reservation.Refusal) {
	q.queue.Remove(call.item)
	if refusal != nil {
		call.err = refusal
		p.recordQueueRefusal(call, refusal)
	}
	call.choice = choice
	p.finish(call)
}

// finish ends a call that is no longer in the queue; the caller holds the lock.
func (p *ChooserSet) finish(call *heldCall) {
	p.waiting.count--
	p.recordWaiting(call, p.waiting.pool(call.need.Pool))
	close(call.done)
}

// pool returns the waiting requests of a pool; the caller holds the lock.
func (w *waitingCalls) pool(name fleet.PoolName) *waitingPool {
	q, found := w.pools[name]
	if !found {
		if w.pools == nil {
			w.pools = make(map[fleet.PoolName]*waitingPool)
		}
		q = &waitingPool{}
		w.pools[name] = q
	}
	return q
}

// startTicking calls tick after passInterval unless that is arranged already; the caller holds the lock.
func (w *waitingCalls) startTicking(tick func()) {
	switch {
	case w.ticking:
	case w.ticker == nil:
		w.ticker = time.AfterFunc(passInterval, tick)
	default:
		w.ticker.Reset(passInterval)
	}
	w.ticking = true
}

// waitingRequest returns the request of a need as the queue orders it.
func waitingRequest(pool routing.Pool, need placement.Need) waiting.Request {
	output := need.ExpectedOutput
	if output <= 0 {
		output = pool.Engine.MeanOutput
	}
	return waiting.Request{
		Account:     need.Account,
		Weight:      need.Weight,
		Rank:        need.Rank,
		Prompt:      need.PromptTokens,
		Output:      output,
		PrefillTime: pool.Engine.PrefillTime(need.PromptTokens),
		ArrivedAt:   need.ArrivedAt,
		Objective:   need.Objective,
		LatestStart: need.LatestStart,
		Returned:    need.WaitedAfterRefusal,
	}
}
