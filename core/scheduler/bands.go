package scheduler

import "wisteriadyke/core/fleet"

// Steps of the priority at the engine.
const (
	// priorityStep is the least difference between two priorities.
	priorityStep = 5
	// priorityLevels is the number of priorities.
	priorityLevels = 10
)

// lightPriority is what the priority at the engine gains for an account below its fair share.
const lightPriority = priorityStep

// priorityBand is the priority at the engine of prompts up to a length.
type priorityBand struct {
	upTo     fleet.Tokens
	priority int
}

// priorityBands holds the bands by length, the shortest first; longer prompts have priority 0.
var priorityBands = []priorityBand{
	{upTo: 4_000, priority: 40},
	{upTo: 16_000, priority: 30},
	{upTo: 64_000, priority: 20},
	{upTo: 250_000, priority: 10},
}

// enginePriority returns the priority to ask of the engine; larger goes first.
func enginePriority(prompt fleet.Tokens, light bool) int {
	priority := 0
	for _, band := range priorityBands {
		if prompt <= band.upTo {
			priority = band.priority
			break
		}
	}
	if light {
		priority += lightPriority
	}
	return priority
}

// overtaking returns the prompt tokens granted so far with a priority at the engine above one.
func (e *Endpoint) overtaking(priority int) fleet.Tokens {
	var sum fleet.Tokens
	for _, tokens := range e.granted[priority/priorityStep+1:] {
		sum += tokens
	}
	return sum
}

// part returns a share of the endpoint's memory.
func (e *Endpoint) part(share float64) fleet.Tokens {
	return fleet.Tokens(share * float64(e.endpoint.Memory))
}

// longMemory returns the memory that long requests may take together; a single one that needs more may take all.
func (e *Endpoint) longMemory() fleet.Tokens {
	return e.endpoint.Memory - e.part(e.Settings.ShortHeadroom)
}

// window returns the prompt tokens that short requests are granted ahead of reading.
func (e *Endpoint) window() fleet.Tokens {
	return fleet.Tokens(e.warmth.WarmPace().Prefill * e.Settings.PrefillWindow.Seconds())
}

// longSlots returns the number of long prompts that may be read at once; it falls as requests wait, never to zero.
func (e *Endpoint) longSlots() int {
	window := max(1, float64(e.window()))
	return max(1, e.Settings.LongSlots-int(e.queue.ShortBacklog()/window))
}
