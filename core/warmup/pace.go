package warmup

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Smoothing factors of the warm pace.
const (
	// fasterShare applies if the measured pace is faster.
	fasterShare = 0.3
	// slowerShare applies if the measured pace is slower, which concurrent attempts may cause as well.
	slowerShare = 0.02
)

// ReadTime returns the time to prefill tokens alone.
func (p Pace) ReadTime(tokens fleet.Tokens) time.Duration {
	return seconds(float64(tokens) / p.Prefill)
}

// GenerateTime returns the time to generate tokens beside other streams.
func (p Pace) GenerateTime(tokens fleet.Tokens, others int) time.Duration {
	return seconds(float64(tokens) / p.Decode * p.slowdown(others))
}

// DecodeCost returns the number of prompt tokens whose prefill takes as long as the generation of one token while many
// streams are generated.
func (p Pace) DecodeCost() float64 {
	return max(1, p.Prefill/(p.Decode*p.Batch))
}

// slowdown returns the factor by which other streams slow a stream down.
func (p Pace) slowdown(others int) float64 {
	return 1 + float64(max(others, 0))/p.Batch
}

// moveTowards moves a pace towards a measured one.
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
