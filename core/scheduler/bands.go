package scheduler

import "wisteriadyke/core/fleet"

// Granularity of the priorities sent to engines.
const (
	// priorityStep is the smallest difference between two priorities.
	priorityStep = 5
	// priorityLevels is the number of distinct priorities.
	priorityLevels = 10
)

// fairSharePriority is added to the engine priority of requests whose account is below its fair share.
const fairSharePriority = priorityStep

// priorityBand assigns an engine priority to prompts of at most upTo tokens.
type priorityBand struct {
	upTo     fleet.Tokens
	priority int
}

// priorityBands lists the bands, shortest prompts first; longer prompts have priority 0.
var priorityBands = []priorityBand{
	{upTo: 4_000, priority: 40},
	{upTo: 16_000, priority: 30},
	{upTo: 64_000, priority: 20},
	{upTo: 250_000, priority: 10},
}

// enginePriority returns the priority to send to the engine; higher values are prefilled first.
func enginePriority(prompt fleet.Tokens, belowFairShare bool) int {
	priority := 0
	for _, band := range priorityBands {
		if prompt <= band.upTo {
			priority = band.priority
			break
		}
	}
	if belowFairShare {
		priority += fairSharePriority
	}
	return priority
}

// grantedAbove returns the uncached prompt tokens granted so far at engine priorities higher than the given one.
func (e *Endpoint) grantedAbove(priority int) fleet.Tokens {
	var sum fleet.Tokens
	for _, tokens := range e.granted[priority/priorityStep+1:] {
		sum += tokens
	}
	return sum
}

// memoryShare returns the given share of the endpoint's memory, in tokens.
func (e *Endpoint) memoryShare(share float64) fleet.Tokens {
	return fleet.Tokens(share * float64(e.endpoint.Memory))
}

// longMemoryLimit returns the memory that long requests may use together. A single request that needs more may use all
// of the memory.
func (e *Endpoint) longMemoryLimit() fleet.Tokens {
	return e.endpoint.Memory - e.memoryShare(e.Settings.ShortHeadroom)
}

// prefillWindow returns the number of prompt tokens that short requests may have granted but not yet prefilled.
func (e *Endpoint) prefillWindow() fleet.Tokens {
	return fleet.Tokens(e.warmth.WarmPace().Prefill * e.Settings.PrefillWindow.Seconds())
}

// longSlots returns the number of long prompts that may be in prefill at once. It is reduced by one for each prefill
// window of queued short work, but never below one.
func (e *Endpoint) longSlots() int {
	prefillWindow := max(1, float64(e.prefillWindow()))
	return max(1, e.Settings.LongSlots-int(e.queue.ShortBacklog()/prefillWindow))
}
