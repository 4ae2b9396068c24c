package sharedload

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/ratelimit"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
)

const (
	// coldRetryAfter is the retry delay for a request that is refused because an endpoint's rate limit is reached.
	coldRetryAfter = time.Second
	// maxAttemptsPerSlot is the number of running and waiting attempts per slot from which an endpoint is full.
	maxAttemptsPerSlot = 1.5
	// fullRetryAfter is the retry delay for a pool that is unknown or has no usable endpoints or only full ones, and
	// for a request whose chosen endpoints are unusable or don't lease the memory.
	fullRetryAfter = 1500 * time.Millisecond
	// behindRetryAfter is the retry delay for a long prompt that the pool has no capacity for: a few times the duration of
	// the longest prefills, which have to finish first.
	behindRetryAfter = 4 * time.Second
	// limitBurst is the time whose requests an endpoint with a limit may get at once.
	limitBurst = 250 * time.Millisecond
	// maxLimitRetryAfter bounds the retry delay for a request that is refused because the limits that endpoints state are
	// reached; a limit may end at any time.
	maxLimitRetryAfter = 2 * time.Second
	// maxLongPlans bounds the plans that are tried for a long prompt; another one is made if the decoder of a plan
	// is full or its rate limit is reached.
	maxLongPlans = 3
)

// Chooser chooses endpoints for requests by the usage of the endpoints.
//
// Load pattern: requests arrive at many entries within a few milliseconds. One chooser records each choice before it
// makes the next one, so that the requests don't all go to the same idle endpoint.
type Chooser struct {
	// State holds the listed endpoints.
	State *clusterstate.State
	// Views provides the view that choices are based on.
	Views interface{ View() placement.View }
	// Policy orders the endpoints.
	Policy *Policy
	// Rate returns the requests per second that may be sent to an endpoint by choices in a role; false means no limit.
	Rate func(endpoint fleet.Endpoint, role Role, now time.Time) (float64, bool)
	// Limits holds the limits that endpoints state; nil means that there are none.
	Limits *ratelimit.Limits
	// LimitRate returns the requests per second, out of the limit that an endpoint states, that may be sent by choices in
	// a role; false means no limit. It is required with Limits.
	LimitRate func(endpoint fleet.Endpoint, role Role) (float64, bool)

	// Phase returns the part, in [0, 1), of the time between two requests after which this entry sends its first one where it
	// uses a part of a rate; all entries have different phases. Nil means a random one.
	Phase func() float64

	// mu is held while a choice is made and recorded.
	mu      sync.Mutex
	windows map[windowKey]*ratelimit.Window
	buckets map[windowKey]*rate.Limiter
	// spared counts the choices instead of a lost endpoint.
	spared atomic.Int64
}

// windowKey identifies a rate window or a bucket; choices in different roles have separate rates.
type windowKey struct {
	endpoint fleet.EndpointID
	role     Role
}

