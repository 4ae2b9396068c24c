package warmup

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Shares by which a pace moves towards a measured one.
const (
	// fasterShare is taken when the measured pace is faster.
	fasterShare = 0.3
	// slowerShare is taken when the measured pace is slower, since crowding slows outcomes too.
	slowerShare = 0.02
)

// ReadTime returns the time to read tokens alone.
func (p Pace) ReadTime(tokens fleet.Tokens) time.Duration {
	return seconds(float64(tokens) / p.Prefill)
}

// GenerateTime returns the time to generate tokens beside others streams.
func (p Pace) GenerateTime(tokens fleet.Tokens, others int) time.Duration {
	return seconds(float64(tokens) / p.Decode * p.crowd(others))
}

// DecodeCost returns the prompt tokens that take an endpoint as long as one generated token, when it generates many
// streams at once.
func (p Pace) DecodeCost() float64 {
	return max(1, p.Prefill/(p.Decode*p.Batch))
}

// crowd returns how many times slower a stream is beside others.
func (p Pace) crowd(others int) float64 {
	return 1 + float64(max(others, 0))/p.Batch
}

// towards moves a pace towards a measured one.
func towards(pace, measured float64) float64 {
	switch {
	case pace <= 0:
		return measured
	case measured > pace:
		return pace + (measured-pace)*fasterShare
	default:
		return pace + (measured-pace)*slowerShare
	}
}

// seconds turns a number of seconds into a duration.
func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}
