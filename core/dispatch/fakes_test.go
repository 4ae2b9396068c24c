package dispatch

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// behavior scripts one attempt at a fake engine.
type behavior struct {
	// tokens is the number of tokens before the stream breaks, stalls or dies, or 0.
	tokens fleet.Tokens
	// repeatToken sends a token again that the caller already has.
	repeatToken bool
	// refuse refuses the attempt.
	refuse bool
	// die ends the engine's incarnation.
	die bool
	// stall blocks the stream after tokens until the attempt is canceled.
	stall bool
	// mismatched answers with an event of another attempt.
	mismatched bool
	// truncated omits the last two tokens, yet reports the full length.
	truncated bool
}

// fakeEngines runs one scripted behavior per attempt, in order, and repeats the last one.
type fakeEngines struct {
	mu          sync.Mutex
	script      []behavior
	attempts    []Attempt
	canceled    []fleet.AttemptID
	incarnation map[fleet.EndpointID]fleet.Incarnation
	// unanswered is the number of Incarnation calls that fail.
	unanswered int
}

func (f *fakeEngines) Generate(ctx context.Context, attempt Attempt) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.script[min(len(f.attempts), len(f.script)-1)]
	f.attempts = append(f.attempts, attempt)
	if b.refuse {
		return nil, &AttemptError{Certainty: CertainRefused, Code: "no_memory", Err: errors.New("no memory")}
	}
	return &fakeStream{ctx: ctx, engines: f, behavior: b, attempt: attempt, incarnation: f.incarnation[attempt.Endpoint.ID]}, nil
}

func (f *fakeEngines) Cancel(_ context.Context, _ fleet.Endpoint, attempt fleet.AttemptID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.canceled = append(f.canceled, attempt)
	return nil
}

func (f *fakeEngines) Incarnation(_ context.Context, endpoint fleet.Endpoint) (fleet.Incarnation, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unanswered > 0 {
		f.unanswered--
		return 0, errors.New("unreachable")
	}
	return f.incarnation[endpoint.ID], nil
}

// deaths returns the number of deaths of all engines.
func (f *fakeEngines) deaths() int {
	total := 0
	for _, incarnation := range f.incarnation {
		total += int(incarnation) - 1
	}
	return total
}

// hasDied reports whether an incarnation of an engine has ended.
func (f *fakeEngines) hasDied(id fleet.EndpointID, incarnation fleet.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation[id] != incarnation
}

// die ends an incarnation of an engine unless it has already ended.
func (f *fakeEngines) die(id fleet.EndpointID, incarnation fleet.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.incarnation[id] == incarnation {
		f.incarnation[id]++
	}
}

// fakeStream returns the tokens of one attempt after its ResumeAfter position.
type fakeStream struct {
	ctx         context.Context
	engines     *fakeEngines
	behavior    behavior
	attempt     Attempt
	incarnation fleet.Incarnation
	started     bool
	sent        fleet.Tokens
}

func (s *fakeStream) Next() (Event, error) {
	if !s.started {
		s.started = true
		return Event{Kind: EventStarted, Incarnation: s.incarnation}, nil
	}
	position := s.attempt.ResumeAfter + s.sent
	switch {
	case s.ctx.Err() != nil || s.engines.hasDied(s.attempt.Endpoint.ID, s.incarnation):
		return Event{}, &AttemptError{Certainty: Uncertain, Err: io.ErrUnexpectedEOF}
	case position == s.attempt.MaxTokens:
		return Event{Kind: EventDone, Position: position, Incarnation: s.incarnation}, nil
	case s.behavior.truncated && position == s.attempt.MaxTokens-2:
		return Event{Kind: EventDone, Position: s.attempt.MaxTokens, Incarnation: s.incarnation}, nil
	case s.behavior.mismatched:
		return Event{}, &AttemptError{Certainty: Uncertain, Err: errors.New("answer belongs to another attempt")}
	case s.behavior.tokens > 0 && s.sent == s.behavior.tokens && s.behavior.stall:
		<-s.ctx.Done()
		return Event{}, &AttemptError{Certainty: Uncertain, Err: s.ctx.Err()}
	case s.behavior.tokens > 0 && s.sent == s.behavior.tokens || s.behavior.die && s.behavior.tokens == 0:
		if s.behavior.die {
			s.engines.die(s.attempt.Endpoint.ID, s.incarnation)
		}
		return Event{}, &AttemptError{Certainty: Uncertain, Err: io.ErrUnexpectedEOF}
	}
	time.Sleep(10 * time.Millisecond)
	if s.behavior.repeatToken && position > 0 {
		s.behavior.repeatToken = false
		return Event{Kind: EventToken, Position: position, Text: "!", Incarnation: s.incarnation}, nil
	}
	s.sent++
	return Event{Kind: EventToken, Position: position + 1, Text: string(rune('a' + position)), Incarnation: s.incarnation}, nil
}

func (s *fakeStream) Close() error { return nil }

// fakeReservations refuses requests with the scripted refusals, then grants all others.
type fakeReservations struct {
	mu              sync.Mutex
	refusals        []reservation.Reason
	requests        []reservation.Request
	released        []reservation.Release
	renewed         []reservation.Progress
	loseReservation bool
}

func (f *fakeReservations) Reserve(_ context.Context, request reservation.Request) (reservation.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, request)
	if len(f.requests) <= len(f.refusals) {
		return reservation.Grant{}, &reservation.Refusal{Reason: f.refusals[len(f.requests)-1], RetryAfter: 7 * time.Second}
	}
	return reservation.Grant{Endpoint: request.Endpoint, Reservation: "r", Generation: 1, Lease: 3 * time.Second}, nil
}

func (f *fakeReservations) Renew(_ context.Context, progress reservation.Progress) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewed = append(f.renewed, progress)
	if f.loseReservation && progress.Position == 2 {
		f.loseReservation = false
		return &reservation.Refusal{Reason: reservation.ReasonUnknownReservation}
	}
	return nil
}

func (f *fakeReservations) Release(_ context.Context, release reservation.Release) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, release)
	return nil
}

// collector is a Sink that collects an answer; it fails after failAfter tokens if that is set.
type collector struct {
	text      strings.Builder
	failAfter int
	received  int
}

func (c *collector) WriteToken(_ fleet.Tokens, text string) error {
	c.received++
	if c.failAfter > 0 && c.received > c.failAfter {
		return errors.New("caller disconnected")
	}
	c.text.WriteString(text)
	return nil
}
