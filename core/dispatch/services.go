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
	// Call runs one call once; an error is an *AttemptError.
	Call(ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID, call Call) ([]byte, error)
}

// ServiceDispatcher sends calls to plain services.
type ServiceDispatcher struct {
	// Views yields what placements are decided on.
	Views ViewProvider
	// Entry is the entry that dispatches.
	Entry fleet.EntryID
	// Services runs the calls.
	Services ServiceClient
	// Placement orders the endpoints.
	Placement placement.Policy
	// Budget bounds the calls that are sent again.
	Budget *retry.Budget
}

// Call sends one call; an error is a *Failure. It is sent again only if an endpoint surely did not take it or if the
// call may be repeated.
func (d *ServiceDispatcher) Call(ctx context.Context, call Call) (CallResult, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	d.Budget.AddRequest()
	excluded := make(map[fleet.EndpointID]bool)
	state := StateNotRun
	for attempts := 1; ; attempts++ {
		endpoint, found := d.next(call, excluded)
		if !found {
			return CallResult{}, &Failure{State: state, Reason: ReasonNoEndpoint, RetryAfter: jitter(comeBackAfter)}
		}
		excluded[endpoint.ID] = true
		attempt := fleet.AttemptID(fmt.Sprintf("%s.%s.%d", call.ID, d.Entry, attempts))
		body, err := d.Services.Call(ctx, endpoint, attempt, call)
		if err == nil {
			return CallResult{Body: body}, nil
		}
		if failure := d.afterFailure(ctx, call, err); failure != nil {
			return CallResult{}, failure
		}
		if !surelyNotRun(err) {
			state = StateFailed
		}
	}
}

// afterFailure returns the final failure of a call that can't go on after an attempt, or nil.
func (d *ServiceDispatcher) afterFailure(ctx context.Context, call Call, err error) *Failure {
	var attemptErr *AttemptError
	answered := errors.As(err, &attemptErr) && attemptErr.Certainty == CertainFailed
	switch {
	case answered:
		return &Failure{State: StateFailed, Reason: ReasonServiceFailed, Detail: attemptErr.Answer}
	case call.AtMostOnce && !surelyNotRun(err):
		return &Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}
	case ctx.Err() != nil && surelyNotRun(err):
		return &Failure{State: StateNotRun, Reason: ReasonTimeout, RetryAfter: jitter(comeBackAfter)}
	case ctx.Err() != nil:
		return &Failure{State: StateFailed, Reason: ReasonTimeout, RetryAfter: jitter(comeBackAfter)}
	case !surelyNotRun(err) && !d.Budget.TryRetry():
		return &Failure{State: StateFailed, Reason: ReasonRetryBudget, RetryAfter: jitter(comeBackAfter)}
	default:
		return nil
	}
}

// surelyNotRun tells whether an endpoint surely did nothing of an attempt.
func surelyNotRun(err error) bool {
	var attemptErr *AttemptError
	return errors.As(err, &attemptErr) && (attemptErr.Certainty == CertainNotRun || attemptErr.Certainty == CertainRefused)
}

// next returns the best endpoint that has not been tried.
func (d *ServiceDispatcher) next(call Call, excluded map[fleet.EndpointID]bool) (fleet.Endpoint, bool) {
	need := placement.Need{Pool: call.Pool, Account: call.Account, Excluded: excluded}
	candidates := d.Placement.Candidates(d.Views.View(), need)
	if len(candidates) == 0 {
		return fleet.Endpoint{}, false
	}
	return candidates[0], true
}
