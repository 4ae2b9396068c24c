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

// behavior is what a fake engine does with one attempt.
type behavior struct {
	tokens    fleet.Tokens
	repeat    bool
	refuse    bool
	die       bool
	stall     bool
	crossed   bool
	shortened bool
}

// fakeEngines plays one behavior an attempt, in order; the last one goes on.
type fakeEngines struct {
	mu          sync.Mutex
	script      []behavior
	attempts    []Attempt
	canceled    []fleet.AttemptID
	incarnation map[fleet.EndpointID]fleet.Incarnation
	// silent is the number of questions for a life that are not answered.
	silent int
}

func (f *fakeEngines) Generate(ctx context.Context, attempt Attempt) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.script[min(len(f.attempts), len(f.script)-1)]
	f.attempts = append(f.attempts, attempt)
	if b.refuse {
		return nil, &AttemptError{Certainty: CertainRefused, Code: "no_memory", Err: errors.New("no memory")}
	}
	return &fakeStream{ctx: ctx, engines: f, behavior: b, attempt: attempt, life: f.incarnation[attempt.Endpoint.ID]}, nil
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
	if f.silent > 0 {
		f.silent--
		return 0, errors.New("unreachable")
	}
	return f.incarnation[endpoint.ID], nil
}

// deaths counts the deaths of all engines.
func (f *fakeEngines) deaths() int {
	total := 0
	for _, life := range f.incarnation {
		total += int(life) - 1
	}
	return total
}

// dead tells whether a life of an engine has ended.
func (f *fakeEngines) dead(id fleet.EndpointID, life fleet.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incarnation[id] != life
}

// die ends a life of an engine, if that has not ended yet.
func (f *fakeEngines) die(id fleet.EndpointID, life fleet.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.incarnation[id] == life {
		f.incarnation[id]++
	}
}

// fakeStream yields the tokens of one attempt from its position on.
type fakeStream struct {
	ctx      context.Context
	engines  *fakeEngines
	behavior behavior
	attempt  Attempt
	life     fleet.Incarnation
	started  bool
	sent     fleet.Tokens
}

func (s *fakeStream) Next() (Event, error) {
	if !s.started {
		s.started = true
		return Event{Kind: EventStarted, Incarnation: s.life}, nil
	}
	position := s.attempt.ResumeAfter + s.sent
	switch {
	case s.ctx.Err() != nil || s.engines.dead(s.attempt.Endpoint.ID, s.life):
		return Event{}, &AttemptError{Certainty: Uncertain, Err: io.ErrUnexpectedEOF}
	case position == s.attempt.MaxTokens:
		return Event{Kind: EventDone, Position: position, Incarnation: s.life}, nil
	case s.behavior.shortened && position == s.attempt.MaxTokens-2:
		return Event{Kind: EventDone, Position: s.attempt.MaxTokens, Incarnation: s.life}, nil
	case s.behavior.crossed:
		return Event{}, &AttemptError{Certainty: Uncertain, Err: errors.New("crossed answer")}
	case s.behavior.tokens > 0 && s.sent == s.behavior.tokens && s.behavior.stall:
		<-s.ctx.Done()
		return Event{}, &AttemptError{Certainty: Uncertain, Err: s.ctx.Err()}
	case s.behavior.tokens > 0 && s.sent == s.behavior.tokens || s.behavior.die && s.behavior.tokens == 0:
		if s.behavior.die {
			s.engines.die(s.attempt.Endpoint.ID, s.life)
		}
		return Event{}, &AttemptError{Certainty: Uncertain, Err: io.ErrUnexpectedEOF}
	}
	time.Sleep(10 * time.Millisecond)
	if s.behavior.repeat && position > 0 {
		s.behavior.repeat = false
		return Event{Kind: EventToken, Position: position, Text: "!", Incarnation: s.life}, nil
	}
	s.sent++
	return Event{Kind: EventToken, Position: position + 1, Text: string(rune('a' + position)), Incarnation: s.life}, nil
}

func (s *fakeStream) Close() error { return nil }

// fakeOwners grants everything, but refuses first as often as told.
type fakeOwners struct {
	mu       sync.Mutex
	refusals []reservation.Reason
	asked    []reservation.Request
	released []reservation.Release
	renewed  []reservation.Progress
	lapse    bool
}

func (f *fakeOwners) Reserve(_ context.Context, request reservation.Request) (reservation.Grant, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, request)
	if len(f.asked) <= len(f.refusals) {
		return reservation.Grant{}, &reservation.Refusal{Reason: f.refusals[len(f.asked)-1], RetryAfter: 7 * time.Second}
	}
	return reservation.Grant{Endpoint: request.Endpoint, Reservation: "r", Generation: 1, Lease: 3 * time.Second}, nil
}

func (f *fakeOwners) Renew(_ context.Context, progress reservation.Progress) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewed = append(f.renewed, progress)
	if f.lapse && progress.Position == 2 {
		f.lapse = false
		return &reservation.Refusal{Reason: reservation.ReasonUnknownReservation}
	}
	return nil
}

func (f *fakeOwners) Release(_ context.Context, release reservation.Release) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, release)
	return nil
}

// collector collects an answer; it fails after the given number of tokens, if that is set.
type collector struct {
	text      strings.Builder
	failAfter int
	taken     int
}

func (c *collector) WriteToken(_ fleet.Tokens, text string) error {
	c.taken++
	if c.failAfter > 0 && c.taken > c.failAfter {
		return errors.New("caller is gone")
	}
	c.text.WriteString(text)
	return nil
}
