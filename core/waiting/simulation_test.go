package waiting

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	testStep          = 5 * time.Millisecond
	testOverhead      = 60 * time.Millisecond
	testPrefill       = 30 * time.Millisecond
	testObjective     = 300 * time.Millisecond
	testCallerTimeout = 2 * time.Second
	testSlots         = 300
	testService       = 2 * time.Second
)

// callerState is one caller's request and what became of it.
type callerState struct {
	Request
	arrivedAt time.Time
	placedAt  time.Time
	refusedAt time.Time
}

// inTime reports whether the request met its objective.
func (c *callerState) inTime() bool {
	return !c.placedAt.IsZero() && !c.placedAt.Add(testPrefill+testOverhead).After(c.arrivedAt.Add(testObjective))
}

// pool is a simulated pool in virtual time: each placement occupies a slot for a time. blocked stops the
// placements, as long prefills do.
type pool struct {
	queue    Queue[*callerState]
	random   *rand.Rand
	now      time.Time
	started  time.Time
	slots    int
	blocked  func(at time.Duration) bool
	ends     []time.Time
	callers  []*callerState
	returns  []*callerState
	placedIn map[bool]int
	// forLate counts the placements while late requests waited, and late those of late requests.
	forLate, late int
}

// newPool returns an idle pool of testSlots slots.
func newPool(seed uint64) *pool {
	started := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return &pool{
		random: rand.New(rand.NewPCG(seed, 1)), now: started, started: started, slots: testSlots,
		placedIn: make(map[bool]int),
	}
}

// run advances the pool; arrivals returns the accounts of the requests that arrive in a step. returning makes each
// refused caller return once, after the stated delay.
func (p *pool) run(span time.Duration, returning bool, arrivals func(at time.Duration) []fleet.AccountID) {
	for end := p.now.Add(span); p.now.Before(end); p.now = p.now.Add(testStep) {
		p.ends = deleteEnded(p.ends, p.now)
		var left []*callerState
		for _, c := range p.returns {
			if c.ArrivedAt.After(p.now) {
				left = append(left, c)
				continue
			}
			p.arrive(c, false)
		}
		p.returns = left
		for _, account := range arrivals(p.now.Sub(p.started)) {
			p.arrive(&callerState{Request: Request{
				Account: account, Prompt: 5000, Output: 500, PrefillTime: testPrefill, ArrivedAt: p.now,
				Objective: testObjective, LatestStart: p.now.Add(testCallerTimeout),
			}}, returning)
		}
		p.pass()
	}
}

// arrive adds a request, or refuses it if it can no longer be served in time or the queue is full.
func (p *pool) arrive(c *callerState, returning bool) {
	c.arrivedAt = p.now
	p.callers = append(p.callers, c)
	if !p.queue.Full(c.Request, p.now) && !p.queue.Predict(c.Request, p.now).Start.After(c.LatestStart) {
		p.queue.Add(c.Request, c, p.now)
		return
	}
	if p.queue.Len() == 0 && len(p.ends) < p.slots {
		p.queue.Add(c.Request, c, p.now)
		return
	}
	c.refusedAt = p.now
	if !returning {
		return
	}
	back := c.Request
	back.ArrivedAt = p.now.Add(p.queue.RetryAfter(c.Request, p.now, p.random.Float64()))
	back.LatestStart = back.ArrivedAt.Add(testCallerTimeout)
	back.Returned = true
	p.returns = append(p.returns, &callerState{Request: back})
}

// pass places requests while slots are free.
func (p *pool) pass() {
	capacity := testSlots / testService.Seconds()
	for _, i := range p.queue.Refresh(p.now, testOverhead, capacity) {
		i.Value.refusedAt = p.now
		p.queue.Remove(i)
	}
	for len(p.ends) < p.slots && (p.blocked == nil || !p.blocked(p.now.Sub(p.started))) {
		i := p.queue.Next()
		if i == nil {
			break
		}
		if p.queue.lateWaiting() > 0 {
			p.forLate++
		}
		if i.Late() {
			p.late++
		}
		i.Value.placedAt = p.now
		p.queue.Place(i)
		p.ends = append(p.ends, p.now.Add(testService/2+time.Duration(p.random.Float64()*float64(testService))))
	}
	p.queue.EndPass()
}

// deleteEnded removes the ends of answers that have passed.
func deleteEnded(ends []time.Time, now time.Time) []time.Time {
	var left []time.Time
	for _, e := range ends {
		if e.After(now) {
			left = append(left, e)
		}
	}
	return left
}

// poisson returns a number of arrivals in one step at a rate per second.
func (p *pool) poisson(perSecond float64) int {
	count, remaining := 0, p.random.ExpFloat64()
	for mean := perSecond * testStep.Seconds(); remaining < mean; remaining += p.random.ExpFloat64() {
		count++
	}
	return count
}

// uniform returns arrivals at a rate per second from a number of accounts with equal demand.
func (p *pool) uniform(perSecond float64, accounts int) []fleet.AccountID {
	var all []fleet.AccountID
	for range p.poisson(perSecond) {
		all = append(all, fleet.AccountID(fmt.Sprintf("account-%d", p.random.IntN(accounts))))
	}
	return all
}

// share returns the share of the callers that match in the ones that are selected.
func (p *pool) share(selected, match func(c *callerState) bool) float64 {
	all, matching := 0, 0
	for _, c := range p.callers {
		if !selected(c) {
			continue
		}
		all++
		if match(c) {
			matching++
		}
	}
	return float64(matching) / float64(max(1, all))
}
