package sharedload

import (
	"maps"
	"sync"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/ratelimit"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
)

const (
	// coldWait is when to come back to endpoints whose rate is used up.
	coldWait = time.Second
	// queuedPerSlot bounds the attempts that run or wait at an endpoint, relative to its slots.
	queuedPerSlot = 1.5
	// fullWait is when to come back to a pool whose endpoints are all full.
	fullWait = 1500 * time.Millisecond
	// behindWait is when a long prompt is to come back to a pool that could not catch up with it: some lengths of the longest
	// readings that it has to catch up with.
	behindWait = 4 * time.Second
	// longTries bounds the plans that are made for a long prompt until one has an endpoint that takes it.
	longTries = 3
)

// Chooser chooses the endpoints of requests by what it knows to run on them. Load pattern: requests arrive at many entries
// within a few milliseconds; one chooser sees each choice before it takes the next one, so that they don't all go to the
// endpoint that looked idle.
type Chooser struct {
	// State holds the endpoints.
	State *clusterstate.State
	// Views yields what choices are made on.
	Views interface{ View() placement.View }
	// Policy orders endpoints.
	Policy *Policy
	// Rate returns the requests a second that may be sent to an endpoint by choices in a role; false means any.
	Rate func(endpoint fleet.Endpoint, role Role, now time.Time) (float64, bool)

	mu      sync.Mutex
	windows map[windowKey]*ratelimit.Window
}

// windowKey names a window: choices in different roles have rates of their own.
type windowKey struct {
	endpoint fleet.EndpointID
	role     Role
}

