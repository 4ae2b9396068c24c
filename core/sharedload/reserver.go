package sharedload

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/cost"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

// maxChoices bounds the choices for one request; another one is made if this entry doesn't know a chosen endpoint or
// knows it to be out of service or unreachable.
const maxChoices = 3

// Reserver is a dispatch.ReservationClient that reserves endpoints through a ChooserSet, without endpoint owners: a
// reservation is the usage that it adds to the usage table of this entry.
type Reserver struct {
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// State holds the listed endpoints.
	State *clusterstate.State
	// Views provides the endpoints and zone states that this entry knows.
	Views interface{ View() placement.View }
	// Policy reports which endpoints this entry may use, and holds the usage table.
	Policy *Policy
	// Choosers makes the choices.
	Choosers *ChooserSet
	// Leases holds the memory leases at helpers.
	Leases *MemoryLeases
	// Outliers records which endpoints fail.
	Outliers *outlier.Detector
	// Paths records which paths are lost; nil disables that.
	Paths *outlier.PathTable
	// Draining ends when this entry stops to serve, which refuses the requests that wait at it; nil means that it never
	// does.
	Draining context.Context
	// WaitMemory bounds the bodies of the requests that wait at this entry, in bytes; nil means that there is no limit.
	WaitMemory *semaphore.Weighted

	// lengths learns the lengths of answers.
	lengths cost.Lengths

	mu       sync.Mutex
	sequence int
	// grants holds the running attempts by reservation.
	grants map[fleet.ReservationID]*grant
}

// grant holds the usage and the helpers of one attempt; prefill is its additional usage until its first token.
type grant struct {
	usage   map[fleet.EndpointID]Usage
	prefill map[fleet.EndpointID]Usage
	helpers []reservation.Helper
	// estimate is what was predicted for the first token.
	estimate firstTokenEstimate
	// request is what was requested.
	request reservation.Request
}

// Reserve reserves the endpoint and the helpers that are chosen for an attempt and leases the memory at the helpers; an
// error is a *reservation.Refusal.
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
	g.addQueueOrder(&need, request)
	need.ExpectedOutput = g.expectedOutput(request)
	need.Rank = max(0, -request.Priority)
	if refusal := g.refusePaused(request.Pool, time.Now()); refusal != nil {
		return reservation.Grant{}, refusal
	}
	startedAt := time.Now()
	choose := g.Choosers.Choose
	if need.MayWait {
		choose = func(ctx context.Context, need placement.Need) (Choice, func(), error) {
			return g.await(ctx, request, need)
		}
	}
	for range maxChoices {
		choice, settle, err := choose(ctx, need)
		if err != nil {
			return reservation.Grant{}, err
		}
		if unusable := g.resolveEndpoints(choice, time.Now()); len(unusable) > 0 {
			settle()
			maps.Copy(need.Excluded, unusable)
			continue
		}
		granted := g.recordGrant(choice, need, request)
		if pool, found := g.Policy.Pool(request.Pool); found {
			granted.ConnectTimeout = connectTimeout(pool, need)
		}
		settle()
		if need.MayWait {
			granted.Waited = time.Since(startedAt)
		}
		granted, err = g.leaseHelperMemory(ctx, granted, choice)
		if err != nil || choice.HelperMemory == nil {
			return granted, err
		}
		// The leases take time, in which an endpoint may have left.
		unusable := g.resolveEndpoints(choice, time.Now())
		if len(unusable) == 0 {
			return granted, nil
		}
		g.releaseGrant(granted.Reservation)
		maps.Copy(need.Excluded, unusable)
	}
	return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonLeaving, RetryAfter: fullRetryAfter}
}

// addQueueOrder adds to a need what determines its order among requests that wait; it does so in contended pools only. A
// request without a latest start, and one that arrives while this entry stops, doesn't wait.
func (g *Reserver) addQueueOrder(need *placement.Need, request reservation.Request) {
	pool, found := g.Policy.Pool(request.Pool)
	if !found || !pool.Contended {
		return
	}
	need.Weight = request.Weight
	need.Rank = max(0, -request.Priority)
	need.ArrivedAt = request.ArrivedAt
	need.LatestStart = request.LatestStart
	need.MayWait = request.MayWait && !request.LatestStart.IsZero() && !g.isDraining() && isQuick(pool, request.PromptTokens)
}

