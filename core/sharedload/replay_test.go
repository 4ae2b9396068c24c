package sharedload

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/enginemodel"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
)

// replayTick is the time between two steps of a replay.
const replayTick = 5 * time.Millisecond

// replayKind is one kind of requests of a replay.
type replayKind struct {
	name             string
	perSecond        float64
	prompt, output   fleet.Tokens
	objective, pause time.Duration
	rank             int
	// spread is the standard deviation of the logarithm of the prompt length.
	spread float64
	// burstFrom, burstTo and burstFactor define when and by how much the rate is higher.
	burstFrom, burstTo time.Duration
	burstFactor        float64
}

// replayKinds are the streams of the first new deployment, with a burst of long prompts and then one of quick requests.
var replayKinds = []replayKind{
	{
		name: "quick", perSecond: 94.5, prompt: 5000, output: 1300, objective: 250 * time.Millisecond,
		pause: 250 * time.Millisecond, burstFrom: 16 * time.Second, burstTo: 24 * time.Second, burstFactor: 2.5,
	},
	{
		name: "middle", rank: 1, perSecond: 10.4, prompt: 45_000, output: 1500, objective: 1500 * time.Millisecond,
		pause: 600 * time.Millisecond, spread: 0.2, burstFactor: 1,
	},
	{
		name: "long", rank: 2, perSecond: 2.56, prompt: 200_000, output: 1500, objective: 8 * time.Second, pause: time.Second,
		spread: 0.5, burstFrom: 8 * time.Second, burstTo: 17 * time.Second, burstFactor: 2.9,
	},
}

// replayPool returns a pool with the published figures of the first new deployment.
func replayPool(contended bool) routing.Pool {
	return routing.Pool{
		Name: testPool.Name, PauseObjective: 250 * time.Millisecond, Contended: contended,
		Engine: &enginemodel.Model{
			Slots: 12, Memory: 267_750, Step: 850 * time.Microsecond, StepPerContext: 2.85, PrefillPerToken: 1e6 / 177,
			PrefillPerPair: 0.184, Chunk: 2048, Stride: 57, MeanPrompt: 15_000, MeanOutput: 1350,
		},
	}
}

// replayRequest is a request that was placed.
type replayRequest struct {
	kind     int
	grant    reservation.Grant
	overdue  time.Time
	prompt   fleet.Tokens
	left     fleet.Tokens
	arrived  time.Time
	parts    int
	started  bool
	events   fleet.Tokens
	lastAt   time.Time
	longest  time.Duration
	first    time.Duration
	admitted bool
}

// replayPart is a part of a prompt to prefill.
type replayPart struct {
	request *replayRequest
	took    time.Duration
}

// replayEngine is an engine that works in passes: it prefills all parts that arrived before the pass, then runs Stride
// decode steps, and sends events at the end of the pass.
type replayEngine struct {
	pace     float64
	queue    []replayPart
	inPass   []replayPart
	decoding []*replayRequest
	waiting  []*replayRequest
	passEnd  time.Time
	active   bool
}

// replayCount counts the requests of one kind by outcome.
type replayCount struct {
	total, refused, lateFirst, latePause int
	helpers, large, largeRefused         int
	errors                               []float64
}

// share returns the share of requests that were neither refused nor late.
func (c replayCount) share() float64 {
	return 1 - float64(c.refused+c.lateFirst+c.latePause)/float64(max(1, c.total))
}

// replay is a pool of engines whose true times differ from the chooser's estimates.
type replay struct {
	*testFleet
	pool    routing.Pool
	engines map[fleet.EndpointID]*replayEngine
	counts  []replayCount
	// ids holds the endpoints in order, and random a source for each kind, so that policies see the same arrivals.
	ids    []fleet.EndpointID
	random []*rand.Rand
	// live holds the requests whose first tokens may become overdue.
	live []*replayRequest
}

