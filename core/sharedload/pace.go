package sharedload

import (
	"slices"
	"time"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

// moveTrialFirst moves a slow endpoint that should be tried again to the front: for a request that is late anyway, or for
// any request once the endpoint has had none for longer.
func moveTrialFirst(states []endpointState, need placement.Need) {
	late := need.Objective > 0 && !need.ArrivedAt.IsZero() && time.Since(need.ArrivedAt) > need.Objective
	i := slices.IndexFunc(states, func(s endpointState) bool {
		due := s.pace.TrialDue || late && s.pace.EarlyTrialDue
		return due && !s.recentlyExcluded && !s.limited && s.usage.Running < s.endpoint.Slots
	})
	if i > 0 {
		trial := states[i]
		copy(states[1:i+1], states[:i])
		states[0] = trial
	}
}

// planTrial returns a plan by which a slow endpoint that should be tried again prefills a prompt alone, if the prompt has
// enough slack to be in time there. The pace of an endpoint isn't measured by prompts with helpers.
func planTrial(pool routing.Pool, states []endpointState, need placement.Need) (prefillPlan, bool) {
	if !pool.Contended || need.Objective <= 0 {
		return prefillPlan{}, false
	}
	safe := time.Duration(float64(need.Objective) * routing.SafeShare)
	total := pool.Engine.PrefillTime(need.PromptTokens)
	for i := range states {
		s := &states[i]
		if !s.pace.EarlyTrialDue || s.recentlyExcluded || s.limited ||
			s.freeMemory(pool) < need.PromptTokens+need.MaxTokens {
			continue
		}
		plan, ok := planWith(pool, states[i:i+1], 0, total, need.PromptTokens, need.MaxTokens, need.Objective)
		if ok && plan.firstToken <= safe {
			return plan, true
		}
	}
	return prefillPlan{}, false
}

// markTried records that the endpoint of a choice was chosen, if it may be one that is avoided for its pace.
func (p *Policy) markTried(c Choice, now time.Time) {
	if p.Paces != nil {
		p.Paces.MarkTried(c.Endpoint, now)
	}
}

// stallAfter returns the time without a first token after which a request may be moved to another endpoint, or 0 without
// an estimate: three times the prediction, and at least half of the time for which the caller waits.
//
// Load pattern: quick requests burst until most slots are taken, and first tokens come later than predicted. Attempts that
// are moved then take slots twice, which makes more of them late.
func (e firstTokenEstimate) stallAfter(need placement.Need) time.Duration {
	if e.predicted <= 0 {
		return 0
	}
	shortest := need.Objective
	if !need.LatestStart.IsZero() {
		shortest = max(shortest, need.LatestStart.Sub(need.ArrivedAt)/2)
	}
	return max(stallFactor*e.predicted, shortest)
}

// stallFactor is the multiple of the prediction after which an attempt without a first token counts as stalled; a part of
// the answers of an endpoint that keeps its published times would be moved with a smaller one.
const stallFactor = 3

// logChoice logs the costs by which a choice was made, at the debug level.
func (p *Policy) logChoice(need placement.Need, c Choice) {
	p.Log.Debug().
		Str("request", string(need.Request)).
		Str("endpoint", string(c.Endpoint)).
		Int("helpers", len(c.Helpers)).
		Float64("pace", max(1, c.pace.Pace)).
		Int("samples", c.pace.Samples).
		Dur("prefill_wait_ms", c.prefillWait).
		Dur("predicted_ms", c.Predicted).
		Msg("sharedload: endpoint chosen")
}

// firstTokenEstimate is what a choice predicted for the first token of an attempt.
type firstTokenEstimate struct {
	// endpoints holds the incarnations of the endpoints that prefill the prompt.
	endpoints map[fleet.EndpointID]fleet.Incarnation
	predicted time.Duration
	// pace is the pace by which it was predicted, and at the time of the choice.
	pace float64
	at   time.Time
	// overdue reports whether it was recorded that the first token is overdue.
	overdue bool
}

// overdueFactor is the multiple of the prediction after which a first token that has not arrived shows that an endpoint is
// slow, and overdueMargin is added for reports that are under way. 99 in 100 first tokens arrive within 2.5 times the
// prediction.
const (
	overdueFactor = 2.5
	overdueMargin = 2 * reportPeriod
)

// overdueAfter returns the time without a first token after which it is overdue, or 0 without an estimate.
func (e firstTokenEstimate) overdueAfter() time.Duration {
	if e.predicted <= 0 {
		return 0
	}
	return time.Duration(overdueFactor*float64(e.predicted)) + overdueMargin
}

// firstTokenEstimate returns the estimate of a choice, or the zero value in a pool that is not contended. A prompt with
// helpers counts for all of its endpoints: the engines that mostly prefill parts have no other samples, and an endpoint
// only counts as slow if nearly all of its samples are.
func (g *Reserver) firstTokenEstimate(c Choice, need placement.Need) firstTokenEstimate {
	pool, found := g.Policy.Pool(need.Pool)
	if !found || !pool.Contended || c.Predicted <= 0 || c.PrefillTime <= 0 {
		return firstTokenEstimate{}
	}
	published := pool.Engine.PrefillTime(need.PromptTokens) / time.Duration(1+len(c.Helpers))
	if published <= 0 {
		return firstTokenEstimate{}
	}
	e := firstTokenEstimate{
		endpoints: make(map[fleet.EndpointID]fleet.Incarnation, 1+len(c.Helpers)),
		predicted: c.Predicted,
		at:        time.Now(),
		pace:      max(1, float64(c.PrefillTime)/float64(published)),
	}
	if endpoint, found := g.State.Endpoints.Get(c.Endpoint); found {
		e.endpoints[c.Endpoint] = endpoint.Incarnation
	}
	for _, h := range c.Helpers {
		e.endpoints[h.Endpoint] = h.Incarnation
	}
	return e
}

// recordPace records the pace that the first token of an attempt shows.
func (g *Reserver) recordPace(e firstTokenEstimate, firstToken time.Duration, now time.Time) {
	if g.Policy.Paces == nil || e.predicted <= 0 || firstToken <= 0 {
		return
	}
	pace := e.pace * float64(firstToken) / float64(e.predicted)
	for id, incarnation := range e.endpoints {
		g.Policy.Paces.Record(cost.PaceSample{
			Endpoint: id, Incarnation: incarnation, Entry: g.Entry, At: now, Samples: 1, Pace: pace,
		})
	}
}

// recordOverdue records once that the first token of an attempt is overdue. A slow endpoint that prefills parts of several
// long prompts would otherwise be known only after seconds.
func (g *Reserver) recordOverdue(held *grant, now time.Time) {
	e := &held.estimate
	if elapsed := now.Sub(e.at); e.predicted > 0 && !e.overdue && elapsed >= e.overdueAfter() {
		e.overdue = true
		g.recordPace(*e, elapsed, now)
	}
}
