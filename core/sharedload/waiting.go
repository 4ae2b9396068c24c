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
	// holdTime is how long a choose call is held at most, from its receipt. It leaves 40 ms of chooseTimeout for the way: with
	// 4.9 ms one way between zones, a call over a new connection takes 19.6 ms, and a busy entry answers later.
	holdTime = 60 * time.Millisecond
	// askInterval is the shortest interval at which an entry asks for a request that waits, which bounds its messages to
	// 12.5 a second for each.
	askInterval = 80 * time.Millisecond
	// passInterval is the interval at which waiting requests are placed without an event, since prefill progresses and
	// endpoints come back without one.
	passInterval = 10 * time.Millisecond
	// minPassInterval is the shortest time between two passes that usage reports cause. Reports arrive some 1,500 times a
	// second, and each pass adds up the usage of all entries.
	minPassInterval = 5 * time.Millisecond
	// maxTickDelay is the delay of a tick from which this entry was frozen: more than a busy machine causes, and less than
	// the peerTTL after which the usage reports have expired and full endpoints look free.
	maxTickDelay = 200 * time.Millisecond
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
	// ctx ends with the call, and receivedAt is when it was received.
	ctx        context.Context
	receivedAt time.Time
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

// isAbandoned reports whether the entry that made the call no longer waits for the reply: it has gone, or asks another
// chooser after chooseTimeout.
//
// Load pattern: a chooser freezes while it holds calls. A placement for one of them would take a slot for nobody.
func (c *heldCall) isAbandoned(now time.Time) bool {
	return c.ctx.Err() != nil || now.Sub(c.receivedAt) > chooseTimeout
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
	// overflow holds the calls that the next pass refuses if it can't place them anywhere.
	overflow []overflowCall
}

// overflowCall is a call whose request is refused for a reason unless an endpoint with a free slot is found.
type overflowCall struct {
	call   *heldCall
	reason reservation.Reason
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
	// tickedAt is when the latest tick ran or the first one was arranged. Nothing is placed before resumesAt, by which the
	// entries have reported again after a freeze of this one.
	tickedAt, resumesAt time.Time
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
		need.FreeSlotOnly = found && pool.Contended && p.waitsUpToRank(need.Pool, need.Rank)
		return p.Chooser.Choose(need, role, time.Now(), record)
	}
	receivedAt := time.Now()
	if need.ArrivedAt.IsZero() {
		need.ArrivedAt = receivedAt
	}
	call := &heldCall{
		need: need, role: role, record: record, pool: pool, ctx: ctx, receivedAt: receivedAt, done: make(chan struct{}),
	}
	if call.isAbandoned(receivedAt) {
		return Choice{Waiting: true}, nil
	}
	p.startCall(call)
	timer := time.NewTimer(holdTime - time.Since(receivedAt))
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

// waitsUpToRank reports whether any request of a rank, or of a more urgent one, waits for an endpoint of a pool.
func (p *ChooserSet) waitsUpToRank(pool fleet.PoolName, rank int) bool {
	w := &p.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.count > 0 && w.pool(pool).queue.LenUpToRank(rank) > 0
}

// mayHold reports whether the call for a request may be held.
func mayHold(pool routing.Pool, need placement.Need) bool {
	return pool.Contended && need.MayWait && pool.Engine != nil && isQuick(pool, need.PromptTokens) &&
		!need.LatestStart.IsZero()
}

// startCall adds a call to the queue of its pool and places waiting requests. If the request can no longer be served in
// time or the queue is full, it is refused, unless the pass finds an endpoint with a free slot for it. The pass is left
// to the next tick if one was made just now and no slot was left, or none that the waiting requests accept.
//
// Load pattern: hundreds of requests wait for a better endpoint than the free ones and ask again every holdTime. With an
// evaluation of the endpoints for each call, a chooser with a fifth of a core would have time for nothing else.
func (p *ChooserSet) startCall(call *heldCall) {
	now := time.Now()
	w := &p.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.pool(call.need.Pool)
	request := waitingRequest(call.pool, call.need)
	isFirst := now.Sub(call.need.ArrivedAt) < holdTime
	isOverLimit := w.count >= waiting.MaxLength
	prediction := q.queue.Predict(request, now)
	call.predictedStart = prediction.Start
	var reason reservation.Reason
	switch {
	case isOverLimit || isFirst && q.queue.Full(request, now):
		reason = reservation.ReasonWaitingFull
	case isFirst && prediction.Start.After(call.need.LatestStart):
		reason = reservation.ReasonWaitTooLong
	}
	skipPass := now.Sub(q.passedAt) < minPassInterval && (q.blocked || q.queue.Len() > 0)
	call.item = q.queue.Add(request, call, now)
	w.count++
	p.recordWaiting(call, q)
	if reason != "" && (!skipPass || !q.blocked && !isOverLimit) {
		q.overflow = append(q.overflow, overflowCall{call: call, reason: reason})
	}
	if !skipPass {
		p.pass(q, call.pool, now)
	}
	switch {
	case call.hasEnded():
		return
	case excludesAll(q.endpoints, call.need):
		p.end(q, call, Choice{}, p.Chooser.refuseEmpty(call.need, call.role, now))
	case now.After(call.need.LatestStart):
		p.refuse(q, call, reservation.ReasonWaitTooLong, now)
	case reason != "" && (q.blocked || isOverLimit):
		p.refuse(q, call, reason, now)
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
	p.endWaiting(w.pool(call.need.Pool), call)
}

// endWaiting ends a call with the choice that its request has to wait; the caller holds the lock.
func (p *ChooserSet) endWaiting(q *waitingPool, call *heldCall) {
	predicted := max(0, time.Until(call.predictedStart))
	p.end(q, call, Choice{Waiting: true, PredictedStart: predicted}, nil)
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
	now := time.Now()
	p.placeWaiting(now)
	w := &p.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ticking, w.tickedAt = w.count > 0, now
	if w.ticking {
		w.ticker.Reset(passInterval)
	}
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
	if !w.ticking {
		w.tickedAt = time.Now()
	}
	switch {
	case w.ticking:
	case w.ticker == nil:
		w.ticker = time.AfterFunc(passInterval, tick)
	default:
		w.ticker.Reset(passInterval)
	}
	w.ticking = true
}

// isSuspended reports whether nothing is placed since this entry was frozen while requests waited; the caller holds the
// lock.
//
// Load pattern: the leader freezes for more than peerTTL. When it goes on, all reports have expired, and all endpoints
// look free.
func (w *waitingCalls) isSuspended(now time.Time) bool {
	if w.ticking && now.Sub(w.tickedAt) > passInterval+maxTickDelay {
		w.tickedAt, w.resumesAt = now, now.Add(reportRenewal)
	}
	return now.Before(w.resumesAt)
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
