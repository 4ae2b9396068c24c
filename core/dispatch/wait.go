package dispatch

import (
	"context"
	"time"

	"wisteriadyke/core/reservation"
)

const (
	// minCallerTimeout is the shortest time for which callers wait for the first event of an answer.
	minCallerTimeout = 2 * time.Second
	// callerTimeoutPerObjective and callerTimeoutPerPause are the multiples of the objective and of the pause objective for which
	// callers wait if these are longer.
	callerTimeoutPerObjective = 4
	callerTimeoutPerPause     = 8
	// lateRetryAfter is the retry delay for a request whose time has passed while it waited.
	lateRetryAfter = 100 * time.Millisecond
)

// latestStart returns when the first token is of use at the latest: at its deadline, or when the caller gives up. It
// returns the zero time if the request has no objective.
func (r *requestRun) latestStart() time.Time {
	if r.request.Objective <= 0 {
		return time.Time{}
	}
	timeout := max(minCallerTimeout, callerTimeoutPerObjective*r.request.Objective, callerTimeoutPerPause*r.request.PauseObjective)
	latest := r.arrivedAt.Add(timeout)
	if deadline := r.firstTokenDeadline(); !deadline.IsZero() && deadline.Before(latest) {
		return deadline
	}
	return latest
}

// mayWait reports whether the request may wait for an endpoint: it can still be refused, and its caller still waits. A
// request that may have run, or whose caller has a part of the answer, goes on at once. So does one that another entry has
// forwarded: this entry can't check its key again, and does not know when it arrived there.
func (r *requestRun) mayWait() bool {
	return r.request.ForwardedBy == "" && !r.mayHaveRun && r.position == r.request.ResumeAfter && time.Now().Before(r.latestStart())
}

// checkWait checks after a wait for an endpoint whether the request may still be sent: its key, its route and its time.
// It returns the final failure if not.
//
// Load pattern: requests wait for up to seconds, in which keys are revoked and entries freeze.
func (r *requestRun) checkWait(ctx context.Context, grant reservation.Grant) error {
	if grant.Waited <= 0 {
		return nil
	}
	if ctx.Err() != nil {
		return r.finalFailure(ctx, ReasonTimeout)
	}
	if time.Now().After(r.latestStart()) {
		return r.newFailure(string(reservation.ReasonWaitTooLong), lateRetryAfter)
	}
	if r.request.Revalidate == nil {
		return nil
	}
	if reason := r.request.Revalidate(); reason != "" {
		return r.newFailure(reason, 0)
	}
	return nil
}
