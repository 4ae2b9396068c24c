package sharedload

import (
	"time"

	"wisteriadyke/core/routing"
)

const (
	// pauseBands is the number of bands that group attempts by the pause that they tolerate; each begins at twice the
	// pause of the one before it.
	pauseBands = 3
	// valueUnit is the value of one quick request in ValueByPause. Values are integers so that a sum is exactly zero
	// once all attempts are subtracted.
	valueUnit = 100
)

// ValueByPause is the value of attempts by the pause that they tolerate, in hundredths of a quick request. The first
// band begins at the shortest pause objective of the pool.
type ValueByPause [pauseBands]int

// sum returns the total value, in quick requests.
func (s ValueByPause) sum() float64 {
	total := 0
	for _, value := range s {
		total += value
	}
	return float64(total) / valueUnit
}

// valueByPauseOf returns the value of one attempt in the band of its pause objective. An attempt with a shorter
// objective than the first band, or with none, belongs to the first band.
func valueByPauseOf(pool routing.Pool, value float64, objective time.Duration) ValueByPause {
	var s ValueByPause
	band := 0
	for limit := 2 * pauseObjective(pool); band < pauseBands-1 && objective >= limit; limit *= 2 {
		band++
	}
	s[band] = max(1, int(value*valueUnit))
	return s
}

// add returns the sum of two values.
func (s ValueByPause) add(other ValueByPause) ValueByPause {
	for i := range s {
		s[i] += other[i]
	}
	return s
}

// sub returns s minus other.
func (s ValueByPause) sub(other ValueByPause) ValueByPause {
	for i := range s {
		s[i] -= other[i]
	}
	return s
}

// lateValue returns the expected value, in quick requests, of the attempts that miss their pause objectives because the
// longest pause grows from the duration before to the duration after. shortest is the shortest pause objective of the
// pool.
//
// Load pattern: in a burst of long prompts, a part of one is prefilled at the endpoint that decodes the answer to
// another. That answer tolerates longer pauses than a quick one, but has many times its value.
func (s ValueByPause) lateValue(shortest, before, after time.Duration) float64 {
	var late float64
	for i, value := range s {
		objective := shortest << i
		late += float64(value) / valueUnit * (lateProbability(after, objective) - lateProbability(before, objective))
	}
	return late
}
