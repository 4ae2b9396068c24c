package sharedload

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// deadlineCount counts requests and those that are predicted in time.
type deadlineCount struct {
	total  int
	inTime int
}

// add counts one request.
func (s *deadlineCount) add(inTime bool) {
	s.total++
	if inTime {
		s.inTime++
	}
}

// share returns the share of requests in time.
func (s *deadlineCount) share() float64 {
	return float64(s.inTime) / float64(max(1, s.total))
}

// runningAttempt is an attempt of a simulation.
type runningAttempt struct {
	grant        reservation.Grant
	firstTokenAt time.Duration
	endAt        time.Duration
}

// simulation makes the choices of one entry and ends attempts as the engine model predicts.
type simulation struct {
	*testFleet
	now      time.Duration
	attempts []runningAttempt
}

// newSimulation returns a simulation of idle engines.
func newSimulation(engines int) *simulation {
	return &simulation{testFleet: newFleet(engines)}
}

// advance moves the time forward; it renews attempts at their first tokens and releases those that end.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	var left []runningAttempt
	for _, r := range s.attempts {
		if s.now >= r.firstTokenAt {
			_ = s.reserver.Renew(context.Background(), reservation.Progress{Reservation: r.grant.Reservation, Started: true})
		}
		if s.now < r.endAt {
			left = append(left, r)
			continue
		}
		_ = s.reserver.Release(context.Background(), reservation.Release{Reservation: r.grant.Reservation})
	}
	s.attempts = left
}

// arrive places a request and reports whether its first token is predicted in time.
func (s *simulation) arrive(prompt fleet.Tokens, objective time.Duration) bool {
	const (
		output = 1600
		answer = 2 * time.Second
	)
	grant, err := s.reserver.Reserve(context.Background(), reservation.Request{
		Pool: testPool.Name, PromptTokens: prompt, MaxTokens: output, Objective: objective,
	})
	if err != nil {
		return false
	}
	s.attempts = append(s.attempts, runningAttempt{
		grant:        grant,
		firstTokenAt: s.now + grant.Predicted,
		endAt:        s.now + grant.Predicted + answer,
	})
	return grant.Predicted <= objective
}
