package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

// comeBackAfter is the time to come back that a refusal gives when no owner has named one.
const comeBackAfter = 2 * time.Second

// Dispatcher serves model requests. It reads the endpoints, loads and zones of the blackboard and writes nothing there.
type Dispatcher struct {
	// Board holds what the entry knows.
	Board *blackboard.Board
	// Entry is the entry that dispatches.
	Entry fleet.EntryID
	// Zone is the entry's availability zone.
	Zone fleet.Zone
	// Owners reaches the owners of endpoints.
	Owners Owners
	// Engines runs attempts.
	Engines Engines
	// Placement orders the endpoints.
	Placement placement.Policy
}

// Generate serves one request and passes the answer to sink; an error is a *Failure or that of the sink.
func (d *Dispatcher) Generate(ctx context.Context, request Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.FinishBy)
	defer cancel()
	r := &run{Dispatcher: d, request: request, sink: sink, excluded: make(map[fleet.EndpointID]bool)}
	return r.serve(ctx)
}

// run is the state of one request that is being served.
type run struct {
	*Dispatcher
	request    Request
	sink       Sink
	excluded   map[fleet.EndpointID]bool
	attempts   int
	position   fleet.Tokens
	retryAfter time.Duration
}

// serve tries endpoints until the answer is whole or none is left.
func (r *run) serve(ctx context.Context) error {
	for {
		endpoint, found := r.next()
		if !found {
			return r.giveUp(ReasonNoEndpoint)
		}
		done, err := r.try(ctx, endpoint)
		if done || err != nil {
			return err
		}
		if ctx.Err() != nil {
			return r.giveUp(ReasonTimeout)
		}
	}
}

// next returns the best endpoint that has not been tried.
func (r *run) next() (fleet.Endpoint, bool) {
	view := placement.View{
		Endpoints: r.Board.Endpoints.View().Rows,
		Loads:     r.Board.Loads.View().Rows,
		Zones:     r.Board.Zones.View().Rows,
		Local:     r.Zone,
	}
	candidates := r.Placement.Candidates(view, placement.Need{
		Pool:     r.request.Pool,
		Account:  r.request.Account,
		Prompt:   r.request.PromptTokens,
		Output:   r.request.MaxTokens,
		Excluded: r.excluded,
	})
	if len(candidates) == 0 {
		return fleet.Endpoint{}, false
	}
	return candidates[0], true
}

// try runs one attempt on the endpoint; done means that the answer is whole, an error that the request has ended.
func (r *run) try(ctx context.Context, endpoint fleet.Endpoint) (done bool, err error) {
	r.attempts++
	attempt := fleet.AttemptID(fmt.Sprintf("%s.%d", r.request.ID, r.attempts))
	r.excluded[endpoint.ID] = true
	grant, err := r.Owners.Reserve(ctx, r.reservationRequest(endpoint, attempt))
	if err != nil {
		r.noteRefusal(err)
		return false, nil
	}
	result := r.stream(ctx, Attempt{
		Endpoint:  endpoint,
		ID:        attempt,
		Request:   r.request.ID,
		Grant:     grant,
		Prompt:    r.request.Prompt,
		MaxTokens: r.request.MaxTokens,
		From:      r.position,
	})
	r.release(ctx, grant, result)
	return result.release.Outcome == reservation.OutcomeDone, result.sinkErr
}

// reservationRequest is what the owner of the endpoint is asked.
func (r *run) reservationRequest(endpoint fleet.Endpoint, attempt fleet.AttemptID) reservation.Request {
	return reservation.Request{
		Endpoint: endpoint.ID,
		Request:  r.request.ID,
		Attempt:  attempt,
		Entry:    r.Entry,
		Account:  r.request.Account,
		Class:    r.request.Class,
		Weight:   r.request.Weight,
		Priority: r.request.Priority,
		Prompt:   r.request.PromptTokens,
		Output:   r.request.MaxTokens,
		StartBy:  r.request.StartBy,
		FinishBy: r.request.FinishBy,
	}
}

// noteRefusal keeps the time to come back that an owner named.
func (r *run) noteRefusal(err error) {
	var refusal *reservation.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > r.retryAfter {
		r.retryAfter = refusal.RetryAfter
	}
}

// result is how an attempt ended.
type result struct {
	release reservation.Release
	sinkErr error
}

// stream runs the attempt and passes its tokens on.
func (r *run) stream(ctx context.Context, attempt Attempt) result {
	started := time.Now()
	stream, err := r.Engines.Generate(ctx, attempt)
	if err != nil {
		return result{release: reservation.Release{Outcome: failedOutcome(err)}}
	}
	defer func() { _ = stream.Close() }()
	var res result
	var firstToken time.Time
	for {
		event, err := stream.Next()
		if err != nil {
			res.release.Outcome = failedOutcome(err)
			return res
		}
		res.release.Incarnation = event.Incarnation
		switch event.Kind {
		case EventToken:
			if firstToken.IsZero() {
				firstToken = time.Now()
				res.release.Read = r.request.PromptTokens
				res.release.ReadTime = firstToken.Sub(started)
			}
			r.position = event.Position
			res.release.Generated++
			res.release.GenerateTime = time.Since(firstToken)
			if err := r.sink.Token(event.Position, event.Text); err != nil {
				res.sinkErr = err
				res.release.Outcome = reservation.OutcomeBroken
				return res
			}
			_ = r.Owners.Renew(ctx, reservation.Progress{
				Endpoint:    attempt.Endpoint.ID,
				Owner:       attempt.Grant.Owner,
				Reservation: attempt.Grant.Reservation,
				Generation:  attempt.Grant.Generation,
				Incarnation: event.Incarnation,
				Started:     true,
				Position:    event.Position,
			})
		case EventDone:
			res.release.Outcome = reservation.OutcomeDone
			return res
		}
	}
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

// release gives the reservation back, also when the caller is gone.
func (r *run) release(ctx context.Context, grant reservation.Grant, res result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	release := res.release
	release.Endpoint = grant.Endpoint
	release.Owner = grant.Owner
	release.Reservation = grant.Reservation
	release.Generation = grant.Generation
	_ = r.Owners.Release(ctx, release)
}

// releaseTimeout bounds the call that gives a reservation back.
const releaseTimeout = 2 * time.Second

// giveUp returns the final answer of a request that got no whole answer.
func (r *run) giveUp(reason string) error {
	state := StateNotRun
	if r.position > 0 {
		state = StateFailed
	}
	return &Failure{State: state, Reason: reason, RetryAfter: max(r.retryAfter, comeBackAfter)}
}
