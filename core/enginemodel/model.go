// Package enginemodel predicts how long a model engine takes, from the pace that its operators publish.
package enginemodel

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Model is the published pace of one kind of engine.
type Model struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// Memory is the KV cache memory in tokens.
	Memory fleet.Tokens
	// Step is the time of one token step without any request.
	Step time.Duration
	// StepPerDecode is what each generating request adds to a step.
	StepPerDecode time.Duration
	// StepPerContext is what each token of context of generating requests adds to a step, in nanoseconds.
	StepPerContext float64
	// PrefillPerToken is the time to read one prompt token, in nanoseconds.
	PrefillPerToken float64
	// PrefillPerPair is the time for each pair of a prompt token and an earlier one, in nanoseconds.
	PrefillPerPair float64
	// Chunk is the most prompt tokens that are read in one step.
	Chunk fleet.Tokens
	// Stride is the number of steps of a pass in which requests generate.
	Stride int
	// MeanPrompt is the mean length of prompts.
	MeanPrompt fleet.Tokens
	// MeanOutput is the mean length of answers.
	MeanOutput fleet.Tokens
}

// PrefillTime returns the time that one engine takes to read a prompt alone.
func (m *Model) PrefillTime(prompt fleet.Tokens) time.Duration {
	n := float64(prompt)
	return time.Duration(n*m.PrefillPerToken + n*n/2*m.PrefillPerPair)
}

// PassTime returns the time of one pass without reading, for requests that generate with some context in all.
func (m *Model) PassTime(writers int, context fleet.Tokens) time.Duration {
	step := m.Step + time.Duration(writers)*m.StepPerDecode + time.Duration(float64(context)*m.StepPerContext)
	return time.Duration(max(1, m.Stride)) * step
}
