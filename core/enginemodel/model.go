// Package enginemodel predicts the times of a model engine from its published performance figures.
package enginemodel

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Model holds the published performance figures of one kind of engine. This program does not read Chunk.
type Model struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// Memory is the size of the KV cache, in tokens.
	Memory fleet.Tokens
	// Step is the time of one decode step without any request.
	Step time.Duration
	// StepPerDecode is the time that each decoding request adds to a step.
	StepPerDecode time.Duration
	// StepPerContext is the time that each context token of the decoding requests adds to a step, in nanoseconds.
	StepPerContext float64
	// PrefillPerToken is the prefill time per prompt token, in nanoseconds.
	PrefillPerToken float64
	// PrefillPerPair is the additional prefill time per pair of a prompt token and an earlier one, in nanoseconds.
	PrefillPerPair float64
	// Chunk is the largest number of prompt tokens prefilled in one step.
	Chunk fleet.Tokens
	// Stride is the number of decode steps per pass; a value below 1 counts as 1.
	Stride int
	// MeanPrompt is the mean prompt length, in tokens.
	MeanPrompt fleet.Tokens
	// MeanOutput is the mean answer length, in tokens.
	MeanOutput fleet.Tokens
}

// PrefillTime returns the time that one engine takes to prefill a prompt alone, without cached tokens.
func (m *Model) PrefillTime(prompt fleet.Tokens) time.Duration {
	n := float64(prompt)
	return time.Duration(n*m.PrefillPerToken + n*n/2*m.PrefillPerPair)
}

// PassTime returns the time of one pass of Stride decode steps without prefill, for the given number of decoding
// requests and the sum of their context lengths, in tokens.
func (m *Model) PassTime(decoding int, context fleet.Tokens) time.Duration {
	step := m.Step + time.Duration(decoding)*m.StepPerDecode + time.Duration(float64(context)*m.StepPerContext)
	return time.Duration(max(1, m.Stride)) * step
}

// AnswerTime returns the mean time that an answer of mean length decodes at an engine whose slots all decode such answers,
// or 0 if the mean lengths are not published.
func (m *Model) AnswerTime() time.Duration {
	return time.Duration(m.Slots) * m.SlotInterval()
}

// SlotInterval returns the mean time between two ends of answers at an engine whose slots all decode answers of mean
// length, or 0 if the mean lengths are not published.
func (m *Model) SlotInterval() time.Duration {
	if m.Slots <= 0 || m.MeanOutput <= 0 {
		return 0
	}
	context := fleet.Tokens(m.Slots) * (m.MeanPrompt + m.MeanOutput/2)
	pass := m.PassTime(m.Slots, context)
	steps := float64(m.MeanOutput) / float64(max(1, m.Stride))
	return time.Duration(steps * float64(pass) / float64(m.Slots))
}
