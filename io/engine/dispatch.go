package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

// Engines runs attempts on engines. It implements dispatch.EndpointClient.
type Engines struct {
	// HTTP sends the requests; its transport should come from NewTransport and it should have no timeout.
	HTTP *http.Client
}

// Generate starts an attempt. Errors are *dispatch.AttemptError.
func (e *Engines) Generate(ctx context.Context, attempt dispatch.Attempt) (dispatch.Stream, error) {
	stream, err := e.client(attempt.Endpoint).Generate(ctx, Request{
		RequestID:     attempt.Request,
		AttemptID:     attempt.ID,
		ReservationID: string(attempt.Grant.Reservation),
		Generation:    uint64(attempt.Grant.Generation),
		Fence:         attempt.Grant.Fence,
		Owner:         attempt.Grant.Owner,
		Priority:      attempt.Grant.Priority,
		Prompt:        attempt.Prompt,
		MaxTokens:     attempt.MaxTokens,
		FirstToken:    attempt.ResumeAfter,
	})
	if err != nil {
		return nil, attemptError(err, true)
	}
	return &dispatchStream{stream: stream}, nil
}

// Cancel cancels an attempt. It returns nil if the engine does not know the attempt, which has then ended or never
// started. Errors are *dispatch.AttemptError.
func (e *Engines) Cancel(ctx context.Context, endpoint fleet.Endpoint, attempt fleet.AttemptID) error {
	err := e.client(endpoint).Cancel(ctx, attempt)
	if err == nil || CodeOf(err) == CodeUnknownAttempt {
		return nil
	}
	return attemptError(err, false)
}

// Incarnation returns the current incarnation of an engine. Errors are *dispatch.AttemptError.
func (e *Engines) Incarnation(ctx context.Context, endpoint fleet.Endpoint) (fleet.Incarnation, error) {
	listing, err := e.client(endpoint).Attempts(ctx)
	if err != nil {
		return 0, attemptError(err, false)
	}
	return listing.Incarnation, nil
}

// client returns the client of one engine.
func (e *Engines) client(endpoint fleet.Endpoint) *Client {
	return &Client{Endpoint: endpoint.ID, Address: endpoint.Address, HTTP: e.HTTP}
}

// dispatchStream converts the events of an engine to dispatch events.
type dispatchStream struct {
	stream *Stream
}

// Next waits for the next event; the error is io.EOF after the last event, or a *dispatch.AttemptError.
func (s *dispatchStream) Next() (dispatch.Event, error) {
	event, err := s.stream.Next()
	if errors.Is(err, io.EOF) {
		return dispatch.Event{}, err
	}
	if err != nil {
		return dispatch.Event{}, attemptError(err, false)
	}
	position := event.Position
	// The dispatcher's position includes the token of the event; the engine's does not.
	if event.Type == EventToken {
		position++
	}
	return dispatch.Event{
		Kind:         eventKinds[event.Type],
		Position:     position,
		Text:         event.Text,
		CachedTokens: event.CachedTokens,
		Incarnation:  event.Incarnation,
	}, nil
}

// Close closes the connection; the engine cancels the attempt if it is still running.
func (s *dispatchStream) Close() error {
	return s.stream.Close()
}

// eventKinds maps event types to dispatch event kinds.
var eventKinds = map[EventType]dispatch.EventKind{
	EventStarted:   dispatch.EventStarted,
	EventPrefilled: dispatch.EventPrefilled,
	EventToken:     dispatch.EventToken,
	EventDone:      dispatch.EventDone,
}

// attemptError converts an error of Client to a *dispatch.AttemptError. Only a call that starts an attempt can have the
// certainty CertainRefused; starting reports whether the call was one.
func attemptError(err error, starting bool) *dispatch.AttemptError {
	code := CodeOf(err)
	certainty := dispatch.Uncertain
	switch {
	case CertainlyNotRun(err) && code == CodeUnreachable:
		certainty = dispatch.CertainNotRun
	case CertainlyNotRun(err) && starting:
		certainty = dispatch.CertainRefused
	}
	return &dispatch.AttemptError{Certainty: certainty, Code: string(code), Err: err}
}
