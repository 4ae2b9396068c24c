package dispatch

import (
	"context"
	"errors"
	"time"

	"wisteriadyke/core/fleet"
)

// minConnectFailures is the number of endpoints that a request could not connect to after which another entry is asked
// to serve it, although this entry does not consider itself cut off yet.
const minConnectFailures = 2

// maxAlternatesBackoffs is the number of back-offs, together a sixth of a second in the mean, in which a request waits
// for entries that may serve it.
const maxAlternatesBackoffs = 2

// The names of the metrics of forwarding.
const (
	// metricForwarded counts requests that another entry accepted from this one.
	metricForwarded = "dispatch.forwarded"
	// metricForwardsDeclined counts entries that did not accept a request from this one.
	metricForwardsDeclined = "dispatch.forwards_declined"
)

// ForwardClient passes requests on to other entries.
type ForwardClient interface {
	// Forward lets another entry serve a request and writes its answer to sink. The error is that of the sink, a *Failure
	// of the other entry, or an *AttemptError: CertainRefused if the other entry declined the request, CertainNotRun if it
	// never received it, else Uncertain.
	Forward(ctx context.Context, to fleet.Entry, request Request, sink Sink) error
}

// Forwarding lets other entries serve the requests of this one while it reaches no endpoint. Its fields must be set
// before use.
type Forwarding struct {
	// CutOff reports whether most endpoints of a pool are unreachable for this entry.
	CutOff func(fleet.PoolName) bool
	// Unreachable reports whether this entry failed to connect to an endpoint; nil means that it never does.
	Unreachable func(endpoint fleet.Endpoint, now time.Time) bool
	// Alternates returns entries that may reach the endpoints of a pool, the best first.
	Alternates func(fleet.PoolName) []fleet.Entry
	// RecordFailure records that an entry did not accept a request, or could not be reached.
	RecordFailure func(id fleet.EntryID, reached bool)
	// Client passes the requests on.
	Client ForwardClient
}

// tryForward lets another entry serve the request if this one can't reach the endpoints. It returns false and nil if the
// request is to be tried here: it need not be passed on, or no entry that may serve it is left.
func (r *requestRun) tryForward(ctx context.Context) (done bool, err error) {
	if r.Forwarding == nil || r.request.ForwardedBy != "" {
		return false, nil
	}
	if !r.Forwarding.CutOff(r.request.Pool) && r.connectFailures+r.confirmedTimeouts(time.Now()) < minConnectFailures {
		return false, nil
	}
	for _, to := range r.Forwarding.Alternates(r.request.Pool) {
		if r.forwardedTo[to.ID] {
			continue
		}
		if r.forwardedTo == nil {
			r.forwardedTo = make(map[fleet.EntryID]bool)
		}
		r.forwardedTo[to.ID] = true
		sink := &forwardSink{requestRun: r}
		startedAt := time.Now()
		err := r.Forwarding.Client.Forward(ctx, to, r.remainingRequest(), sink)
		r.recordForward(to, sink, err, time.Since(startedAt))
		switch {
		case err == nil:
			r.increment(metricForwarded)
			return true, nil
		case sink.err != nil:
			return false, sink.err
		case isCertainlyNotRun(err), lacksEndpoints(err):
			r.increment(metricForwardsDeclined)
			var attemptErr *AttemptError
			r.Forwarding.RecordFailure(to.ID, !errors.As(err, &attemptErr) || attemptErr.Certainty == CertainRefused)
			if ctx.Err() != nil {
				return false, r.finalFailure(ctx, ReasonTimeout)
			}
			continue
		}
		r.increment(metricForwarded)
		if err := r.handleForwardFailure(ctx, err); err != nil {
			return false, err
		}
	}
	return false, nil
}

// confirmedTimeouts returns how many of the endpoints that the request could not connect to within the grant's
// ConnectTimeout did not accept a probe since either.
func (r *requestRun) confirmedTimeouts(now time.Time) int {
	if r.Forwarding.Unreachable == nil {
		return 0
	}
	count := 0
	for _, endpoint := range r.connectTimeouts {
		if r.Forwarding.Unreachable(endpoint, now) {
			count++
		}
	}
	return count
}

// lacksEndpoints reports whether another entry did not run a request because it reaches no endpoint either.
func lacksEndpoints(err error) bool {
	var failure *Failure
	return errors.As(err, &failure) && failure.State == StateNotRun && failure.Reason == ReasonNoEndpoint
}

// awaitsAlternates reports whether the request waits for entries that may serve it: they become known soon after this
// entry has found itself cut off.
func (r *requestRun) awaitsAlternates() bool {
	return r.Forwarding != nil && r.request.ForwardedBy == "" && r.backoffs < maxAlternatesBackoffs &&
		r.Forwarding.CutOff(r.request.Pool)
}

// remainingRequest returns the request as another entry is to serve it: without what was answered and tried already.
func (r *requestRun) remainingRequest() Request {
	request := r.request
	request.ForwardedBy = r.Entry
	request.Fingerprint = r.fingerprint
	request.ResumeAfter = r.position
	if request.MaxAttempts > 0 {
		// Zero would mean no limit.
		request.MaxAttempts = max(1, request.MaxAttempts-r.sentAttempts)
	}
	return request
}

// handleForwardFailure returns nil if the request is retried after another entry failed it, else the final failure.
func (r *requestRun) handleForwardFailure(ctx context.Context, err error) error {
	var failure *Failure
	if errors.As(err, &failure) {
		final := *failure
		if r.mayHaveRun && final.State == StateNotRun {
			final.State = StateFailed
		}
		return &final
	}
	r.mayHaveRun = true
	r.sentAttempts++
	switch {
	case ctx.Err() != nil:
		return r.finalFailure(ctx, ReasonTimeout)
	case !r.canRetry():
		return &Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}
	case r.attemptsExhausted():
		return r.finalFailure(ctx, ReasonNoAnswer)
	case !r.Budget.TryRetry():
		return r.finalFailure(ctx, ReasonRetryBudget)
	}
	r.increment(metricRetries)
	return nil
}

// recordForward logs how another entry served the request.
func (r *requestRun) recordForward(to fleet.Entry, sink *forwardSink, err error, took time.Duration) {
	r.Log.Info().
		Str("request", string(r.request.ID)).
		Str("peer", string(to.ID)).
		Bool("cut_off", r.Forwarding.CutOff(r.request.Pool)).
		Int("connect_failures", r.connectFailures).
		Int("generated", sink.written).
		Dur("took_ms", took).
		AnErr("cause", err).
		Msg("dispatch: request forwarded to another entry")
}

// forwardSink writes the answer that another entry passes on, from the position that the caller has reached.
type forwardSink struct {
	*requestRun
	// written counts the pieces of the answer; err is the error of the caller's sink.
	written int
	err     error
}

// SetResponseHeader passes the response header on.
func (s *forwardSink) SetResponseHeader(header any) {
	if sink, ok := s.sink.(ResponseHeaderSink); ok {
		sink.SetResponseHeader(header)
	}
}

// WriteToken writes the next piece of the answer. It returns errTokenGap, which does not come from the caller, if a
// piece is missing or repeated.
func (s *forwardSink) WriteToken(position fleet.Tokens, text string) error {
	if position != s.position+1 {
		return errTokenGap
	}
	if s.position == 0 {
		s.recordDuration(metricFirstToken, time.Since(s.arrivedAt))
	}
	s.position = position
	s.written++
	s.err = s.sink.WriteToken(position, text)
	return s.err
}
