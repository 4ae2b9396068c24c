package dispatch

import (
	"context"
	"fmt"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/timeline"
)

const (
	// minBackoff is the mean of the first back-off after transient refusals.
	minBackoff = 50 * time.Millisecond
	// maxBackoff is the maximum mean of a back-off.
	maxBackoff = time.Second
	// maxBackoffDoublings limits the shift of minBackoff, so that it cannot overflow; maxBackoff applies earlier.
	maxBackoffDoublings = 8
	// maxRefusals is the number of refusals after which a request is aborted. It counts refused reservations whose
	// reason is not transient, and attempts that an endpoint refused or never received.
	maxRefusals = 4
	// releaseTimeout limits calls that release a reservation or broadcast a suspect record.
	releaseTimeout = 2 * time.Second
	// cancelTimeout limits calls that cancel an attempt at its engine.
	cancelTimeout = time.Second
)

// requestRun is the state of one request in flight.
type requestRun struct {
	*Dispatcher
	request     Request
	sink        Sink
	fingerprint retry.Fingerprint
	prefixes    []placement.Prefix
	// excluded holds the endpoints that refused or failed the request since the latest back-off.
	excluded  map[fleet.EndpointID]bool
	arrivedAt time.Time
	// attempts counts granted attempts.
	attempts int
	// mayHaveRun reports whether an attempt may have run.
	mayHaveRun bool
	onTrial    bool
	// refusals counts the refusals that maxRefusals limits.
	refusals int
	// sentAttempts counts the attempts that may have reached an endpoint.
	sentAttempts int
	// connectFailures counts the attempts that could not connect to their endpoint; forwardedTo holds the entries that
	// were asked to serve the request.
	connectFailures int
	// connectTimeouts holds the endpoints that could not be connected to within the grant's ConnectTimeout.
	connectTimeouts []fleet.Endpoint
	forwardedTo     map[fleet.EntryID]bool
	backoffs        int
	// movedStalled reports whether an attempt was ended since its first token was late.
	movedStalled bool
	// transientRefusal reports whether a refusal since the latest back-off was transient.
	transientRefusal bool
	// position is the number of tokens of the answer that the caller has.
	position fleet.Tokens
	// retryAfter is the shortest positive RetryAfter of all refusals; refusalReason is the reason of the latest one.
	retryAfter    time.Duration
	refusalReason string
	// pausedUntil is the end of the first pause if all endpoints of the pool asked for one; the zero time means that they
	// did not.
	pausedUntil time.Time
}

// serve tries endpoints until the answer is complete or the request has failed.
func (r *requestRun) serve(ctx context.Context) error {
	for {
		exclusive, err := r.checkSuspicion(ctx)
		if err != nil {
			return err
		}
		if done, err := r.tryForward(ctx); done || err != nil {
			return err
		}
		endpoint, found := r.nextEndpoint()
		if !found {
			if err := r.backOff(ctx); err != nil {
				return err
			}
			continue
		}
		grant, err := r.reserve(ctx, endpoint, exclusive)
		if err == nil && endpoint.ID == "" {
			endpoint, err = r.grantedEndpoint(ctx, grant)
		}
		if err != nil {
			if err := r.handleRefusal(ctx, endpoint, err); err != nil {
				return err
			}
			continue
		}
		if err := r.checkParts(); err != nil {
			r.releaseUnused(ctx, grant)
			return err
		}
		if err := r.checkWait(ctx, grant); err != nil {
			r.releaseUnused(ctx, grant)
			return err
		}
		done, err := r.runAttempt(ctx, endpoint, grant)
		if done || err != nil {
			return err
		}
	}
}

// nextEndpoint returns the best endpoint that is not excluded, and whether there is one. Without a placement policy it
// returns an endpoint without an ID, since Reservations chooses one, and false after a transient refusal, so that the
// request backs off first.
func (r *requestRun) nextEndpoint() (fleet.Endpoint, bool) {
	if r.Placement == nil {
		return fleet.Endpoint{}, !r.transientRefusal
	}
	candidates := r.Placement.Candidates(r.Views.View(), r.placementNeed())
	if len(candidates) == 0 {
		return fleet.Endpoint{}, false
	}
	return candidates[0], true
}

// grantedEndpoint returns the endpoint that Reservations has chosen. If that endpoint has been removed meanwhile, it
// releases the reservation and returns a refusal.
func (r *requestRun) grantedEndpoint(ctx context.Context, grant reservation.Grant) (fleet.Endpoint, error) {
	endpoint, found := r.State.Endpoints.Get(grant.Endpoint)
	if found {
		return endpoint, nil
	}
	r.releaseUnused(ctx, grant)
	return fleet.Endpoint{}, &reservation.Refusal{Reason: reservation.ReasonUnreachable}
}

