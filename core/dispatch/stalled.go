package dispatch

import (
	"errors"
	"time"
)

// errNoFirstToken ends an attempt whose first token is so late that another endpoint is tried.
var errNoFirstToken = errors.New("no first token for well past the prediction")

// moveStalled reports whether an attempt without a first token ends so that the request continues on another endpoint:
// once for each request, if it can be resumed, and if the attempts of its route, the retry budget and the time left allow
// another attempt. It takes the retry from the budget.
//
// Load pattern: an endpoint becomes several times slower than published. Its queue is not finished in time even if it
// gets nothing more, while other endpoints are free.
func (a *attemptRun) moveStalled(now time.Time) bool {
	progress, _ := a.currentProgress()
	r := a.requestRun
	switch {
	case progress.Started, r.movedStalled, r.request.RetryPolicy != RetryResume:
		return false
	case r.request.MaxAttempts > 0 && r.sentAttempts+1 >= r.request.MaxAttempts:
		return false
	case now.Add(a.grant.Predicted).After(a.firstTokenDue):
		return false
	case !r.Budget.TryRetry():
		return false
	}
	r.movedStalled, a.moved = true, true
	r.increment(metricStalled)
	r.Log.Info().
		Str("request", string(r.request.ID)).
		Str("attempt", string(a.id)).
		Str("endpoint", string(a.endpoint.ID)).
		Dur("predicted_ms", a.grant.Predicted).
		Dur("waited_ms", a.grant.StallAfter).
		Msg("dispatch: stalled attempt moved to another endpoint")
	return true
}
