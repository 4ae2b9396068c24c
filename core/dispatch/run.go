package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/timeline"
)

const (
	// comeBackAfter is the time to come back that a refusal gives when no owner has named one.
	comeBackAfter = 2 * time.Second
	// minPause is the mean of the first pause before endpoints that can't take the request yet are asked again.
	minPause = 50 * time.Millisecond
	// maxPause is the largest mean of such a pause.
	maxPause = time.Second
	// maxDoublings bounds how often a pause is doubled.
	maxDoublings = 8
	// maxRefusals bounds the owners that refuse a request before it is given up.
	maxRefusals = 4
	// releaseTimeout bounds the call that gives a reservation back.
	releaseTimeout = 2 * time.Second
	// cancelTimeout bounds the call that ends an attempt at its engine.
	cancelTimeout = time.Second
)

// run is the state of one request that is being served.
type run struct {
	*Dispatcher
	request     Request
	sink        Sink
	fingerprint retry.Fingerprint
	prefixes    []placement.Prefix
	excluded    map[fleet.EndpointID]bool
	arrivedAt   time.Time
	attempts    int
	ran         bool
	onTrial     bool
	refusals    int
	sent        int
	pauses      int
	waitable    bool
	position    fleet.Tokens
	retryAfter  time.Duration
	reason      string
}

// serve tries endpoints until the answer is whole, the request has failed or no endpoint is left.
func (r *run) serve(ctx context.Context) error {
	for {
		exclusive, err := r.standing(ctx)
		if err != nil {
			return err
		}
		endpoint, found := r.next()
		if !found {
			if err := r.pause(ctx); err != nil {
				return err
			}
			continue
		}
		grant, err := r.reserve(ctx, endpoint, exclusive)
		if err == nil && endpoint.ID == "" {
			endpoint, err = r.chosen(ctx, grant)
		}
		if err != nil {
			if err := r.refused(ctx, endpoint, err); err != nil {
				return err
			}
			continue
		}
		done, err := r.try(ctx, endpoint, grant)
		if done || err != nil {
			return err
		}
	}
}

// next returns the best endpoint that is not excluded; it has no name where the owner chooses.
func (r *run) next() (fleet.Endpoint, bool) {
	if r.Placement == nil {
		return fleet.Endpoint{}, !r.waitable
	}
	candidates := r.Placement.Candidates(r.Views.View(), r.need())
	if len(candidates) == 0 {
		return fleet.Endpoint{}, false
	}
	return candidates[0], true
}

