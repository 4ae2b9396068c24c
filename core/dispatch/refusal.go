package dispatch

import (
	"context"
	"errors"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// handleRefusal records a refused reservation. It returns the final failure if the request has to be aborted, else nil.
func (r *requestRun) handleRefusal(ctx context.Context, endpoint fleet.Endpoint, err error) error {
	if ctx.Err() != nil {
		return r.finalFailure(ctx, ReasonTimeout)
	}
	refusal := &reservation.Refusal{Reason: reservation.ReasonUnreachable}
	errors.As(err, &refusal)
	r.recordRefusal(endpoint, refusal)
	r.refusalReason = string(refusal.Reason)
	if refusal.RetryAfter > 0 && (r.retryAfter == 0 || refusal.RetryAfter < r.retryAfter) {
		r.retryAfter = refusal.RetryAfter
	}
	if refusal.Reason.EndsWait() {
		return r.newFailure(string(refusal.Reason), refusal.RetryAfter)
	}
	if endpoint.ID != "" {
		r.excluded[endpoint.ID] = true
	}
	if refusal.Reason == reservation.ReasonNoEndpoint && r.awaitsAlternates() {
		r.transientRefusal = true
		return nil
	}
	if transientReason(refusal.Reason) || refusal.Reason == reservation.ReasonRateLimited && r.mayAwaitRate() {
		r.transientRefusal = true
		return nil
	}
	if refusal.Reason == reservation.ReasonPaused {
		if r.position > r.request.ResumeAfter {
			// The caller has a part of the answer and can't be refused; the pause may end in time.
			r.transientRefusal = true
			return nil
		}
		r.pausedUntil = time.Now().Add(refusal.RetryAfter)
	}
	if endpoint.ID == "" {
		// Reservations chooses among all endpoints of the pool, so none of them accepts the request.
		return r.finalFailure(ctx, r.refusalReason)
	}
	r.refusals++
	if r.refusals >= maxRefusals {
		return r.finalFailure(ctx, r.refusalReason)
	}
	return nil
}

// mayAwaitRate reports whether the request waits for an endpoint whose limit is reached: only within its objective, since
// more requests than all limits allow would wait in vain, or if the caller has a part of the answer and can't be refused.
func (r *requestRun) mayAwaitRate() bool {
	return r.position > r.request.ResumeAfter || time.Since(r.arrivedAt) < r.request.Objective
}

// transientReason reports whether the same endpoint may accept the request soon.
func transientReason(reason reservation.Reason) bool {
	switch reason {
	case reservation.ReasonNotOwner, reservation.ReasonUnreachable, reservation.ReasonResynchronizing,
		reservation.ReasonCold, reservation.ReasonNoMemory:
		return true
	default:
		return false
	}
}