// Choose returns the best endpoints of a request and calls note with the choice before the next one is made; an error is a
// *reservation.Refusal.
func (c *Chooser) Choose(need placement.Need, role Role, now time.Time, note func(Choice)) (Choice, error) {
	pool, found := c.Policy.Pool(need.Pool)
	if !found {
		return Choice{}, &reservation.Refusal{Reason: reservation.ReasonNoEndpoint, RetryAfter: fullWait}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	choice, err := c.choose(pool, need, role, now)
	if err == nil {
		note(choice)
	}
	return choice, err
}

// choose returns the best endpoints of a request; the caller holds the lock.
func (c *Chooser) choose(pool routing.Pool, need placement.Need, role Role, now time.Time) (Choice, error) {
	if pool.Engine != nil && !isQuick(pool, need.PromptTokens) {
		return c.chooseLong(pool, need, role, now)
	}
	states := c.Policy.quickOrder(pool, c.Views.View(), need)
	if len(states) == 0 {
		return Choice{}, &reservation.Refusal{Reason: reservation.ReasonNoEndpoint, RetryAfter: fullWait}
	}
	refusal := &reservation.Refusal{Reason: reservation.ReasonQueueFull, RetryAfter: fullWait}
	for i := range states {
		if refused := c.admit(&states[i], role, now); refused != nil {
			refusal = moreHopeful(refusal, refused)
			continue
		}
		return quickChoice(pool, &states[i], need), nil
	}
	return Choice{}, refusal
}

// chooseLong returns the best endpoints of a long prompt; the caller holds the lock.
func (c *Chooser) chooseLong(pool routing.Pool, need placement.Need, role Role, now time.Time) (Choice, error) {
	if len(c.Policy.states(c.Views.View(), need)) == 0 {
		return Choice{}, &reservation.Refusal{Reason: reservation.ReasonNoEndpoint, RetryAfter: fullWait}
	}
	refusal := &reservation.Refusal{Reason: reservation.ReasonPoolBehind, RetryAfter: behindWait}
	need.Excluded = maps.Clone(need.Excluded)
	for range longTries {
		plan, found := c.Policy.longPlan(pool, c.Views.View(), need)
		if !found {
			break
		}
		refused := c.admit(&plan.first, role, now)
		if refused == nil {
			return longChoice(pool, plan, need), nil
		}
		refusal = moreHopeful(refusal, refused)
		if need.Excluded == nil {
			need.Excluded = make(map[fleet.EndpointID]bool)
		}
		need.Excluded[plan.first.endpoint.ID] = true
	}
	return Choice{}, refusal
}

// admit counts one more request to an endpoint, or returns why it takes none; the caller holds the lock.
func (c *Chooser) admit(s *state, role Role, now time.Time) *reservation.Refusal {
	slots := s.endpoint.Slots
	if slots > 0 && float64(s.usage.Running) >= queuedPerSlot*float64(slots) {
		return &reservation.Refusal{Reason: reservation.ReasonQueueFull, RetryAfter: fullWait}
	}
	if !c.withinRate(s.endpoint, role, now) {
		return &reservation.Refusal{Reason: reservation.ReasonCold, RetryAfter: coldWait}
	}
	return nil
}

// moreHopeful returns the refusal of an endpoint that takes requests again sooner: a rate that is used up comes back
// within a second.
func moreHopeful(a, b *reservation.Refusal) *reservation.Refusal {
	if b.Reason == reservation.ReasonCold {
		return b
	}
	return a
}

// withinRate counts one more request to an endpoint, unless its rate is used up; the caller holds the lock.
func (c *Chooser) withinRate(endpoint fleet.Endpoint, role Role, now time.Time) bool {
	rate, bounded := c.Rate(endpoint, role, now)
	if !bounded {
		return true
	}
	if c.windows == nil {
		c.windows = make(map[windowKey]*ratelimit.Window)
	}
	key := windowKey{endpoint: endpoint.ID, role: role}
	window, found := c.windows[key]
	if !found {
		c.forgetGone()
		window = &ratelimit.Window{}
		c.windows[key] = window
	}
	return window.Allow(rate, now)
}

// forgetGone drops the windows of endpoints that are listed no more; the caller holds the lock.
func (c *Chooser) forgetGone() {
	listed := c.State.Endpoints.Snapshot().Rows
	maps.DeleteFunc(c.windows, func(key windowKey, _ *ratelimit.Window) bool {
		_, found := listed[key.endpoint]
		return !found
	})
}

// quickChoice returns the choice of one endpoint alone.
func quickChoice(pool routing.Pool, s *state, need placement.Need) Choice {
	usage := Usage{Running: 1, Memory: need.PromptTokens + need.MaxTokens}
	choice := Choice{Endpoint: s.endpoint.ID}
	if pool.Engine != nil {
		choice.PrefillTime = pool.Engine.PrefillTime(need.PromptTokens)
		choice.Predicted = s.wait(pool) + choice.PrefillTime + s.pass(pool)
		usage.Quick = 1
		usage.ValueByPause = stakeOf(pool, need.PromptTokens, need.PauseObjective)
	}
	choice.Usage = map[fleet.EndpointID]Usage{s.endpoint.ID: usage}
	return choice
}

// longChoice returns the choice of a plan.
func longChoice(pool routing.Pool, plan reading, need placement.Need) Choice {
	first := plan.first.endpoint.ID
	usage := Usage{Running: 1, Memory: need.PromptTokens + need.MaxTokens, ValueByPause: stakeOf(pool, need.PromptTokens, need.PauseObjective)}
	choice := Choice{
		Endpoint:     first,
		HelperMemory: plan.stored,
		PrefillTime:  plan.part,
		Predicted:    plan.done,
		Usage:        make(map[fleet.EndpointID]Usage),
	}
	for i, s := range plan.helpers {
		helper := s.endpoint.ID
		choice.Helpers = append(choice.Helpers, reservation.Helper{Endpoint: helper})
		if plan.stored != nil {
			choice.Usage[helper] = Usage{Memory: plan.stored[i]}
			usage.Memory -= plan.stored[i]
		}
	}
	choice.Usage[first] = usage
	return choice
}