// newReplay returns a replay of idle engines.
func newReplay(engines int, pool routing.Pool, seed uint64) *replay {
	r := &replay{
		testFleet: newFleet(engines), pool: pool, engines: make(map[fleet.EndpointID]*replayEngine),
		counts: make([]replayCount, len(replayKinds)),
	}
	for i := range replayKinds {
		r.random = append(r.random, rand.New(rand.NewPCG(seed, uint64(i)))) //nolint:gosec // a replay is deterministic
	}
	r.policy.Pool = func(fleet.PoolName) (routing.Pool, bool) { return pool, true }
	r.policy.Paces = &cost.Paces{}
	for i := range engines {
		endpoint := testEndpoint(i)
		endpoint.Slots = pool.Engine.Slots
		r.state.Endpoints.Set(endpoint.ID, endpoint)
		r.engines[endpoint.ID] = &replayEngine{pace: 1}
		r.ids = append(r.ids, endpoint.ID)
	}
	return r
}

// run lets requests arrive for a time and follows them to their ends.
func (r *replay) run(span time.Duration, each func(elapsed time.Duration)) {
	start := time.Now()
	for {
		elapsed := time.Since(start)
		each(elapsed)
		for i, k := range replayKinds {
			rate := k.perSecond
			if elapsed >= k.burstFrom && elapsed < k.burstTo {
				rate *= k.burstFactor
			}
			if elapsed < span && r.random[i].Float64() < rate*replayTick.Seconds() {
				r.arrive(i)
			}
		}
		r.live = slices.DeleteFunc(r.live, func(q *replayRequest) bool { return r.reportOverdue(q, time.Now()) })
		for _, id := range r.ids {
			r.step(id, r.engines[id], time.Now())
		}
		if elapsed > span+20*time.Second {
			return
		}
		time.Sleep(replayTick)
	}
}

// arrive places a request of a kind.
func (r *replay) arrive(kind int) {
	k := replayKinds[kind]
	prompt := fleet.Tokens(float64(k.prompt) * math.Exp(k.spread*r.random[kind].NormFloat64()))
	output := fleet.Tokens(float64(k.output) * (0.5 + r.random[kind].Float64()))
	grant, err := r.reserver.Reserve(context.Background(), reservation.Request{
		Pool: r.pool.Name, Priority: -k.rank, Class: fleet.ClassName(k.name), PromptTokens: prompt, MaxTokens: 2 * k.output,
		Objective: k.objective, PauseObjective: k.pause,
	})
	r.counts[kind].total++
	large := float64(prompt) > float64(k.prompt)*math.Exp(1.28*k.spread)
	if large && k.spread > 0 {
		r.counts[kind].large++
	}
	if err != nil {
		if large && k.spread > 0 {
			r.counts[kind].largeRefused++
		}
		r.counts[kind].refused++
		return
	}
	r.counts[kind].helpers += len(grant.Helpers)
	q := &replayRequest{
		kind: kind, grant: grant, prompt: prompt, left: output, arrived: time.Now(),
		parts: 1 + len(grant.Helpers),
	}
	took := r.pool.Engine.PrefillTime(prompt) / time.Duration(q.parts)
	for _, h := range grant.Helpers {
		r.engines[h.Endpoint].queue = append(r.engines[h.Endpoint].queue, replayPart{request: q, took: took})
	}
	if grant.OverdueAfter > 0 {
		q.overdue = time.Now().Add(grant.OverdueAfter)
		r.live = append(r.live, q)
	}
	e := r.engines[grant.Endpoint]
	e.waiting = append(e.waiting, q)
	e.queue = append(e.queue, replayPart{request: q, took: took})
}

// reportOverdue reports the progress of a request whose first token is overdue, and whether that is no longer possible.
func (r *replay) reportOverdue(q *replayRequest, now time.Time) bool {
	if !q.started && now.After(q.overdue) {
		_ = r.reserver.Renew(context.Background(), reservation.Progress{Reservation: q.grant.Reservation})
		return true
	}
	return q.started
}