// chosen returns the endpoint that the owner has chosen; a grant of one that has gone since is given back.
func (r *run) chosen(ctx context.Context, grant reservation.Grant) (fleet.Endpoint, error) {
	endpoint, found := r.State.Endpoints.Get(grant.Endpoint)
	if found {
		return endpoint, nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = r.Reservations.Release(ctx, reservation.Release{Endpoint: grant.Endpoint, Owner: grant.Owner, Reservation: grant.Reservation})
	return fleet.Endpoint{}, &reservation.Refusal{Reason: reservation.ReasonUnreachable}
}

// need is what the request asks of an endpoint.
func (r *run) need() placement.Need {
	return placement.Need{
		Request:            r.request.ID,
		Pool:               r.request.Pool,
		Account:            r.request.Account,
		PromptTokens:       r.request.PromptTokens,
		MaxTokens:          r.request.MaxTokens,
		Objective:          r.request.Objective,
		PauseObjective:     r.request.PauseObjective,
		WaitedAfterRefusal: r.request.WaitedAfterRefusal,
		Prefixes:           r.prefixes,
		Excluded:           r.excluded,
	}
}

// cached returns how much of the prompt an endpoint may hold already.
func (r *run) cached(endpoint fleet.Endpoint) fleet.Tokens {
	hint, ok := r.Placement.(cacheHint)
	if !ok {
		return 0
	}
	return hint.Cached(endpoint.ID, r.need())
}

// reserve asks the owner of the endpoint for the next attempt.
func (r *run) reserve(ctx context.Context, endpoint fleet.Endpoint, exclusive bool) (reservation.Grant, error) {
	asked := time.Now()
	grant, err := r.Reservations.Reserve(ctx, reservation.Request{
		Endpoint:           endpoint.ID,
		Pool:               r.request.Pool,
		Excluded:           r.excluded,
		WaitedAfterRefusal: r.request.WaitedAfterRefusal,
		Request:            r.request.ID,
		Attempt:            r.attemptID(r.attempts + 1),
		Entry:              r.Entry,
		Account:            r.request.Account,
		Class:              r.request.Class,
		Weight:             r.request.Weight,
		Priority:           r.request.Priority,
		PromptTokens:       r.request.PromptTokens,
		MaxTokens:          r.request.MaxTokens,
		CachedTokens:       r.cached(endpoint),
		Objective:          r.request.Objective,
		PauseObjective:     r.request.PauseObjective,
		FirstTokenDeadline: r.startBy(),
		Deadline:           r.request.Deadline,
		Exclusive:          exclusive,
	})
	if err == nil {
		r.attempts++
		r.record(timeline.Event{
			Kind:     timeline.KindReservationGranted,
			Attempt:  r.attemptID(r.attempts),
			Endpoint: endpoint.ID,
			Peer:     grant.Owner,
			Duration: time.Since(asked),
		})
	}
	return grant, err
}

// startBy is when the wait for the next token ends; an answer that has begun is only bound by its finish.
func (r *run) startBy() time.Time {
	if r.position > 0 {
		return r.request.Deadline
	}
	return r.request.FirstTokenDeadline
}

// attemptID names the given attempt of the request; the entry's name tells apart those of two entries.
func (r *run) attemptID(number int) fleet.AttemptID {
	return fleet.AttemptID(fmt.Sprintf("%s.%s.%d", r.request.ID, r.Entry, number))
}

// refused notes the refusal of an owner; it returns the final failure once the request has to be given up.
func (r *run) refused(ctx context.Context, endpoint fleet.Endpoint, err error) error {
	if ctx.Err() != nil {
		return r.giveUp(ctx, ReasonTimeout)
	}
	refusal := &reservation.Refusal{Reason: reservation.ReasonUnreachable}
	errors.As(err, &refusal)
	r.recordRefusal(endpoint, refusal)
	r.reason = string(refusal.Reason)
	if refusal.RetryAfter > 0 && (r.retryAfter == 0 || refusal.RetryAfter < r.retryAfter) {
		r.retryAfter = refusal.RetryAfter
	}
	if endpoint.ID != "" {
		r.excluded[endpoint.ID] = true
	}
	if transientReason(refusal.Reason) {
		r.waitable = true
		return nil
	}
	if endpoint.ID == "" {
		// The owner knows of no endpoint that would take it.
		return r.giveUp(ctx, r.reason)
	}
	r.refusals++
	if r.refusals >= maxRefusals {
		return r.giveUp(ctx, r.reason)
	}
	return nil
}

// transientReason tells whether the same endpoint may take the request soon.
func transientReason(reason reservation.Reason) bool {
	switch reason {
	case reservation.ReasonNotOwner, reservation.ReasonUnreachable, reservation.ReasonResynchronizing,
		reservation.ReasonCold, reservation.ReasonNoMemory:
		return true
	default:
		return false
	}
}

// pause waits until endpoints that could not take the request yet may be asked again; it returns the final failure if
// there are none or no time is left.
func (r *run) pause(ctx context.Context) error {
	pause := jitter(min(minPause<<min(r.pauses, maxDoublings), maxPause))
	if !r.waitable || time.Now().Add(pause).After(r.startBy()) {
		return r.giveUp(ctx, ReasonNoEndpoint)
	}
	r.pauses++
	r.waitable = false
	clear(r.excluded)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return r.giveUp(ctx, ReasonTimeout)
	case <-timer.C:
		return nil
	}
}

