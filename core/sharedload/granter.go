package sharedload

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

// choiceTries bounds the choices of which this entry knows better that they can't be used.
const choiceTries = 3

// Reserver grants attempts by choices in place of an owner. It implements dispatch.ReservationClient.
type Reserver struct {
	// Entry is this entry.
	Entry fleet.EntryID
	// State holds the endpoints.
	State *clusterstate.State
	// Views yields the endpoints and zones that this entry knows.
	Views interface{ View() placement.View }
	// Policy tells which endpoints this entry may use.
	Policy *Policy
	// Choosers make the choices.
	Choosers *ChooserSet
	// Leases holds memory at helpers.
	Leases *MemoryLeases
	// Outliers learns which endpoints fail.
	Outliers *outlier.Detector

	mu     sync.Mutex
	serial int
	grants map[fleet.ReservationID]*grant
}

// grant is what one attempt takes.
type grant struct {
	work    map[fleet.EndpointID]Usage
	reading map[fleet.EndpointID]Usage
	helpers []reservation.Helper
}

// Reserve grants an attempt at the best endpoints or refuses it.
func (g *Reserver) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	need := placement.Need{
		Request:            request.Request,
		Pool:               request.Pool,
		Account:            request.Account,
		PromptTokens:       request.PromptTokens,
		MaxTokens:          request.MaxTokens,
		Objective:          request.Objective,
		PauseObjective:     request.PauseObjective,
		WaitedAfterRefusal: request.WaitedAfterRefusal,
		Excluded:           g.excluded(request, time.Now()),
	}
	for range choiceTries {
		choice, settle, err := g.Choosers.Choose(ctx, need)
		if err != nil {
			return reservation.Grant{}, err
		}
		if unusable := g.resolve(choice, time.Now()); len(unusable) > 0 {
			settle()
			maps.Copy(need.Excluded, unusable)
			continue
		}
		made := g.note(choice)
		settle()
		return g.lend(ctx, made, choice)
	}
	return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonLeaving, RetryAfter: fullWait}
}

// lend takes the memory at the helpers of a grant, or gives the grant back.
func (g *Reserver) lend(ctx context.Context, made reservation.Grant, choice Choice) (reservation.Grant, error) {
	if choice.HelperMemory == nil {
		return made, nil
	}
	if err := g.Leases.Acquire(ctx, made.Helpers, choice.HelperMemory); err != nil {
		g.drop(made.Reservation)
		return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonNoMemory, RetryAfter: fullWait}
	}
	return made, nil
}

// excluded returns the endpoints of the pool that must not be chosen: those that have failed the request, and those that
// this entry knows to be out of service or can't reach.
func (g *Reserver) excluded(request reservation.Request, now time.Time) map[fleet.EndpointID]bool {
	excluded := make(map[fleet.EndpointID]bool, len(request.Excluded))
	maps.Copy(excluded, request.Excluded)
	view := g.Views.View()
	for id, endpoint := range view.Endpoints {
		if endpoint.Pool == request.Pool && !g.Policy.open(view, endpoint, now) {
			excluded[id] = true
		}
	}
	return excluded
}

// resolve fills in the addresses of the helpers and returns the endpoints of a choice that this entry doesn't know, or
// knows to be out of service.
func (g *Reserver) resolve(choice Choice, now time.Time) map[fleet.EndpointID]bool {
	unusable := make(map[fleet.EndpointID]bool)
	view := g.Views.View()
	find := func(id fleet.EndpointID) fleet.Endpoint {
		endpoint, found := view.Endpoints[id]
		if !found || !g.Policy.open(view, endpoint, now) {
			unusable[id] = true
		}
		return endpoint
	}
	find(choice.Endpoint)
	for i := range choice.Helpers {
		choice.Helpers[i].Address = find(choice.Helpers[i].Endpoint).Address
	}
	return unusable
}

// note notes the work of an attempt.
func (g *Reserver) note(choice Choice) reservation.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serial++
	id := fleet.ReservationID(fmt.Sprintf("%s.%d", g.Entry, g.serial))
	if g.grants == nil {
		g.grants = make(map[fleet.ReservationID]*grant)
	}
	held := &grant{work: choice.Usage, reading: choice.reading(), helpers: choice.Helpers}
	g.grants[id] = held
	g.Policy.Usages.AddOwn(held.work)
	g.Policy.Usages.AddOwn(held.reading)
	return reservation.Grant{
		Endpoint:    choice.Endpoint,
		Reservation: id,
		Owner:       choice.Chooser,
		Predicted:   choice.Predicted,
		Helpers:     choice.Helpers,
	}
}

// Renew notes that the prompt has been read once the first token has come.
func (g *Reserver) Renew(_ context.Context, progress reservation.Progress) error {
	if !progress.Started {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if held, found := g.grants[progress.Reservation]; found {
		g.Policy.Usages.RemoveOwn(held.reading)
		held.reading = nil
	}
	return nil
}

// Release takes the work of an attempt back.
func (g *Reserver) Release(_ context.Context, release reservation.Release) error {
	g.drop(release.Reservation)
	g.observe(release, time.Now())
	return nil
}

// drop takes back what an attempt has.
func (g *Reserver) drop(id fleet.ReservationID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, found := g.grants[id]
	if !found {
		return
	}
	delete(g.grants, id)
	g.Policy.Usages.RemoveOwn(held.reading)
	g.Policy.Usages.RemoveOwn(held.work)
	g.Leases.Release(held.helpers)
}

// observe learns from the end of an attempt whether its endpoint is fit for work.
func (g *Reserver) observe(release reservation.Release, now time.Time) {
	if helper, found := g.State.Endpoints.Get(release.FailedHelper); found {
		g.Outliers.RecordFailure(helper, now)
		return
	}
	endpoint, found := g.State.Endpoints.Get(release.Endpoint)
	if !found {
		return
	}
	switch release.Outcome {
	case reservation.OutcomeRefused:
		g.Outliers.RecordFailure(endpoint, now)
	case reservation.OutcomeNotRun:
		g.Outliers.RecordUnreachable(endpoint, now)
	case reservation.OutcomeBroken:
		g.Outliers.RecordFailure(endpoint, now)
	case reservation.OutcomeDone, reservation.OutcomeFailed:
		g.Outliers.RecordSuccess(endpoint)
	}
}