// Choose chooses an endpoint for a request, with its helpers if the prompt is long, and calls record with the choice
// before it makes the next one; an error is a *reservation.Refusal.
func (c *Chooser) Choose(need placement.Need, role Role, now time.Time, record func(Choice)) (Choice, error) {
	pool, found := c.Policy.Pool(need.Pool)
	if !found {
		return Choice{}, &reservation.Refusal{Reason: reservation.ReasonNoEndpoint, RetryAfter: fullRetryAfter}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	choice, err := c.choose(pool, need, role, now)
	if err != nil {
		return Choice{}, err
	}
	c.addLimit(&choice)
	if choice.replacesLost {
		c.spared.Add(1)
	}
	if pool.Contended && c.Policy.Paces != nil {
		choice.Predicted = c.Policy.Paces.Corrected(choice.Predicted)
	}
	record(choice)
	c.Policy.recordChoice(pool, need, choice, now)
	return choice, nil
}

// addLimit adds to a choice what its endpoint last said of its limit.
func (c *Chooser) addLimit(choice *Choice) {
	if c.Limits == nil {
		return
	}
	if statement, found := c.Limits.Known(choice.Endpoint); found {
		choice.Limit = &statement
	}
}

// choose chooses an endpoint for a request, with its helpers if the prompt is long; the caller holds the lock.
func (c *Chooser) choose(pool routing.Pool, need placement.Need, role Role, now time.Time) (Choice, error) {
	if pool.Engine != nil && !isQuick(pool, need.PromptTokens) {
		return c.chooseLong(pool, need, role, now)
	}
	states := c.Policy.orderQuick(pool, c.Views.View(), need)
	if len(states) == 0 {
		return Choice{}, c.refuseEmpty(need, role, now)
	}
	refusal := &reservation.Refusal{Reason: reservation.ReasonQueueFull, RetryAfter: fullRetryAfter}
	for i := range states {
		if refused := c.admit(&states[i], role, now); refused != nil {
			refusal = preferRateRefusal(refusal, refused)
			continue
		}
		if pool.Contended {
			// Requests that wait at the chooser don't count: the order of the queue protects them, and endpoints kept free
			// for them as well would make long prompts late.
			c.Policy.demand.countQuick(pool.Name, now)
		}
		return quickChoice(pool, &states[i], need), nil
	}
	return Choice{}, refusal
}

// chooseLong chooses an endpoint and its helpers for a long prompt; the caller holds the lock.
func (c *Chooser) chooseLong(pool routing.Pool, need placement.Need, role Role, now time.Time) (Choice, error) {
	if len(c.Policy.endpointStates(c.Views.View(), need)) == 0 {
		return Choice{}, c.refuseEmpty(need, role, now)
	}
	refusal := &reservation.Refusal{Reason: reservation.ReasonPoolBehind, RetryAfter: behindRetryAfter}
	need.Excluded = maps.Clone(need.Excluded)
	for range maxLongPlans {
		plan, found := c.Policy.planLong(pool, c.Views.View(), need)
		if !found {
			break
		}
		refused := c.admitLong(&plan.decoder, need, role, now)
		if refused == nil {
			return longChoice(pool, plan, need), nil
		}
		refusal = preferRateRefusal(refusal, refused)
		if need.Excluded == nil {
			need.Excluded = make(map[fleet.EndpointID]bool)
		}
		need.Excluded[plan.decoder.endpoint.ID] = true
	}
	return Choice{}, refusal
}

// refuseEmpty returns the refusal of a request that has no endpoint left to choose, and logs whether the entry that needs
// one excludes the endpoints of the pool or this entry doesn't use them.
func (c *Chooser) refuseEmpty(need placement.Need, role Role, now time.Time) *reservation.Refusal {
	view := c.Views.View()
	inPool, excluded, unusable := 0, 0, 0
	for id, endpoint := range view.Endpoints {
		if endpoint.Pool != need.Pool || !inService(view, endpoint) {
			continue
		}
		inPool++
		if need.Excluded[id] {
			excluded++
		}
		if !c.Policy.choosable(endpoint, now) {
			unusable++
		}
	}
	c.Policy.Log.Info().
		Str("request", string(need.Request)).
		Str("pool", string(need.Pool)).
		Str("role", role.String()).
		Int("in_service", inPool).
		Int("excluded_by_request", excluded).
		Int("unusable_for_chooser", unusable).
		Msg("sharedload: no endpoint left to choose")
	return &reservation.Refusal{Reason: reservation.ReasonNoEndpoint, RetryAfter: fullRetryAfter}
}

// admit counts a request against the rate of an endpoint, or returns a refusal if the endpoint has
// maxAttemptsPerSlot attempts for each slot or its rate limit is reached; the caller holds the lock.
func (c *Chooser) admit(s *endpointState, role Role, now time.Time) *reservation.Refusal {
	slots := s.endpoint.Slots
	if slots > 0 && float64(s.usage.Running) >= maxAttemptsPerSlot*float64(slots) {
		return &reservation.Refusal{Reason: reservation.ReasonQueueFull, RetryAfter: fullRetryAfter}
	}
	bucket, limited := c.limitBucket(s.endpoint, role, now)
	if limited && bucket.TokensAt(now) < 1 {
		return &reservation.Refusal{Reason: reservation.ReasonRateLimited, RetryAfter: limitRetryAfter(bucket, now)}
	}
	if !c.consumeRate(s.endpoint, role, now) {
		return &reservation.Refusal{Reason: reservation.ReasonCold, RetryAfter: coldRetryAfter}
	}
	if limited {
		bucket.AllowN(now, 1)
	}
	return nil
}

// admitLong is admit for the decoder of a long prompt, which needs a free slot if need.FreeSlotOnly is set; the caller
// holds the lock.
//
// Load pattern: more urgent quick requests wait for a free slot. Long prompts that queue at the engines would take the
// slots that become free before the requests that wait for them.
func (c *Chooser) admitLong(s *endpointState, need placement.Need, role Role, now time.Time) *reservation.Refusal {
	if need.FreeSlotOnly && !isSlotFree(s) {
		return &reservation.Refusal{Reason: reservation.ReasonQueueFull, RetryAfter: fullRetryAfter}
	}
	return c.admit(s, role, now)
}

// preferRateRefusal returns b if a reached rate (ReasonCold) or limit (ReasonRateLimited) caused it, since such refusals
// have the shortest retry delays, else a. Of two limits it returns the refusal with the shorter delay.
func preferRateRefusal(a, b *reservation.Refusal) *reservation.Refusal {
	switch {
	case b.Reason == reservation.ReasonCold:
		return b
	case b.Reason != reservation.ReasonRateLimited:
		return a
	case a.Reason == reservation.ReasonRateLimited && a.RetryAfter <= b.RetryAfter:
		return a
	default:
		return b
	}
}

// limitBucket returns the token bucket of an endpoint that states a limit; it reports false for others. The bucket begins
// with one request if the choices of the role may use the whole limit. Else its first request is allowed after a part of
// the time between two, since many entries may begin to choose for themselves at the same time. The caller holds the lock.
func (c *Chooser) limitBucket(endpoint fleet.Endpoint, role Role, now time.Time) (*rate.Limiter, bool) {
	if c.Limits == nil {
		return nil, false
	}
	perSecond, limited := c.LimitRate(endpoint, role)
	key := windowKey{endpoint: endpoint.ID, role: role}
	bucket, found := c.buckets[key]
	if !limited {
		delete(c.buckets, key)
		return nil, false
	}
	burst := max(1, int(perSecond*limitBurst.Seconds()))
	if !found {
		if c.buckets == nil {
			c.buckets = make(map[windowKey]*rate.Limiter)
		}
		c.dropUnlisted()
		bucket = rate.NewLimiter(rate.Limit(perSecond), burst)
		switch limit, _ := c.Limits.Limit(endpoint); {
		case perSecond >= limit:
			bucket.AllowN(now, burst-1)
		case perSecond > 0:
			bucket.AllowN(now.Add(-ratelimit.Elapsed(perSecond, c.phase())), burst)
		default:
			bucket.AllowN(now, burst)
		}
		c.buckets[key] = bucket
	}
	if bucket.Limit() != rate.Limit(perSecond) {
		bucket.SetLimitAt(now, rate.Limit(perSecond))
		bucket.SetBurstAt(now, burst)
	}
	return bucket, true
}

// limitRetryAfter returns the time until a bucket allows the next request, at most maxLimitRetryAfter.
func limitRetryAfter(bucket *rate.Limiter, now time.Time) time.Duration {
	missing := 1 - bucket.TokensAt(now)
	if missing >= maxLimitRetryAfter.Seconds()*float64(bucket.Limit()) {
		return maxLimitRetryAfter
	}
	return time.Duration(missing / float64(bucket.Limit()) * float64(time.Second))
}

// consumeRate counts a request against the rate of an endpoint and reports whether the rate allows it; the caller holds
// the lock.
func (c *Chooser) consumeRate(endpoint fleet.Endpoint, role Role, now time.Time) bool {
	perSecond, limited := c.Rate(endpoint, role, now)
	if !limited {
		return true
	}
	if c.windows == nil {
		c.windows = make(map[windowKey]*ratelimit.Window)
	}
	key := windowKey{endpoint: endpoint.ID, role: role}
	window, found := c.windows[key]
	if !found {
		c.dropUnlisted()
		window = ratelimit.NewWindow(perSecond, c.phase(), now)
		c.windows[key] = window
	}
	return window.Allow(perSecond, now)
}

// phase returns the phase of this entry.
func (c *Chooser) phase() float64 {
	if c.Phase == nil {
		return rand.Float64()
	}
	return c.Phase()
}

// dropUnlisted drops the windows and buckets of endpoints that are no longer listed; the caller holds the lock.
func (c *Chooser) dropUnlisted() {
	listed := c.State.Endpoints.Snapshot().Rows
	maps.DeleteFunc(c.windows, func(key windowKey, _ *ratelimit.Window) bool {
		_, found := listed[key.endpoint]
		return !found
	})
	maps.DeleteFunc(c.buckets, func(key windowKey, _ *rate.Limiter) bool {
		_, found := listed[key.endpoint]
		return !found
	})
}

// quickChoice returns the choice of a single endpoint for a quick request or a call to a plain service.
func quickChoice(pool routing.Pool, s *endpointState, need placement.Need) Choice {
	usage := Usage{Running: 1, Memory: need.PromptTokens + need.MaxTokens}
	choice := Choice{Endpoint: s.endpoint.ID, replacesLost: s.replacesLost}
	if pool.Engine != nil {
		choice.PrefillTime = s.atPace(pool.Engine.PrefillTime(need.PromptTokens))
		choice.passTime, choice.pace, choice.prefillWait = s.passTime(pool), s.pace, s.prefill.wait
		choice.Predicted = s.prefillWait(pool) + choice.PrefillTime + s.passTime(pool)
		usage.Quick = 1
		usage.ValueByPause = valueByPauseOf(pool, valueOf(pool, need), need.PauseObjective)
	}
	choice.Usages = map[fleet.EndpointID]Usage{s.endpoint.ID: usage}
	return choice
}

// longChoice returns the choice for a plan. Memory leased at helpers counts as their usage instead of that of the
// decoder.
func longChoice(pool routing.Pool, plan prefillPlan, need placement.Need) Choice {
	decoder := plan.decoder.endpoint.ID
	usage := Usage{
		Running:      1,
		Memory:       need.PromptTokens + need.MaxTokens,
		ValueByPause: valueByPauseOf(pool, valueOf(pool, need), need.PauseObjective),
	}
	choice := Choice{
		Endpoint:     decoder,
		HelperMemory: plan.helperMemory,
		PrefillTime:  plan.prefillTime,
		passTime:     plan.decoder.passTime(pool),
		pace:         plan.decoder.pace,
		prefillWait:  plan.decoder.prefill.wait,
		Predicted:    plan.firstToken,
		Usages:       make(map[fleet.EndpointID]Usage),

		replacesLost: plan.decoder.replacesLost,
	}
	for i, s := range plan.helpers {
		helper := s.endpoint.ID
		choice.Helpers = append(choice.Helpers, reservation.Helper{Endpoint: helper})
		if plan.helperMemory != nil {
			choice.Usages[helper] = Usage{Memory: plan.helperMemory[i]}
			usage.Memory -= plan.helperMemory[i]
		}
	}
	choice.Usages[decoder] = usage
	return choice
}
