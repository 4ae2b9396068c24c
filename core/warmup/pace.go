package warmup

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Smoothing factors of the warm pace.
const (
	// fasterShare is the weight of a sample that is faster than the warm pace.
	fasterShare = 0.3
	// slowerShare is the weight of a slower sample, which concurrent attempts may cause as well.
	slowerShare = 0.02
)

// PrefillTime returns the time to prefill the given number of tokens if no other prompt is in prefill.
func (p Pace) PrefillTime(tokens fleet.Tokens) time.Duration {
	return seconds(float64(tokens) / p.Prefill)
}

// DecodeTime returns the time to generate the given number of tokens beside the given number of other streams.
func (p Pace) DecodeTime(tokens fleet.Tokens, others int) time.Duration {
	return seconds(float64(tokens) / p.Decode * p.slowdown(others))
}

// DecodeCost returns the number of prompt tokens, at least 1, whose prefill takes as long as the generation of one
// token while many streams are generated.
func (p Pace) DecodeCost() float64 {
	return max(1, p.Prefill/(p.Decode*p.Batch))
}

// slowdown returns the factor by which other streams slow a stream down.
func (p Pace) slowdown(others int) float64 {
	return 1 + float64(max(others, 0))/p.Batch
}

// moveTowards moves a pace towards a measured one, by fasterShare or slowerShare of the difference. An unknown
// pace, 0, becomes the measured one.
func moveTowards(pace, measured float64) float64 {
	switch {
	case pace <= 0:
		return measured
	case measured > pace:
		return pace + (measured-pace)*fasterShare
	default:
		return pace + (measured-pace)*slowerShare
	}
}

// seconds converts a number of seconds into a duration.
func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}
