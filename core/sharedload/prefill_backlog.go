package sharedload

import (
	"time"

	"wisteriadyke/core/fleet"
)

// prefillPass is one pass of an engine that prefills: first the prompts that arrived before its start, then the decode
// steps.
type prefillPass struct {
	startsAt time.Time
	prefill  time.Duration
	// steps is the duration of the decode steps.
	steps time.Duration
}

// endsAt returns the end of the pass.
func (p prefillPass) endsAt() time.Time {
	return p.startsAt.Add(p.prefill + p.steps)
}

// outstandingPrefill is the prefill that an endpoint has not finished, as of a time.
type outstandingPrefill struct {
	// wait is the time until the prefill of a prompt that arrives now would start.
	wait time.Duration
	// shared is the part of it that is in the same pass; running attempts get no event before both are done.
	shared time.Duration
	// busy reports whether there is any, in the running pass or in the next one.
	busy bool
}

// prefillBacklog holds, by endpoint, the passes that prefill the prompts that were chosen, in the order of choice: the
// one that runs or starts next, and the one after it. The zero value is empty.
//
// Load pattern: up to 17 endpoints prefill parts of one long prompt, whose first token comes only after its last part.
// The reports count every part in full until then. Endpoints that have long finished their parts would look busy, and
// requests would queue at the few others.
type prefillBacklog map[fleet.EndpointID][2]prefillPass

// passes returns the passes of an endpoint that have not ended; it drops the endpoint if there are none.
func (b prefillBacklog) passes(id fleet.EndpointID, now time.Time) ([2]prefillPass, bool) {
	passes, found := b[id]
	if !found || now.Before(passes[0].endsAt()) {
		return passes, found
	}
	if !now.Before(passes[1].endsAt()) {
		delete(b, id)
		return passes, false
	}
	passes = [2]prefillPass{passes[1], {}}
	b[id] = passes
	return passes, true
}

// add adds prefill to the next pass that starts. An endpoint without outstanding prefill starts it after half a pass, on
// average.
func (b *prefillBacklog) add(id fleet.EndpointID, prefill, steps time.Duration, now time.Time) {
	if *b == nil {
		*b = make(prefillBacklog)
	}
	passes, found := b.passes(id, now)
	switch {
	case !found:
		passes = [2]prefillPass{{startsAt: now.Add(steps / 2), prefill: prefill, steps: steps}}
	case now.Before(passes[0].startsAt):
		passes[0].prefill += prefill
	case passes[1].prefill == 0:
		passes[1] = prefillPass{startsAt: passes[0].endsAt(), prefill: prefill, steps: steps}
	default:
		passes[1].prefill += prefill
	}
	if passes[1].prefill > 0 {
		passes[1].startsAt = passes[0].endsAt()
	}
	(*b)[id] = passes
}

// outstanding returns the prefill that an endpoint has not finished by now; it reports false if there is none.
func (b prefillBacklog) outstanding(id fleet.EndpointID, now time.Time) (outstandingPrefill, bool) {
	passes, found := b.passes(id, now)
	if !found {
		return outstandingPrefill{}, false
	}
	next := passes[0]
	if !now.Before(next.startsAt) {
		next = passes[1]
		next.startsAt = passes[0].endsAt()
	}
	return outstandingPrefill{wait: next.startsAt.Sub(now) + next.prefill, shared: next.prefill, busy: true}, true
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
			b.add(id, unexpected, 0, now)
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
	b.backlog.add(c.Endpoint, c.PrefillTime, c.passTime, now)
	for _, h := range c.Helpers {
		b.backlog.add(h.Endpoint, c.PrefillTime, c.passTime, now)
	}
}

// outstandingPrefill returns the prefill of an endpoint that is not finished by now, and at most the reported and pending
// prefill in total. pass is the duration of a pass without prefill.
func (b *UsageTable) outstandingPrefill(
	id fleet.EndpointID, total, pass time.Duration, now time.Time,
) outstandingPrefill {
	idle := outstandingPrefill{wait: pass / 2}
	if total <= 0 {
		return idle
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	outstanding, found := b.backlog.outstanding(id, now)
	if !found {
		return idle
	}
	outstanding.wait = min(outstanding.wait, total+pass)
	outstanding.shared = min(outstanding.shared, total)
	return outstanding
}
