package dispatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/timeline"
)

const (
	// defaultLease is the time between two renewals, times renewalsPerLease, when a grant names no lease.
	defaultLease = 15 * time.Second
	// renewalsPerLease is how often a reservation is renewed within its lease.
	renewalsPerLease = 3
	// stallTime is how long an answer that has begun may stand still.
	stallTime = 10 * time.Second
)

// errLapsed ends an attempt whose reservation the owner does not know any more.
var errLapsed = errors.New("reservation has lapsed")

// errSuspected ends an attempt of which another copy ran where an endpoint died.
var errSuspected = errors.New("request is suspected of crashing endpoints")

// errStalled ends an attempt whose answer stands still.
var errStalled = errors.New("answer has stalled")

// attempt is one granted attempt of a request.
type attempt struct {
	*run
	endpoint fleet.Endpoint
	grant    reservation.Grant
	id       fleet.AttemptID

	// news wakes the renewal when the owner should hear at once.
	news chan struct{}

	mu        sync.Mutex
	progress  reservation.Progress
	lastEvent time.Time
}

// newAttempt returns the next attempt of a request.
func newAttempt(r *run, endpoint fleet.Endpoint, grant reservation.Grant) *attempt {
	return &attempt{
		run:      r,
		endpoint: endpoint,
		grant:    grant,
		id:       r.attemptID(r.attempts),
		news:     make(chan struct{}, 1),
		progress: reservation.Progress{
			Endpoint:    endpoint.ID,
			Owner:       grant.Owner,
			Reservation: grant.Reservation,
			Generation:  grant.Generation,
		},
		lastEvent: time.Now(),
	}
}

// note keeps what an event tells of the progress; urgent wakes the renewal.
func (a *attempt) note(urgent bool, change func(*reservation.Progress)) {
	a.mu.Lock()
	change(&a.progress)
	a.lastEvent = time.Now()
	a.mu.Unlock()
	if !urgent {
		return
	}
	select {
	case a.news <- struct{}{}:
	default:
	}
}

// noted returns the progress and when the last event came.
func (a *attempt) noted() (reservation.Progress, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.progress, a.lastEvent
}

// result is how an attempt ended.
type result struct {
	release reservation.Release
	sinkErr error
	// failed is the failure that the endpoint answered with, or nil.
	failed *AttemptError
	// cause is the error that ended the attempt, or nil.
	cause error
	// lastTokenAt and longestPause tell how evenly the answer came.
	lastTokenAt  time.Time
	longestPause time.Duration
	// bad tells that the answer was not fit to be passed on, though the connection held.
	bad bool
}

// fail notes the error that ended the attempt.
func (r *result) fail(err error) {
	r.release.Outcome = failedOutcome(err)
	r.cause = err
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) {
		return
	}
	r.release.FailedHelper = attemptErr.FailedHelper
	if attemptErr.Certainty == CertainFailed {
		r.release.Outcome = reservation.OutcomeFailed
		r.failed = attemptErr
	}
}

// serve runs the attempt and renews its reservation until it has ended.
func (a *attempt) serve(ctx context.Context) result {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	died, stop := a.Suspects.Watch(a.fingerprint)
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		a.renew(ctx, died, cancel)
		return nil
	})
	res := a.stream(ctx)
	endedHere := ctx.Err() != nil || res.sinkErr != nil || res.bad
	cancel(nil)
	_ = group.Wait()
	// An attempt that the engine broke off is reported as it is and at once, since the engine may have died.
	if endedHere && res.release.Outcome == reservation.OutcomeBroken && a.cancelAtEngine(ctx) {
		res.release.Outcome = reservation.OutcomeCanceled
	}
	return res
}

// stream passes the tokens of the attempt on.
func (a *attempt) stream(ctx context.Context) result {
	var res result
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
		res.fail(err)
		return res
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if err != nil {
			res.fail(err)
			return res
		}
		res.release.Incarnation = event.Incarnation
		switch event.Kind {
		case EventStarted:
			a.note(true, func(p *reservation.Progress) { p.Incarnation = event.Incarnation })
			if sink, ok := a.sink.(ResponseHeaderSink); ok {
				sink.SetResponseHeader(event.ResponseHeader)
			}
			a.record(timeline.Event{Kind: timeline.KindAttemptStarted, Attempt: a.id, Endpoint: a.endpoint.ID})
		case EventToken:
			if err := a.token(event, startedAt, &res); err != nil {
				return res
			}
		case EventDone:
			res.release.Outcome = reservation.OutcomeDone
			if event.Position != a.position {
				res.release.Outcome = reservation.OutcomeBroken
				res.bad = true
			}
			return res
		}
	}
}