// step ends the pass of an engine that is due and starts the next one.
func (r *replay) step(id fleet.EndpointID, e *replayEngine, now time.Time) {
	if e.active && now.Before(e.passEnd) {
		return
	}
	for _, p := range e.inPass {
		p.request.parts--
	}
	if e.active {
		e.decoding = slices.DeleteFunc(e.decoding, func(q *replayRequest) bool { return r.event(q, now) })
	}
	for len(e.waiting) > 0 && len(e.decoding) < r.pool.Engine.Slots {
		e.waiting[0].admitted = true
		e.decoding, e.waiting = append(e.decoding, e.waiting[0]), e.waiting[1:]
	}
	e.inPass = nil
	e.queue = slices.DeleteFunc(e.queue, func(p replayPart) bool {
		if p.request.grant.Endpoint == id && !p.request.admitted {
			return false
		}
		e.inPass = append(e.inPass, p)
		return true
	})
	e.active = len(e.inPass)+len(e.decoding) > 0
	if !e.active {
		return
	}
	var context fleet.Tokens
	decoding := 0
	for _, q := range e.decoding {
		if q.parts == 0 {
			decoding++
			context += q.prompt
		}
	}
	took := r.pool.Engine.PassTime(decoding, context)
	for _, p := range e.inPass {
		took += p.took
	}
	e.passEnd = now.Add(time.Duration(float64(took) * e.pace))
}

// event sends the events of a pass to one request and reports whether its answer is complete.
func (r *replay) event(q *replayRequest, now time.Time) bool {
	if q.parts > 0 {
		return false
	}
	k, count := replayKinds[q.kind], &r.counts[q.kind]
	if !q.started {
		q.started, q.first = true, now.Sub(q.arrived)
		count.errors = append(count.errors, float64(q.first)/float64(q.grant.Predicted))
		_ = r.reserver.Renew(context.Background(), reservation.Progress{Reservation: q.grant.Reservation, Started: true, TimeToFirstToken: q.first})
	} else {
		q.longest = max(q.longest, now.Sub(q.lastAt))
	}
	q.lastAt = now
	q.events++
	q.left -= fleet.Tokens(r.pool.Engine.Stride)
	if q.left > 0 {
		return false
	}
	switch {
	case q.first > k.objective:
		count.lateFirst++
	case q.longest > k.pause:
		count.latePause++
	}
	_ = r.reserver.Release(context.Background(), reservation.Release{
		Reservation: q.grant.Reservation, Endpoint: q.grant.Endpoint, Outcome: reservation.OutcomeDone,
		TimeToFirstToken: q.first, DecodeTime: now.Sub(q.arrived) - q.first,
		GeneratedTokens: q.events,
	})
	return true
}

// merge adds the counts of another replay.
func (r *replay) merge(other *replay) {
	for i := range r.counts {
		c, o := &r.counts[i], other.counts[i]
		c.total, c.refused, c.helpers = c.total+o.total, c.refused+o.refused, c.helpers+o.helpers
		c.lateFirst, c.latePause = c.lateFirst+o.lateFirst, c.latePause+o.latePause
		c.errors = append(c.errors, o.errors...)
		c.large, c.largeRefused = c.large+o.large, c.largeRefused+o.largeRefused
	}
}

// errorAt returns a quantile of the ratio of the measured to the predicted time to the first token.
func (c replayCount) errorAt(share float64) float64 {
	slices.Sort(c.errors)
	return c.errors[int(share*float64(len(c.errors)-1))]
}

// log logs the counts of each kind.
func (r *replay) log(t *testing.T) {
	t.Helper()
	for i, k := range replayKinds {
		c := r.counts[i]
		t.Logf("%s: %d requests, in time %.3f, refused %d, late first %d, late pause %d, helpers %.1f, "+
			"measured/predicted p50 %.2f p90 %.2f p99 %.2f, largest tenth %d of which refused %d",
			k.name, c.total, c.share(), c.refused, c.lateFirst, c.latePause,
			float64(c.helpers)/float64(max(1, c.total-c.refused)), c.errorAt(0.5), c.errorAt(0.9), c.errorAt(0.99),
			c.large, c.largeRefused)
	}
}