// releaseUnused releases a reservation under which no attempt is run.
func (r *requestRun) releaseUnused(ctx context.Context, grant reservation.Grant) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = r.Reservations.Release(ctx, reservation.Release{Endpoint: grant.Endpoint, Owner: grant.Owner, Reservation: grant.Reservation})
}

// placementNeed returns the placement requirements of the request.
func (r *requestRun) placementNeed() placement.Need {
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

// cachedTokens returns the estimated number of leading prompt tokens that an endpoint has cached.
func (r *requestRun) cachedTokens(endpoint fleet.Endpoint) fleet.Tokens {
	estimator, ok := r.Placement.(cacheEstimator)
	if !ok {
		return 0
	}
	return estimator.Cached(endpoint.ID, r.placementNeed())
}

// reserve requests a reservation for the next attempt at an endpoint, or at any endpoint of the pool if its ID is
// empty.
func (r *requestRun) reserve(ctx context.Context, endpoint fleet.Endpoint, exclusive bool) (reservation.Grant, error) {
	requestedAt := time.Now()
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
		LengthHint:         r.request.LengthHint,
		Received:           r.position,
		CachedTokens:       r.cachedTokens(endpoint),
		Objective:          r.request.Objective,
		PauseObjective:     r.request.PauseObjective,
		FirstTokenDeadline: r.firstTokenDeadline(),
		Deadline:           r.request.Deadline,
		ArrivedAt:          r.arrivedAt,
		LatestStart:        r.latestStart(),
		MayWait:            r.mayWait(),
		BodyBytes:          r.request.BodyBytes,
		Exclusive:          exclusive,
	})
	if err == nil {
		r.attempts++
		r.record(timeline.Event{
			Kind:     timeline.KindReservationGranted,
			Attempt:  r.attemptID(r.attempts),
			Endpoint: endpoint.ID,
			Peer:     grant.Owner,
			Duration: time.Since(requestedAt),
		})
	}
	return grant, err
}

// firstTokenDeadline returns when the next attempt's first token is due: at the request's FirstTokenDeadline, or at its
// Deadline once the caller has a part of the answer.
func (r *requestRun) firstTokenDeadline() time.Time {
	if r.position > 0 {
		return r.request.Deadline
	}
	return r.request.FirstTokenDeadline
}

// attemptID returns the ID of an attempt by its number. It contains the entry's ID so that attempts of the same request
// through different entries differ.
func (r *requestRun) attemptID(number int) fleet.AttemptID {
	return fleet.AttemptID(fmt.Sprintf("%s.%s.%d", r.request.ID, r.Entry, number))
}

// backOff waits before all endpoints are tried again, including excluded ones. It returns the final failure if no
// refusal since the previous back-off was transient, if the first-token deadline would pass, or if ctx ends.
func (r *requestRun) backOff(ctx context.Context) error {
	delay := jitter(min(minBackoff<<min(r.backoffs, maxBackoffDoublings), maxBackoff))
	if !r.transientRefusal || time.Now().Add(delay).After(r.firstTokenDeadline()) {
		return r.finalFailure(ctx, ReasonNoEndpoint)
	}
	r.backoffs++
	r.transientRefusal = false
	clear(r.excluded)
	clear(r.forwardedTo)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return r.finalFailure(ctx, ReasonTimeout)
	case <-timer.C:
		return nil
	}
}

// runAttempt runs one granted attempt. It returns true if the answer is complete, and an error if the request has
// failed; if it returns false and nil, the request is retried.
func (r *requestRun) runAttempt(ctx context.Context, endpoint fleet.Endpoint, grant reservation.Grant) (done bool, err error) {
	a := newAttemptRun(r, endpoint, grant)
	result := a.serve(ctx)
	a.release(ctx, result)
	r.recordEnd(a, result)
	r.mayHaveRun = r.mayHaveRun || !certainlyNotRun(result.release.Outcome)
	switch {
	case result.release.Outcome == reservation.OutcomeNotRun:
		r.connectFailures++
	case result.release.Outcome == reservation.OutcomeNotConnected:
		r.connectTimeouts = append(r.connectTimeouts, endpoint)
	case wasSent(result.release.Outcome):
		r.sentAttempts++
	}
	switch {
	case result.release.Outcome == reservation.OutcomeDone:
		r.Suspects.MarkCleared(ctx, r.fingerprint)
		if r.Unconfirmed != nil {
			r.Unconfirmed.recordSurvival(r.fingerprint)
		}
		r.recordSurvival(time.Now())
		return true, nil
	case result.sinkErr != nil:
		return false, result.sinkErr
	case ctx.Err() != nil:
		return false, r.finalFailure(ctx, ReasonTimeout)
	}
	return false, r.handleFailure(ctx, a, result)
}