// token passes one token on, in its place; an error ends the attempt.
func (a *attempt) token(event Event, startedAt time.Time, res *result) error {
	if event.Position <= a.position {
		a.count(metricDropped)
		a.record(timeline.Event{Kind: timeline.KindAnswerDropped, Attempt: a.id, Endpoint: a.endpoint.ID})
		return nil
	}
	if event.Position > a.position+1 {
		res.release.Outcome = reservation.OutcomeBroken
		res.bad = true
		return errGap
	}
	now := time.Now()
	first := res.release.GeneratedTokens == 0
	if first {
		res.release.PrefilledTokens = a.request.PromptTokens - event.Cached
		res.release.TimeToFirstToken = now.Sub(startedAt)
		a.firstToken(now)
	} else {
		res.longestPause = max(res.longestPause, now.Sub(res.lastTokenAt))
	}
	res.lastTokenAt = now
	res.release.GeneratedTokens++
	res.release.DecodeTime = now.Sub(startedAt) - res.release.TimeToFirstToken
	a.position = event.Position
	a.note(first, func(p *reservation.Progress) {
		p.Incarnation = event.Incarnation
		p.Started = true
		p.Position = event.Position
		p.PrefilledTokens = res.release.PrefilledTokens
		p.TimeToFirstToken = res.release.TimeToFirstToken
	})
	if err := a.sink.WriteToken(event.Position, event.Text); err != nil {
		res.sinkErr = err
		res.release.Outcome = reservation.OutcomeBroken
		return err
	}
	return nil
}

// errGap ends an attempt that skips a token.
var errGap = errors.New("answer skips a token")

// firstToken records and measures the first token of the answer.
func (a *attempt) firstToken(now time.Time) {
	took := now.Sub(a.arrivedAt)
	if a.position == 0 {
		a.measure(metricFirstToken, took)
	}
	a.record(timeline.Event{Kind: timeline.KindFirstToken, Attempt: a.id, Endpoint: a.endpoint.ID, Duration: took})
}

// renew reports progress to the owner until ctx ends, at once when the attempt starts and with its first token; it ends the attempt when its reservation is gone, when it stalls
// and when a copy of the request is found to crash endpoints.
func (a *attempt) renew(ctx context.Context, died <-chan struct{}, end context.CancelCauseFunc) {
	ticker := time.NewTicker(a.renewInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-died:
			end(errSuspected)
			return
		case <-a.news:
		case <-ticker.C:
		}
		progress, lastEvent := a.noted()
		if progress.Started && time.Since(lastEvent) > stallTime {
			end(errStalled)
			return
		}
		err := a.Reservations.Renew(ctx, progress)
		var refusal *reservation.Refusal
		if errors.As(err, &refusal) && refusal.Reason == reservation.ReasonUnknownReservation {
			end(errLapsed)
			return
		}
	}
}

// renewInterval is the time between two renewals.
func (a *attempt) renewInterval() time.Duration {
	lease := a.grant.Lease
	if lease <= 0 {
		lease = defaultLease
	}
	return lease / renewalsPerLease
}

// cancelAtEngine ends the attempt at its engine and tells whether the engine confirmed it.
func (a *attempt) cancelAtEngine(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	return a.Engines.Cancel(ctx, a.endpoint, a.id) == nil
}

// release gives the reservation back, also when the caller is gone.
func (a *attempt) release(ctx context.Context, res result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	release := res.release
	release.Endpoint = a.grant.Endpoint
	release.Owner = a.grant.Owner
	release.Reservation = a.grant.Reservation
	release.Generation = a.grant.Generation
	_ = a.Reservations.Release(ctx, release)
}

// failedOutcome turns the error of an attempt into its outcome.
func failedOutcome(err error) reservation.Outcome {
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) {
		return reservation.OutcomeBroken
	}
	switch attemptErr.Certainty {
	case CertainNotRun:
		return reservation.OutcomeNotRun
	case CertainRefused:
		return reservation.OutcomeRefused
	default:
		return reservation.OutcomeBroken
	}
}
