package sharedload

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/ratelimit"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
)

const (
	// rateSpan is the span in which the requests to a cold endpoint are bounded.
	rateSpan = time.Second
	// queuedPerSlot bounds the attempts that run or wait at an endpoint, relative to its slots.
	queuedPerSlot = 1.5
	// fullWait is when to come back to a pool whose endpoints are all full.
	fullWait = 1500 * time.Millisecond
)

// Granter grants attempts by the shared book in place of an owner. It implements dispatch.Owners.
type Granter struct {
	// Entry is this entry.
	Entry fleet.EntryID
	// Board holds the endpoints.
	Board *blackboard.Board
	// Views yields what placements are decided on.
	Views interface{ View() placement.View }
	// Policy orders endpoints.
	Policy *Policy
	// RateShare returns the requests within rateSpan that this entry may send to one endpoint of a pool; false means any.
	RateShare func(fleet.PoolName) (int, bool)

	// Outliers learns which endpoints fail.
	Outliers *outlier.Detector

	mu      sync.Mutex
	serial  int
	grants  map[fleet.ReservationID]*grant
	windows map[fleet.EndpointID]*ratelimit.Window
}

// grant is what one attempt takes.
type grant struct {
	work    map[fleet.EndpointID]Usage
	reading map[fleet.EndpointID]Usage
}

// Reserve grants an attempt at once or refuses it.
func (g *Granter) Reserve(_ context.Context, request reservation.Request) (reservation.Grant, error) {
	now := time.Now()
	endpoint, found := g.Board.Endpoints.Get(request.Endpoint)
	view := g.Views.View()
	if !found || !g.Policy.open(view, endpoint, now) {
		return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonLeaving}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	usage := g.Policy.Book.Totals(now)[endpoint.ID]
	if endpoint.Slots > 0 && float64(usage.Running) >= queuedPerSlot*float64(endpoint.Slots) {
		return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonQueueFull, RetryAfter: fullWait}
	}
	if !g.withinRate(endpoint, now) {
		return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonCold, RetryAfter: rateSpan}
	}
	return g.grant(view, endpoint, request), nil
}

// withinRate counts one more request to an endpoint, unless its rate is used up; the caller holds the lock.
func (g *Granter) withinRate(endpoint fleet.Endpoint, now time.Time) bool {
	share, bounded := g.RateShare(endpoint.Pool)
	if !bounded {
		return true
	}
	if g.windows == nil {
		g.windows = make(map[fleet.EndpointID]*ratelimit.Window)
	}
	window, found := g.windows[endpoint.ID]
	if !found {
		window = &ratelimit.Window{Span: rateSpan}
		g.windows[endpoint.ID] = window
	}
	if window.Count(now) >= share {
		return false
	}
	window.Add(now)
	return true
}

// grant notes the work of an attempt; the caller holds the lock.
func (g *Granter) grant(view placement.View, endpoint fleet.Endpoint, request reservation.Request) reservation.Grant {
	g.serial++
	id := fleet.ReservationID(fmt.Sprintf("%s.%d", g.Entry, g.serial))
	made := reservation.Grant{Endpoint: endpoint.ID, Reservation: id, Owner: g.Entry}
	entry := &grant{work: map[fleet.EndpointID]Usage{}, reading: map[fleet.EndpointID]Usage{}}
	usage := Usage{Running: 1, Memory: request.Prompt + request.Output}
	if pool, _ := g.Policy.Pool(endpoint.Pool); pool.Engine != nil {
		if isQuick(pool, request.Prompt) {
			usage.Quick = 1
			s := state{endpoint: endpoint, usage: g.Policy.Book.Totals(time.Now())[endpoint.ID]}
			made.Predicted = s.wait(pool) + pool.Engine.Read(request.Prompt) + s.pass(pool)
		} else {
			made.Helpers, made.Predicted = g.helpers(view, pool, endpoint, request)
		}
		part := pool.Engine.Read(request.Prompt) / time.Duration(len(made.Helpers)+1)
		entry.reading[endpoint.ID] = Usage{Reading: part}
		for _, h := range made.Helpers {
			entry.reading[h.Endpoint] = Usage{Reading: part}
		}
	}
	entry.work[endpoint.ID] = usage
	if g.grants == nil {
		g.grants = make(map[fleet.ReservationID]*grant)
	}
	g.grants[id] = entry
	g.Policy.Book.Add(entry.work)
	g.Policy.Book.Add(entry.reading)
	return made
}

// helpers chooses the endpoints that read parts of a long prompt beside the one that is granted, and predicts the time
// to its first token.
func (g *Granter) helpers(
	view placement.View, pool routing.Pool, first fleet.Endpoint, request reservation.Request,
) ([]reservation.Helper, time.Duration) {
	need := placement.Need{Pool: first.Pool, Prompt: request.Prompt}
	plan, found := planReading(pool, g.Policy.states(view, need), request.Prompt, request.Output, request.Objective)
	if !found || plan.first.endpoint.ID != first.ID {
		return nil, 0
	}
	helpers := make([]reservation.Helper, 0, len(plan.helpers))
	for _, s := range plan.helpers {
		helpers = append(helpers, reservation.Helper{Endpoint: s.endpoint.ID, Address: s.endpoint.Address})
	}
	return helpers, plan.done
}

// Renew notes that the prompt has been read once the first token has come.
func (g *Granter) Renew(_ context.Context, progress reservation.Progress) error {
	if !progress.Started {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if held, found := g.grants[progress.Reservation]; found {
		g.Policy.Book.Remove(held.reading)
		clear(held.reading)
	}
	return nil
}

// Release takes the work of an attempt back.
func (g *Granter) Release(_ context.Context, release reservation.Release) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, found := g.grants[release.Reservation]
	if !found {
		return nil
	}
	delete(g.grants, release.Reservation)
	g.observe(release, time.Now())
	g.Policy.Book.Remove(held.reading)
	g.Policy.Book.Remove(held.work)
	return nil
}

// observe learns from the end of an attempt whether its endpoint is fit for work.
func (g *Granter) observe(release reservation.Release, now time.Time) {
	endpoint, found := g.Board.Endpoints.Get(release.Endpoint)
	if !found {
		return
	}
	switch release.Outcome {
	case reservation.OutcomeNotRun, reservation.OutcomeBroken:
		g.Outliers.Failed(endpoint, now)
	case reservation.OutcomeDone, reservation.OutcomeFailed:
		g.Outliers.Succeeded(endpoint)
	}
}
