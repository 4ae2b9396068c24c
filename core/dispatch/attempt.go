package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/quarantine"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/timeline"
)

const (
	// defaultLease is the lease of a reservation whose grant does not specify one.
	defaultLease = 15 * time.Second
	// renewalsPerLease is the number of renewals within one lease.
	renewalsPerLease = 3
	// stallTimeout is the time since the latest new token after which an attempt is canceled at its next renewal.
	stallTimeout = 10 * time.Second
)

// errReservationLapsed ends an attempt whose owner no longer has the reservation.
var errReservationLapsed = errors.New("reservation has lapsed")

// errSuspected ends an attempt when an endpoint has died while it ran another copy of the same request.
var errSuspected = errors.New("request is suspected of crashing endpoints")

// errStalled ends an attempt whose answer has begun and then has had no new token for stallTimeout.
var errStalled = errors.New("answer has stalled")

// attemptRun is one granted attempt of a request.
type attemptRun struct {
	*requestRun
	endpoint fleet.Endpoint
	grant    reservation.Grant
	id       fleet.AttemptID
	// firstTokenDue is when the first token of the attempt is due, as of its start.
	firstTokenDue time.Time

	// sentAt is when the attempt was sent; settled reports whether it was answered for quarantine.SettleTime.
	sentAt  time.Time
	settled bool
	// listAge is how old the list of endpoints was at sentAt, or -1 if that is not known.
	listAge time.Duration
	// renewNow triggers an immediate renewal.
	renewNow chan struct{}
	// moved reports whether the attempt was ended so that the request continues on another endpoint.
	moved bool

	mu        sync.Mutex
	progress  reservation.Progress
	lastEvent time.Time
}

// newAttemptRun returns the next attempt of a request.
func newAttemptRun(r *requestRun, endpoint fleet.Endpoint, grant reservation.Grant) *attemptRun {
	return &attemptRun{
		requestRun: r,
		endpoint:   endpoint,
		grant:      grant,
		id:         r.attemptID(r.attempts),

		firstTokenDue: r.firstTokenDeadline(),

		renewNow: make(chan struct{}, 1),
		progress: reservation.Progress{
			Endpoint:    endpoint.ID,
			Owner:       grant.Owner,
			Reservation: grant.Reservation,
			Generation:  grant.Generation,
		},
		lastEvent: time.Now(),
	}
}

// updateProgress applies change to the progress; immediate triggers a renewal at once.
func (a *attemptRun) updateProgress(immediate bool, change func(*reservation.Progress)) {
	a.mu.Lock()
	change(&a.progress)
	a.lastEvent = time.Now()
	a.mu.Unlock()
	if !immediate {
		return
	}
	select {
	case a.renewNow <- struct{}{}:
	default:
	}
}

// currentProgress returns the progress and the time of the last event.
func (a *attemptRun) currentProgress() (reservation.Progress, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.progress, a.lastEvent
}

// attemptResult holds how an attempt ended and what was measured while it ran.
type attemptResult struct {
	release reservation.Release
	sinkErr error
	// errorAnswer is the error of an endpoint that ran the attempt and answered with a failure, or nil.
	errorAnswer *AttemptError
	// endedAt is when the attempt ended.
	endedAt time.Time
	// cause is the error of the engine client that ended the attempt, or nil.
	cause error
	// lastTokenAt is when the last token arrived.
	lastTokenAt time.Time
	// longestPause is the longest time between two tokens, without the time for which the endpoint waited for the caller.
	longestPause time.Duration
	// callerWait is how long the endpoint waited for the caller.
	callerWait time.Duration
	// malformed reports whether the answer was invalid while the connection was intact.
	malformed bool
}

// setError sets the outcome of the attempt from the error that ended it.
func (r *attemptResult) setError(err error) {
	r.release.Outcome = outcomeOf(err)
	r.cause = err
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) {
		return
	}
	r.release.FailedHelper = attemptErr.FailedHelper
	if attemptErr.Certainty == CertainFailed {
		r.release.Outcome = reservation.OutcomeFailed
		r.errorAnswer = attemptErr
	}
}

