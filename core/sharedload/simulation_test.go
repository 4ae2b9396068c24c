package sharedload

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// score counts requests and those that are predicted in time.
type score struct {
	all    int
	inTime int
}

// add counts one request.
func (s *score) add(inTime bool) {
	s.all++
	if inTime {
		s.inTime++
	}
}

// share returns the part that is in time.
func (s *score) share() float64 {
	return float64(s.inTime) / float64(max(1, s.all))
}

// running is an attempt in a simulation.
type running struct {
	id    reservation.Grant
	first time.Duration
	end   time.Duration
}

// simulation takes the decisions of one entry in steps of time and ends work as the engine model predicts.
type simulation struct {
	*testFleet
	now      time.Duration
	attempts []running
}

// newSimulation returns a simulation of idle engines.
func newSimulation(engines int) *simulation {
	return &simulation{testFleet: newFleet(engines)}
}

// advance passes time: prompts are read and answers end.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	var left []running
	for _, r := range s.attempts {
		if s.now >= r.first {
			_ = s.granter.Renew(context.Background(), reservation.Progress{Reservation: r.id.Reservation, Started: true})
		}
		if s.now < r.end {
			left = append(left, r)
			continue
		}
		_ = s.granter.Release(context.Background(), reservation.Release{Reservation: r.id.Reservation})
	}
	s.attempts = left
}

// arrive places a request and reports whether its first token is predicted in time.
func (s *simulation) arrive(prompt fleet.Tokens, objective time.Duration) bool {
	const (
		output = 1600
		answer = 2 * time.Second
	)
	grant, err := s.granter.Reserve(context.Background(), reservation.Request{
		Pool: testPool.Name, PromptTokens: prompt, MaxTokens: output, Objective: objective,
	})
	if err != nil {
		return false
	}
	s.attempts = append(s.attempts, running{id: grant, first: s.now + grant.Predicted, end: s.now + grant.Predicted + answer})
	return grant.Predicted <= objective
}
