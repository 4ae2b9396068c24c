package dispatch

import (
	"context"
	"errors"
	"fmt"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/retry"
)

// ServiceClient runs calls on plain services.
type ServiceClient interface {
	// Call sends a call to an endpoint once and returns the answer. Errors are *AttemptError.
	Call(ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID, call Call) ([]byte, error)
}

// ServiceDispatcher sends calls to plain services.
type ServiceDispatcher struct {
	// Views provides the view that placement decisions are based on.
	Views ViewProvider
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Services sends the calls.
	Services ServiceClient
	// Placement ranks the endpoints.
	Placement placement.Policy
	// Budget limits retries.
	Budget *retry.Budget
}

// Call serves one call. Errors are *Failure. Attempts that certainly did not run are retried on other endpoints. After
// an attempt that may have run, only a call without AtMostOnce is retried, within the retry budget. A failure with
// which an endpoint answered is final.
func (d *ServiceDispatcher) Call(ctx context.Context, call Call) (CallResult, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	d.Budget.AddRequest()
	excluded := make(map[fleet.EndpointID]bool)
	state := StateNotRun
	for attempts := 1; ; attempts++ {
		endpoint, found := d.nextEndpoint(call, excluded)
		if !found {
			return CallResult{}, &Failure{State: state, Reason: ReasonNoEndpoint, RetryAfter: jitter(defaultRetryAfter)}
		}
		excluded[endpoint.ID] = true
		attempt := fleet.AttemptID(fmt.Sprintf("%s.%s.%d", call.ID, d.Entry, attempts))
		body, err := d.Services.Call(ctx, endpoint, attempt, call)
		if err == nil {
			return CallResult{Body: body}, nil
		}
		if failure := d.finalFailure(ctx, call, err); failure != nil {
			return CallResult{}, failure
		}
		if !isCertainlyNotRun(err) {
			state = StateFailed
		}
	}
}

// finalFailure returns the failure that ends the call after a failed attempt, or nil if the call can be retried.
func (d *ServiceDispatcher) finalFailure(ctx context.Context, call Call, err error) *Failure {
	var attemptErr *AttemptError
	answered := errors.As(err, &attemptErr) && attemptErr.Certainty == CertainFailed
	switch {
	case answered:
		return &Failure{State: StateFailed, Reason: ReasonServiceFailed, Detail: attemptErr.Answer}
	case call.AtMostOnce && !isCertainlyNotRun(err):
		return &Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}
	case ctx.Err() != nil && isCertainlyNotRun(err):
		return &Failure{State: StateNotRun, Reason: ReasonTimeout, RetryAfter: jitter(defaultRetryAfter)}
	case ctx.Err() != nil:
		return &Failure{State: StateFailed, Reason: ReasonTimeout, RetryAfter: jitter(defaultRetryAfter)}
	case !isCertainlyNotRun(err) && !d.Budget.TryRetry():
		return &Failure{State: StateFailed, Reason: ReasonRetryBudget, RetryAfter: jitter(defaultRetryAfter)}
	default:
		return nil
	}
}

// isCertainlyNotRun reports whether err proves that the endpoint did not run the attempt.
func isCertainlyNotRun(err error) bool {
	var attemptErr *AttemptError
	if !errors.As(err, &attemptErr) {
		return false
	}
	switch attemptErr.Certainty {
	case CertainNotRun, CertainNotConnected, CertainNotSent, CertainRefused:
		return true
	default:
		return false
	}
}

// nextEndpoint returns the best endpoint that has not been tried, and whether there is one.
func (d *ServiceDispatcher) nextEndpoint(call Call, excluded map[fleet.EndpointID]bool) (fleet.Endpoint, bool) {
	need := placement.Need{Pool: call.Pool, Account: call.Account, Excluded: excluded}
	candidates := d.Placement.Candidates(d.Views.View(), need)
	if len(candidates) == 0 {
		return fleet.Endpoint{}, false
	}
	return candidates[0], true
}