// serve runs the attempt until it ends, and renews its reservation while it runs. If this entry ended it early and it
// may still run, serve cancels it at its engine; if the engine confirms that, the outcome is OutcomeCanceled.
func (a *attemptRun) serve(ctx context.Context) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	suspected, stopWatch := a.Suspects.Watch(a.fingerprint)
	defer stopWatch()
	var group errgroup.Group
	group.Go(func() error {
		a.renew(ctx, suspected, cancel)
		return nil
	})
	a.sentAt, a.listAge = time.Now(), a.currentListAge()
	res := a.stream(ctx)
	res.endedAt = time.Now()
	res.release.CutShort = ctx.Err() != nil
	endedByEntry := res.release.CutShort || res.sinkErr != nil || res.malformed
	cancel(nil)
	_ = group.Wait()
	// A connection that the engine broke is reported as broken without a cancel call, since the engine may have died.
	if endedByEntry && res.release.Outcome == reservation.OutcomeBroken && a.cancelAtEngine(ctx) {
		res.release.Outcome = reservation.OutcomeCanceled
	}
	return res
}

// stream runs the attempt and writes its tokens to the sink.
func (a *attemptRun) stream(ctx context.Context) attemptResult {
	var res attemptResult
	startedAt := time.Now()
	stream, err := a.Engines.Generate(ctx, Attempt{
		Endpoint:    a.endpoint,
		ID:          a.id,
		Request:     a.request.ID,
		Grant:       a.grant,
		Prompt:      a.request.Prompt,
		Payload:     a.request.Payload,
		MaxTokens:   a.request.MaxTokens,
		Deadline:    a.request.Deadline,
		ResumeAfter: a.position,
	})
	if err != nil {
		res.setError(err)
		return res
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if err != nil {
			res.setError(err)
			return res
		}
		res.release.Incarnation = event.Incarnation
		switch event.Kind {
		case EventStarted:
			a.updateProgress(true, func(p *reservation.Progress) { p.Incarnation = event.Incarnation })
			if sink, ok := a.sink.(ResponseHeaderSink); ok {
				sink.SetResponseHeader(event.ResponseHeader)
			}
			a.record(timeline.Event{Kind: timeline.KindAttemptStarted, Attempt: a.id, Endpoint: a.endpoint.ID})
		case EventToken:
			if err := a.handleToken(event, startedAt, &res); err != nil {
				return res
			}
		case EventDone:
			res.release.Outcome = reservation.OutcomeDone
			if event.Position != a.position {
				res.release.Outcome = reservation.OutcomeBroken
				res.malformed = true
			}
			return res
		}
	}
}

// handleToken writes one token to the sink. It drops tokens that the sink already has; an error ends the attempt.
func (a *attemptRun) handleToken(event Event, startedAt time.Time, res *attemptResult) error {
	if event.Position <= a.position {
		a.increment(metricTokensDropped)
		a.record(timeline.Event{Kind: timeline.KindTokenDropped, Attempt: a.id, Endpoint: a.endpoint.ID})
		return nil
	}
	if event.Position > a.position+1 {
		res.release.Outcome = reservation.OutcomeBroken
		res.malformed = true
		return errTokenGap
	}
	now := time.Now()
	first := res.release.GeneratedTokens == 0
	if first {
		res.release.PrefilledTokens = a.request.PromptTokens - event.CachedTokens
		res.release.TimeToFirstToken = now.Sub(startedAt)
		a.recordFirstToken(now)
		a.recordPrediction(a.grant, res.release.TimeToFirstToken)
	} else {
		res.longestPause = max(res.longestPause, now.Sub(res.lastTokenAt))
	}
	res.lastTokenAt = now
	res.release.GeneratedTokens++
	res.release.DecodeTime = now.Sub(startedAt) - res.release.TimeToFirstToken - res.callerWait
	if !a.settled && res.release.DecodeTime >= quarantine.SettleTime {
		a.settled = true
		a.recordSurvival(now)
	}
	a.position = event.Position
	a.updateProgress(first, func(p *reservation.Progress) {
		p.Incarnation = event.Incarnation
		p.Started = true
		p.Position = event.Position
		p.PrefilledTokens = res.release.PrefilledTokens
		p.TimeToFirstToken = res.release.TimeToFirstToken
	})
	before := a.callerWait()
	if err := a.sink.WriteToken(event.Position, event.Text); err != nil {
		res.sinkErr = err
		res.release.Outcome = reservation.OutcomeBroken
		return err
	}
	waited := a.callerWait() - before
	res.callerWait += waited
	res.lastTokenAt = now.Add(waited)
	return nil
}