// handleFailure returns nil if the request is retried after a failed attempt, else the final failure.
func (r *requestRun) handleFailure(ctx context.Context, a *attemptRun, result attemptResult) error {
	r.excluded[a.endpoint.ID] = true
	if result.release.FailedHelper != "" {
		r.excluded[result.release.FailedHelper] = true
	}
	switch {
	case a.moved:
		r.increment(metricRetries)
		return nil
	case certainlyNotRun(result.release.Outcome):
		return r.handleNotRun(ctx, result)
	case result.errorAnswer != nil:
		return r.handleErrorAnswer(result.errorAnswer)
	}
	d := r.diagnose(ctx, a.endpoint, result.release.Incarnation)
	r.recordDiagnosis(a, result, d)
	if d == diagnosisPathBroken {
		r.connectFailures = max(r.connectFailures, minConnectFailures)
	}
	switch {
	case d == diagnosisDied:
		r.recordDeath(ctx, a.observedDeath(result))
	case r.Unconfirmed != nil && (!d.reached() || result.mayHaveCrashed()):
		r.Unconfirmed.add(r.Dispatcher, a.endpoint, a.observedDeath(result), d)
	}
	if !r.canRetry() {
		return &Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}
	}
	if r.attemptsExhausted() {
		return r.finalFailure(ctx, ReasonNoAnswer)
	}
	if !r.Budget.TryRetry() {
		return r.finalFailure(ctx, ReasonRetryBudget)
	}
	r.increment(metricRetries)
	return nil
}

// handleNotRun returns nil if the request is retried after an attempt that certainly did not run, else the final
// failure.
func (r *requestRun) handleNotRun(ctx context.Context, result attemptResult) error {
	if result.release.Outcome != reservation.OutcomeNotConnected || len(r.connectTimeouts) == 1 {
		// An entry that is short of processor time misses several connections in a row. Each excludes one endpoint, so that
		// the number of attempts stays bounded.
		r.refusals++
	}
	if r.refusals >= maxRefusals {
		return r.finalFailure(ctx, ReasonNoEndpoint)
	}
	if result.release.Outcome != reservation.OutcomeRefused || !r.LimitRefusedRetries {
		return nil
	}
	if r.attemptsExhausted() {
		return r.finalFailure(ctx, ReasonNoEndpoint)
	}
	if !r.Budget.TryRetry() {
		return r.finalFailure(ctx, ReasonRetryBudget)
	}
	return nil
}

// handleErrorAnswer returns nil if the request is retried after an endpoint has answered with a failure, else the final
// failure.
func (r *requestRun) handleErrorAnswer(answer *AttemptError) error {
	if r.canRetry() && !r.attemptsExhausted() && r.Budget.TryRetry() {
		r.increment(metricRetries)
		return nil
	}
	return &Failure{State: StateFailed, Reason: ReasonServiceFailed, Detail: answer.Answer, Payload: answer.Payload}
}

// canRetry reports whether the retry policy allows another attempt after one that may have run.
func (r *requestRun) canRetry() bool {
	switch r.request.RetryPolicy {
	case RetryNever:
		return false
	case RetryFromStart:
		return r.position == r.request.ResumeAfter
	default:
		return true
	}
}

// attemptsExhausted reports whether MaxAttempts attempts of the request were sent.
func (r *requestRun) attemptsExhausted() bool {
	return r.request.MaxAttempts > 0 && r.sentAttempts >= r.request.MaxAttempts
}

// certainlyNotRun reports whether an attempt with this outcome certainly did not run.
func certainlyNotRun(outcome reservation.Outcome) bool {
	return outcome == reservation.OutcomeRefused || !wasSent(outcome)
}

// wasSent reports whether an attempt with this outcome may have reached its endpoint.
func wasSent(outcome reservation.Outcome) bool {
	switch outcome {
	case reservation.OutcomeNotRun, reservation.OutcomeNotConnected, reservation.OutcomeNotSent:
		return false
	default:
		return true
	}
}
