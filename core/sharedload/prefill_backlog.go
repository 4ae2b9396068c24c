package sharedload

import (
	"time"

	"wisteriadyke/core/fleet"
)

// prefillBacklog holds, by endpoint, when its outstanding prefill will be done, in the order of choice. The zero value is
// empty.
//
// Load pattern: up to 17 endpoints prefill parts of one long prompt, whose first token comes only after its last part.
// The reports count every part in full until then. Endpoints that have long finished their parts would look busy, and
// requests would queue at the few others.
type prefillBacklog map[fleet.EndpointID]time.Time

// add adds prefill of the given duration that starts after the outstanding one, at start at the earliest.
func (b *prefillBacklog) add(id fleet.EndpointID, start time.Time, duration time.Duration) {
	if *b == nil {
		*b = make(prefillBacklog)
	}
	doneAt := (*b)[id]
	if doneAt.Before(start) {
		doneAt = start
	}
	(*b)[id] = doneAt.Add(duration)
}

// remaining returns the time until the outstanding prefill of an endpoint is done; it drops the endpoint if none is left.
func (b prefillBacklog) remaining(id fleet.EndpointID, now time.Time) time.Duration {
	doneAt, found := b[id]
	if !found {
		return 0
	}
	if left := doneAt.Sub(now); left > 0 {
		return left
	}
	delete(b, id)
	return 0
}

// addUnexpected adds the prefill in a new usage report of an entry that neither its previous report nor its pending
// choices contain: another chooser made these choices, or this entry has just started to choose.
func (b *prefillBacklog) addUnexpected(
	usages, previous map[fleet.EndpointID]Usage, pending map[uint64]pendingUsage, now time.Time,
) {
	for id, u := range usages {
		unexpected := u.PrefillTime - previous[id].PrefillTime
		if unexpected <= 0 {
			continue
		}
		for _, p := range pending {
			unexpected -= p.usages[id].PrefillTime
		}
		if unexpected > 0 {
			b.add(id, now, unexpected)
		}
	}
}

// StartPrefill records that the endpoints of a choice prefill their parts, after the prefill that is outstanding there.
func (b *UsageTable) StartPrefill(c Choice, now time.Time) {
	if c.PrefillTime <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	start := now.Add(c.prefillDelay)
	b.backlog.add(c.Endpoint, start, c.PrefillTime)
	for _, h := range c.Helpers {
		b.backlog.add(h.Endpoint, start, c.PrefillTime)
	}
}

// RemainingPrefill returns how much of the reported and pending prefill of an endpoint, in total, is left by now.
func (b *UsageTable) RemainingPrefill(id fleet.EndpointID, total time.Duration, now time.Time) time.Duration {
	if total <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(total, b.backlog.remaining(id, now))
}
