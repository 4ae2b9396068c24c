package sharedload

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

const (
	// stakeBands is the number of bands of tolerated pauses; each begins at twice the pause of the one before it.
	stakeBands = 3
	// stakeUnit is what a quick answer counts in Stakes, which are whole numbers so that sums return to zero.
	stakeUnit = 100
)

// ValueByPause is the worth of attempts by the pauses that they tolerate, in hundredths of a quick answer. The first band
// begins at the shortest pause objective of the pool.
type ValueByPause [stakeBands]int

// stakeOf returns the stake of one attempt.
func stakeOf(pool routing.Pool, prompt fleet.Tokens, objective time.Duration) ValueByPause {
	var s ValueByPause
	band := 0
	for limit := 2 * pauseObjective(pool); band < stakeBands-1 && objective >= limit; limit *= 2 {
		band++
	}
	s[band] = int(value(prompt) * stakeUnit)
	return s
}

// add returns the sum of two stakes.
func (s ValueByPause) add(other ValueByPause) ValueByPause {
	for i := range s {
		s[i] += other[i]
	}
	return s
}

// sub returns the stakes without others.
func (s ValueByPause) sub(other ValueByPause) ValueByPause {
	for i := range s {
		s[i] -= other[i]
	}
	return s
}

// harm returns the worth, in quick answers, that is made late if the longest pause grows.
//
// Load pattern: long prompts burst, and a part of one is read where another one's answer is being written. That answer
// tolerates longer pauses than a quick one, but it is worth many of them.
func (s ValueByPause) harm(shortest, before, after time.Duration) float64 {
	var harm float64
	for i, worth := range s {
		objective := shortest << i
		harm += float64(worth) / stakeUnit * (lateChance(after, objective) - lateChance(before, objective))
	}
	return harm
}
