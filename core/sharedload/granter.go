package sharedload

import (
	"context"
	"fmt"
	"maps"
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
	// coldWait is when to come back to endpoints whose rate is used up.
	coldWait = time.Second
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
	// RateShare returns the requests a second that this entry may send to an endpoint; false means any.
	RateShare func(endpoint fleet.Endpoint, now time.Time) (float64, bool)
	// Tickets holds memory at helpers.
	Tickets *Tickets
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
	helpers []reservation.Helper
}

// Reserve grants an attempt or refuses it; only memory at helpers takes time.
func (g *Granter) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	made, stored, err := g.decide(request, time.Now())
	if err != nil || stored == nil {
		return made, err
	}
	if err := g.Tickets.Take(ctx, made.Helpers, stored); err != nil {
		g.drop(made.Reservation)
		return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonNoMemory, RetryAfter: fullWait}
	}
	return made, nil
}

// decide grants an attempt or refuses it, and returns the memory that each helper must lend.
func (g *Granter) decide(request reservation.Request, now time.Time) (reservation.Grant, []fleet.Tokens, error) {
	endpoint, found := g.Board.Endpoints.Get(request.Endpoint)
	view := g.Views.View()
	if !found || !g.Policy.open(view, endpoint, now) {
		return reservation.Grant{}, nil, &reservation.Refusal{Reason: reservation.ReasonLeaving}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	usage := g.Policy.Book.Totals(now)[endpoint.ID]
	if endpoint.Slots > 0 && float64(usage.Running) >= queuedPerSlot*float64(endpoint.Slots) {
		return reservation.Grant{}, nil, &reservation.Refusal{Reason: reservation.ReasonQueueFull, RetryAfter: fullWait}
	}
	if !g.withinRate(endpoint, now) {
		return reservation.Grant{}, nil, &reservation.Refusal{Reason: reservation.ReasonCold, RetryAfter: coldWait}
	}
	made, stored := g.grant(view, endpoint, request)
	return made, stored, nil
}

// withinRate counts one more request to an endpoint, unless its rate is used up; the caller holds the lock.
func (g *Granter) withinRate(endpoint fleet.Endpoint, now time.Time) bool {
	rate, bounded := g.RateShare(endpoint, now)
	if !bounded {
		return true
	}
	if g.windows == nil {
		g.windows = make(map[fleet.EndpointID]*ratelimit.Window)
	}
	window, found := g.windows[endpoint.ID]
	if !found {
		g.forgetGone()
		window = &ratelimit.Window{}
		g.windows[endpoint.ID] = window
	}
	return window.Take(rate, now)
}

// forgetGone drops the windows of endpoints that are listed no more; the caller holds the lock.
func (g *Granter) forgetGone() {
	listed := g.Board.Endpoints.View().Rows
	maps.DeleteFunc(g.windows, func(id fleet.EndpointID, _ *ratelimit.Window) bool {
		_, found := listed[id]
		return !found
	})
}

// grant notes the work of an attempt; the caller holds the lock.
func (g *Granter) grant(
	view placement.View, endpoint fleet.Endpoint, request reservation.Request,
) (reservation.Grant, []fleet.Tokens) {
	g.serial++
	id := fleet.ReservationID(fmt.Sprintf("%s.%d", g.Entry, g.serial))
	made := reservation.Grant{Endpoint: endpoint.ID, Reservation: id, Owner: g.Entry}
	entry := &grant{work: map[fleet.EndpointID]Usage{}, reading: map[fleet.EndpointID]Usage{}}
	usage := Usage{Running: 1, Memory: request.Prompt + request.Output}
	var stored []fleet.Tokens
	if pool, _ := g.Policy.Pool(endpoint.Pool); pool.Engine != nil {
		plan := g.plan(view, pool, endpoint, request)
		made.Predicted = plan.done
		if isQuick(pool, request.Prompt) {
			usage.Quick = 1
		}
		usage.Stakes = stakeOf(pool, request.Prompt, request.PauseObjective)
		entry.reading[endpoint.ID] = Usage{Reading: plan.part}
		stored = plan.stored
		for i, s := range plan.helpers {
			made.Helpers = append(made.Helpers, reservation.Helper{Endpoint: s.endpoint.ID, Address: s.endpoint.Address})
			entry.reading[s.endpoint.ID] = Usage{Reading: plan.part}
			if stored != nil {
				entry.work[s.endpoint.ID] = Usage{Memory: stored[i]}
				usage.Memory -= stored[i]
			}
		}
	}
	entry.work[endpoint.ID] = usage
	entry.helpers = made.Helpers
	if g.grants == nil {
		g.grants = make(map[fleet.ReservationID]*grant)
	}
	g.grants[id] = entry
	g.Policy.Book.Add(entry.work)
	g.Policy.Book.Add(entry.reading)
	return made, stored
}

// plan returns where the prompt of a request is read whose first endpoint is chosen.
func (g *Granter) plan(
	view placement.View, pool routing.Pool, first fleet.Endpoint, request reservation.Request,
) reading {
	need := placement.Need{Pool: first.Pool, Prompt: request.Prompt}
	states := g.Policy.states(view, need)
	if !isQuick(pool, request.Prompt) {
		plan, found := planReading(pool, states, request.Prompt, request.Output, request.Objective)
		if found && plan.first.endpoint.ID == first.ID {
			return plan
		}
	}
	s := state{endpoint: first, usage: g.Policy.Book.Totals(time.Now())[first.ID]}
	part := pool.Engine.Read(request.Prompt)
	return reading{first: s, part: part, done: s.wait(pool) + part + s.pass(pool)}
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
	g.drop(release.Reservation)
	g.observe(release, time.Now())
	return nil
}

// drop takes back what an attempt has.
func (g *Granter) drop(id fleet.ReservationID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, found := g.grants[id]
	if !found {
		return
	}
	delete(g.grants, id)
	g.Policy.Book.Remove(held.reading)
	g.Policy.Book.Remove(held.work)
	g.Tickets.Give(held.helpers)
}

// observe learns from the end of an attempt whether its endpoint is fit for work.
func (g *Granter) observe(release reservation.Release, now time.Time) {
	endpoint, found := g.Board.Endpoints.Get(release.Endpoint)
	if !found {
		return
	}
	switch release.Outcome {
	case reservation.OutcomeNotRun:
		g.Outliers.Unreachable(endpoint, now)
	case reservation.OutcomeBroken:
		g.Outliers.Failed(endpoint, now)
	case reservation.OutcomeDone, reservation.OutcomeFailed:
		g.Outliers.Succeeded(endpoint)
	}
}
