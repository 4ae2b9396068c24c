package sharedload

import (
	"time"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/enginemodel"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// expectedOutput returns the expected length of the answer that is left, or 0 if it is unknown or the pool is not
// contended.
func (g *Reserver) expectedOutput(request reservation.Request) fleet.Tokens {
	pool, found := g.Policy.Pool(request.Pool)
	if !found || !pool.Contended {
		return 0
	}
	key := cost.LengthKey{Route: request.Class, Account: request.Account}
	expected := g.lengths.Expected(key, request.LengthHint, pool.Engine.MeanOutput, request.MaxTokens, time.Now())
	return max(0, expected-request.Received)
}

// recordLength records the length of a complete answer in a contended pool. An answer that was resumed is left out, since
// its attempt generated only a part of it.
func (g *Reserver) recordLength(request reservation.Request, release reservation.Release, now time.Time) {
	pool, found := g.Policy.Pool(request.Pool)
	if !found || !pool.Contended || request.Received > 0 ||
		release.Outcome != reservation.OutcomeDone {
		return
	}
	key := cost.LengthKey{Route: request.Class, Account: request.Account}
	g.lengths.Record(key, request.LengthHint, answerTokens(pool.Engine, release), now)
}

// answerTokens returns the number of tokens of an answer. An engine that sends one event per pass sends Stride tokens in
// each; its events are further apart than a few decode steps.
func answerTokens(model *enginemodel.Model, release reservation.Release) fleet.Tokens {
	events := release.GeneratedTokens
	if events < 2 || model.Stride <= 1 {
		return events
	}
	interval := release.DecodeTime / time.Duration(events-1)
	if step := model.PassTime(1, 0) / time.Duration(model.Stride); interval < stepsPerTokenEvent*step {
		return events
	}
	return events * fleet.Tokens(model.Stride)
}

// stepsPerTokenEvent is the number of decode steps below which the interval between two events is that of single tokens.
const stepsPerTokenEvent = 8

// residence returns how long a request is expected to hold its slot: until its first token, then for its answer at the
// step time of the endpoint.
func residence(model *enginemodel.Model, c Choice, expected fleet.Tokens) time.Duration {
	if expected <= 0 {
		expected = model.MeanOutput
	}
	steps := float64(expected) / float64(max(1, model.Stride))
	return c.Predicted + time.Duration(steps*float64(c.passTime))
}