// callerWait returns how long endpoints waited for the caller of the request, which says nothing about their pace. It is 0
// without a buffer.
func (r *requestRun) callerWait() time.Duration {
	if sink, ok := r.sink.(interface{ callerWait() time.Duration }); ok {
		return sink.callerWait()
	}
	return 0
}

// recordSurvival records that an endpoint has survived the prompt of the request.
func (r *requestRun) recordSurvival(now time.Time) {
	if r.Parts != nil {
		r.Parts.RecordSurvival(r.request.SharedParts, now)
	}
}

// errTokenGap ends an attempt whose answer skips a token.
var errTokenGap = errors.New("answer skips a token")

// recordFirstToken records the first token of the attempt with the time since the request arrived, and adds that time
// to the metrics if it is the first token of the answer.
func (a *attemptRun) recordFirstToken(now time.Time) {
	took := now.Sub(a.arrivedAt)
	if a.position == 0 {
		a.recordDuration(metricFirstToken, took)
	}
	a.record(timeline.Event{Kind: timeline.KindFirstToken, Attempt: a.id, Endpoint: a.endpoint.ID, Duration: took})
}

// renew reports progress to the owner until ctx ends: periodically, and at once when the attempt starts, when its first
// token arrives and when that is overdue. It cancels the attempt when its reservation has lapsed, when its answer stalls,
// or when the request is put on trial or quarantined, since endpoints died that ran other copies of it, unless its answer has
// begun and can't be continued elsewhere.
func (a *attemptRun) renew(ctx context.Context, suspected <-chan struct{}, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(a.renewInterval())
	defer ticker.Stop()
	overdue, stopOverdue := startTimer(a.grant.OverdueAfter)
	defer stopOverdue()
	stalled, stopStalled := startTimer(a.grant.StallAfter)
	defer stopStalled()
	for {
		select {
		case <-ctx.Done():
			return
		case <-suspected:
			if progress, _ := a.currentProgress(); !progress.Started || a.request.RetryPolicy == RetryResume {
				cancel(errSuspected)
				return
			}
			// The caller would lose an answer that can't be continued, and the endpoint may have survived the request.
			suspected = nil
			continue
		case <-stalled:
			if a.moveStalled(time.Now()) {
				cancel(errNoFirstToken)
				return
			}
			continue
		case <-overdue:
		case <-a.renewNow:
		case <-ticker.C:
		}
		progress, lastEvent := a.currentProgress()
		if progress.Started && time.Since(lastEvent) > stallTimeout {
			cancel(errStalled)
			return
		}
		err := a.Reservations.Renew(ctx, progress)
		var refusal *reservation.Refusal
		if errors.As(err, &refusal) && refusal.Reason == reservation.ReasonUnknownReservation {
			cancel(errReservationLapsed)
			return
		}
	}
}

// startTimer returns a channel that receives after d, or never if d is 0, and a function that stops the timer.
func startTimer(d time.Duration) (<-chan time.Time, func()) {
	if d <= 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(d)
	return timer.C, func() { timer.Stop() }
}

// renewInterval returns the time between two renewals.
func (a *attemptRun) renewInterval() time.Duration {
	lease := a.grant.Lease
	if lease <= 0 {
		lease = defaultLease
	}
	return lease / renewalsPerLease
}

// cancelAtEngine cancels the attempt at its engine and reports whether the engine confirmed it.
func (a *attemptRun) cancelAtEngine(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	return a.Engines.Cancel(ctx, a.endpoint, a.id) == nil
}

// release releases the reservation with the outcome and measurements of the attempt, even if ctx has ended.
func (a *attemptRun) release(ctx context.Context, res attemptResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	release := res.release
	release.Endpoint = a.grant.Endpoint
	release.Attempted = a.endpoint.Incarnation
	release.Owner = a.grant.Owner
	release.Reservation = a.grant.Reservation
	release.Generation = a.grant.Generation
	_ = a.Reservations.Release(ctx, release)
}

// outcomeOf returns the outcome of an attempt that ended with err; setError replaces it for CertainFailed.
func outcomeOf(err error) reservation.Outcome {
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) {
		return reservation.OutcomeBroken
	}
	switch attemptErr.Certainty {
	case CertainNotRun:
		return reservation.OutcomeNotRun
	case CertainNotConnected:
		return reservation.OutcomeNotConnected
	case CertainNotSent:
		return reservation.OutcomeNotSent
	case CertainRefused:
		return reservation.OutcomeRefused
	default:
		return reservation.OutcomeBroken
	}
}