// refusePaused returns a refusal with the time until the first endpoint of a pool is usable if all endpoints in service
// are unusable and one of them asked for a pause, else nil.
//
// Load pattern: a burst fills all queues of a pool, and all its endpoints ask for a pause. A request that waited for
// one of them would hold its caller back until the deadline.
func (g *Reserver) refusePaused(pool fleet.PoolName, now time.Time) *reservation.Refusal {
	view := g.Views.View()
	var earliest time.Time
	paused := false
	for _, endpoint := range view.Endpoints {
		if endpoint.Pool != pool || !inService(view, endpoint) {
			continue
		}
		if g.Policy.Usable(endpoint, now) {
			return nil
		}
		until, found := g.Outliers.PausedUntil(endpoint, now)
		paused = paused || found
		if found && (earliest.IsZero() || until.Before(earliest)) {
			earliest = until
		}
	}
	if !paused {
		return nil
	}
	return &reservation.Refusal{Reason: reservation.ReasonPaused, RetryAfter: earliest.Sub(now)}
}

// leaseHelperMemory acquires the memory leases at the helpers of a grant; if that fails, it releases the grant.
func (g *Reserver) leaseHelperMemory(
	ctx context.Context, granted reservation.Grant, choice Choice,
) (reservation.Grant, error) {
	if choice.HelperMemory == nil {
		return granted, nil
	}
	if err := g.Leases.Acquire(ctx, granted.Helpers, choice.HelperMemory); err != nil {
		g.releaseGrant(granted.Reservation)
		return reservation.Grant{}, &reservation.Refusal{Reason: reservation.ReasonNoMemory, RetryAfter: fullRetryAfter}
	}
	return granted, nil
}

// excluded returns the endpoints of the pool that must not be chosen: those that refused or failed the request, and
// those that this entry knows to be out of service or unreachable.
func (g *Reserver) excluded(request reservation.Request, now time.Time) map[fleet.EndpointID]bool {
	excluded := make(map[fleet.EndpointID]bool, len(request.Excluded))
	maps.Copy(excluded, request.Excluded)
	view := g.Views.View()
	for id, endpoint := range view.Endpoints {
		if endpoint.Pool == request.Pool && !g.Policy.acceptsRequests(view, endpoint, now) {
			excluded[id] = true
		}
	}
	return excluded
}

// resolveEndpoints sets the addresses of the helpers and returns the endpoints of a choice that this entry doesn't know
// or knows to be out of service or unreachable.
func (g *Reserver) resolveEndpoints(choice Choice, now time.Time) map[fleet.EndpointID]bool {
	unusable := make(map[fleet.EndpointID]bool)
	view := g.Views.View()
	lookup := func(id fleet.EndpointID) fleet.Endpoint {
		endpoint, found := view.Endpoints[id]
		if !found || !g.Policy.acceptsRequests(view, endpoint, now) {
			unusable[id] = true
		}
		return endpoint
	}
	lookup(choice.Endpoint)
	for i := range choice.Helpers {
		helper := lookup(choice.Helpers[i].Endpoint)
		choice.Helpers[i].Address, choice.Helpers[i].Incarnation = helper.Address, helper.Incarnation
	}
	return unusable
}

// recordGrant adds the usage of an attempt to the usage table and returns its grant.
func (g *Reserver) recordGrant(
	choice Choice, need placement.Need, request reservation.Request,
) reservation.Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	id := fleet.ReservationID(fmt.Sprintf("%s.%d", g.Entry, g.sequence))
	if g.grants == nil {
		g.grants = make(map[fleet.ReservationID]*grant)
	}
	held := &grant{
		usage: choice.Usages, prefill: choice.prefillUsages(), helpers: choice.Helpers,
		estimate: g.firstTokenEstimate(choice, need),
		request:  request,
	}
	g.grants[id] = held
	g.Policy.Usages.AddOwn(held.usage)
	g.Policy.Usages.AddOwn(held.prefill)
	if choice.Chooser != g.Entry {
		g.Policy.Usages.StartPrefill(choice, time.Now())
	}
	return reservation.Grant{
		Endpoint:    choice.Endpoint,
		Reservation: id,
		Owner:       choice.Chooser,
		Predicted:   choice.Predicted,
		Helpers:     choice.Helpers,

		OverdueAfter: held.estimate.overdueAfter(),
		StallAfter:   held.estimate.stallAfter(need),
	}
}