// try runs one granted attempt; done means that the answer is whole, an error that the request has ended.
func (r *run) try(ctx context.Context, endpoint fleet.Endpoint, grant reservation.Grant) (done bool, err error) {
	a := newAttempt(r, endpoint, grant)
	result := a.serve(ctx)
	a.release(ctx, result)
	r.recordEnd(a, result)
	r.ran = r.ran || !certainlyNotRun(result.release.Outcome)
	if result.release.Outcome != reservation.OutcomeNotRun {
		r.sent++
	}
	switch {
	case result.release.Outcome == reservation.OutcomeDone:
		r.Suspects.MarkCleared(ctx, r.fingerprint)
		return true, nil
	case result.sinkErr != nil:
		return false, result.sinkErr
	case ctx.Err() != nil:
		return false, r.giveUp(ctx, ReasonTimeout)
	}
	return false, r.afterFailure(ctx, a, result)
}

// afterFailure decides whether a request goes on after a failed attempt.
func (r *run) afterFailure(ctx context.Context, a *attempt, result result) error {
	r.excluded[a.endpoint.ID] = true
	if result.release.FailedHelper != "" {
		r.excluded[result.release.FailedHelper] = true
	}
	switch {
	case certainlyNotRun(result.release.Outcome):
		return r.afterRefusal(ctx, result)
	case result.failed != nil:
		return r.afterAnswer(result.failed)
	}
	if r.diagnose(ctx, a.endpoint, result.release.Incarnation) == verdictDied {
		r.died(ctx, a, result.release.Incarnation)
	}
	if !r.repeatable() {
		return &Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}
	}
	if r.exhausted() {
		return r.giveUp(ctx, ReasonNoAnswer)
	}
	if !r.Budget.TryRetry() {
		return r.giveUp(ctx, ReasonRetryBudget)
	}
	r.count(metricRetries)
	return nil
}

// afterRefusal decides whether a request goes on after an attempt that certainly did not run.
func (r *run) afterRefusal(ctx context.Context, result result) error {
	r.refusals++
	if r.refusals >= maxRefusals {
		return r.giveUp(ctx, ReasonNoEndpoint)
	}
	if result.release.Outcome != reservation.OutcomeRefused || !r.BudgetRefused {
		return nil
	}
	if r.exhausted() {
		return r.giveUp(ctx, ReasonNoEndpoint)
	}
	if !r.Budget.TryRetry() {
		return r.giveUp(ctx, ReasonRetryBudget)
	}
	return nil
}

// afterAnswer decides whether a request goes on after an endpoint has answered with a failure.
func (r *run) afterAnswer(failed *AttemptError) error {
	if r.repeatable() && !r.exhausted() && r.Budget.TryRetry() {
		r.count(metricRetries)
		return nil
	}
	return &Failure{State: StateFailed, Reason: ReasonServiceFailed, Detail: failed.Answer, Payload: failed.Payload}
}

// repeatable tells whether another attempt may follow one that may have run.
func (r *run) repeatable() bool {
	switch r.request.RetryPolicy {
	case RetryNever:
		return false
	case RetryFromStart:
		return r.position == r.request.ResumeAfter
	default:
		return true
	}
}

// exhausted tells whether as many endpoints were sent the request as it may have.
func (r *run) exhausted() bool {
	return r.request.MaxAttempts > 0 && r.sent >= r.request.MaxAttempts
}

// certainlyNotRun tells whether the endpoint surely did nothing of the attempt.
func certainlyNotRun(outcome reservation.Outcome) bool {
	return outcome == reservation.OutcomeNotRun || outcome == reservation.OutcomeRefused
}

// giveUp returns the final failure of a request that can't go on.
func (r *run) giveUp(ctx context.Context, reason string) error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return r.failure(ReasonCallerDisconnected, 0)
	}
	if reason == ReasonNoEndpoint && r.reason != "" {
		reason = r.reason
	}
	return r.failure(reason, jitter(max(r.retryAfter, comeBackAfter)))
}

// failure returns the final answer with the truth about the request.
func (r *run) failure(reason string, retryAfter time.Duration) error {
	state := StateNotRun
	if r.ran {
		state = StateFailed
	}
	return &Failure{State: state, Reason: reason, RetryAfter: retryAfter}
}

// jitter spreads a time over half to one and a half of it, so that callers do not come back together.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
