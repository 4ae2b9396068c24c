package dispatch

import (
	"context"
	"errors"
	"fmt"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// Services runs calls on plain services.
type Services interface {
	// Call runs one call once; an error is an *AttemptError.
	Call(ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID, call Call) ([]byte, error)
}

// ServiceDispatcher serves calls of plain services. It reads the endpoints, loads and zones of the blackboard.
type ServiceDispatcher struct {
	// Board holds what the entry knows.
	Board *blackboard.Board
	// Zone is the entry's availability zone.
	Zone fleet.Zone
	// Services runs the calls.
	Services Services
	// Placement orders the endpoints.
	Placement placement.Policy
}

// Call serves one call that may be repeated; an error is a *Failure.
func (d *ServiceDispatcher) Call(ctx context.Context, call Call) (CallResult, error) {
	ctx, cancel := context.WithDeadline(ctx, call.FinishBy)
	defer cancel()
	excluded := make(map[fleet.EndpointID]bool)
	for attempts := 1; ; attempts++ {
		endpoint, found := d.next(call, excluded)
		if !found {
			return CallResult{}, &Failure{State: StateNotRun, Reason: ReasonNoEndpoint, RetryAfter: comeBackAfter}
		}
		excluded[endpoint.ID] = true
		attempt := fleet.AttemptID(fmt.Sprintf("%s.%d", call.ID, attempts))
		body, err := d.Services.Call(ctx, endpoint, attempt, call)
		if err == nil {
			return CallResult{Body: body}, nil
		}
		if ctx.Err() != nil {
			return CallResult{}, &Failure{State: StateFailed, Reason: ReasonTimeout, RetryAfter: comeBackAfter}
		}
		var attemptErr *AttemptError
		if call.AtMostOnce && errors.As(err, &attemptErr) && attemptErr.Certainty == Uncertain {
			return CallResult{}, &Failure{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}
		}
	}
}

// next returns the best endpoint that has not been tried.
func (d *ServiceDispatcher) next(call Call, excluded map[fleet.EndpointID]bool) (fleet.Endpoint, bool) {
	view := placement.View{
		Endpoints: d.Board.Endpoints.View().Rows,
		Loads:     d.Board.Loads.View().Rows,
		Zones:     d.Board.Zones.View().Rows,
		Local:     d.Zone,
	}
	need := placement.Need{Pool: call.Pool, Account: call.Account, Excluded: excluded}
	candidates := d.Placement.Candidates(view, need)
	if len(candidates) == 0 {
		return fleet.Endpoint{}, false
	}
	return candidates[0], true
}