// Renew removes the prefill usage of an attempt once its first token has arrived, and records how late that is. It returns no error.
func (g *Reserver) Renew(_ context.Context, progress reservation.Progress) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, found := g.grants[progress.Reservation]
	switch {
	case !found:
	case !progress.Started:
		g.recordOverdue(held, time.Now())
	default:
		if endpoint, found := g.State.Endpoints.Get(progress.Endpoint); found && held.prefill != nil && g.Paths != nil {
			// Later renewals are periodic and don't show that the path still works.
			g.Paths.RecordReached(endpoint, time.Now())
		}
		g.Policy.Usages.RemoveOwn(held.prefill)
		held.prefill = nil
		g.recordPace(held.estimate, progress.TimeToFirstToken, time.Now())
		held.estimate = firstTokenEstimate{}
	}
	return nil
}

// Release releases the reservation of an attempt and records its outcome for outlier detection. It returns no error.
func (g *Reserver) Release(_ context.Context, release reservation.Release) error {
	if held := g.releaseGrant(release.Reservation); held != nil {
		g.recordLength(held.request, release, time.Now())
	}
	g.recordOutcome(release, time.Now())
	return nil
}

// releaseGrant removes the usage and the memory leases of an attempt and returns its grant, or nil if it was released
// before.
func (g *Reserver) releaseGrant(id fleet.ReservationID) *grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, found := g.grants[id]
	if !found {
		return nil
	}
	delete(g.grants, id)
	g.Policy.Usages.RemoveOwn(held.prefill)
	g.Policy.Usages.RemoveOwn(held.usage)
	g.Leases.Release(held.helpers)
	return held
}

// recordOutcome records the outcome of an attempt for outlier detection: as a failure of the helper that failed, if
// that is listed, else for the endpoint of the attempt, if that is listed. OutcomeCanceled is not recorded for the
// endpoint.
func (g *Reserver) recordOutcome(release reservation.Release, now time.Time) {
	if helper, found := g.State.Endpoints.Get(release.FailedHelper); found {
		g.Outliers.RecordFailure(helper, now)
		return
	}
	endpoint, found := g.State.Endpoints.Get(release.Endpoint)
	if !found {
		return
	}
	if release.CutShort && release.Outcome == reservation.OutcomeNotRun && g.Paths != nil && g.Paths.Contended(endpoint.Pool) {
		// A connection that was not awaited says nothing about the endpoint.
		return
	}
	attempted := endpoint
	if release.Attempted != 0 {
		attempted.Incarnation = release.Attempted
	}
	g.recordPath(attempted, release.Outcome, now)
	switch release.Outcome {
	case reservation.OutcomeRefused:
		g.Outliers.RecordFailure(endpoint, now)
	case reservation.OutcomeNotRun:
		g.Outliers.RecordUnreachable(endpoint, now)
	case reservation.OutcomeNotConnected:
		g.Outliers.RequestProbe(endpoint.ID)
	case reservation.OutcomeBroken:
		g.Outliers.RecordFailure(endpoint, now)
	case reservation.OutcomeDone, reservation.OutcomeFailed:
		g.Outliers.RecordSuccess(endpoint)
	}
}

// recordPath records whether the path to the incarnation of an endpoint that was attempted is lost. An endpoint that refuses or fails an attempt
// was reached.
func (g *Reserver) recordPath(endpoint fleet.Endpoint, outcome reservation.Outcome, now time.Time) {
	if g.Paths == nil {
		return
	}
	switch outcome {
	case reservation.OutcomeNotRun:
		g.Paths.RecordLost(endpoint, now)
	case reservation.OutcomeNotConnected:
		g.Paths.RecordConnectTimeout(endpoint, now)
	case reservation.OutcomeDone, reservation.OutcomeFailed, reservation.OutcomeRefused:
		g.Paths.RecordReached(endpoint, now)
	}
}
