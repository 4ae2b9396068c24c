package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// defaultRetryAfter is the mean of the jittered RetryAfter of a failure, unless the shortest RetryAfter of the
	// refusals is longer.
	defaultRetryAfter = 2 * time.Second
	// maxPauseSpread bounds the random time that is added to the end of a pause, so that callers do not return together.
	maxPauseSpread = 400 * time.Millisecond
)

// finalFailure returns the final failure of a request. The reason becomes ReasonCallerDisconnected if the caller
// canceled the request; ReasonNoEndpoint is replaced by the reason of the latest refusal, if there is one.
func (r *requestRun) finalFailure(ctx context.Context, reason string) error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return r.newFailure(ReasonCallerDisconnected, 0)
	}
	if reason == ReasonNoEndpoint && r.refusalReason != "" {
		reason = r.refusalReason
	}
	if !r.pausedUntil.IsZero() {
		// An earlier retry would be refused again.
		return r.newFailure(reason, max(0, time.Until(r.pausedUntil))+rand.N(maxPauseSpread))
	}
	return r.newFailure(reason, jitter(max(r.retryAfter, defaultRetryAfter)))
}

// newFailure returns a failure in StateFailed if any attempt may have run, else in StateNotRun.
func (r *requestRun) newFailure(reason string, retryAfter time.Duration) error {
	state := StateNotRun
	if r.mayHaveRun {
		state = StateFailed
	}
	return &Failure{State: state, Reason: reason, RetryAfter: retryAfter}
}

// jitter returns a random duration between 0.5 and 1.5 times the mean, so that callers do not retry at the same time.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
