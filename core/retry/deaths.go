package retry

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// deathRetention is how long a death is remembered, far longer than the registry lists an endpoint that has ended.
const deathRetention = time.Minute

// Died reports whether an incarnation of an endpoint is known to have ended while a request ran there, whichever request.
func (s *Suspects) Died(death Death) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.deaths[death]
	return found
}

// addDeaths remembers deaths and forgets those older than deathRetention; the caller holds the lock.
func (s *Suspects) addDeaths(deaths []Death, now time.Time) {
	maps.DeleteFunc(s.deaths, func(_ Death, at time.Time) bool { return now.Sub(at) > deathRetention })
	for _, death := range deaths {
		if _, known := s.deaths[death]; known {
			continue
		}
		if s.deaths == nil {
			s.deaths = make(map[Death]time.Time)
		}
		s.deaths[death] = now
	}
}

// Span is the time for which a request was at an endpoint that died.
type Span struct {
	// SentAt is when the request was sent, and BrokeAt when the connection broke.
	SentAt, BrokeAt time.Time
	// Settled reports whether the endpoint had been answering the request for a while, so that it may well have died for
	// another reason.
	Settled bool
}

// ChainLength returns the number of deaths of which each ended an attempt that was sent after the death before it. It is 1
// for any number of endpoints that die together, whatever ran there.
func ChainLength(spans []Span) int {
	sorted := slices.SortedFunc(slices.Values(spans), func(a, b Span) int {
		return cmp.Or(a.BrokeAt.Compare(b.BrokeAt), b.SentAt.Compare(a.SentAt))
	})
	length := 0
	var last time.Time
	for _, s := range sorted {
		if s.SentAt.After(last) {
			length++
			last = s.BrokeAt
		}
	}
	return length
}

// excessDeaths returns the number of deaths that followed one another beyond those after which the request is quarantined
// without a trial; it is negative before that. A death of which no span is known counts as one.
//
// Deaths with a settled answer count only towards a higher number, so that a sound stream which several endpoints crashed
// under is resumed.
func (r SuspectRecord) excessDeaths() int {
	var early, all []Span
	for _, death := range r.Deaths {
		span, found := r.Spans[death]
		if !found {
			continue
		}
		all = append(all, span)
		if !span.Settled {
			early = append(early, span)
		}
	}
	unknown := len(r.Deaths) - len(all)
	return unknown - r.DeathLimit + max(ChainLength(early), ChainLength(all)-settledDeathMargin)
}

// withoutCleared returns the record without the deaths before ClearedAt.
func (r SuspectRecord) withoutCleared() SuspectRecord {
	cleared := func(d Death) bool {
		span, found := r.Spans[d]
		return found && !span.BrokeAt.After(r.ClearedAt)
	}
	if slices.ContainsFunc(r.Deaths, cleared) {
		r.Deaths = slices.DeleteFunc(slices.Clone(r.Deaths), cleared)
	}
	return r
}

// mergeSpans returns the union of a and b. Of two attempts at the same endpoint, the one that was sent first counts: times
// that come from other entries are late by the time that the message took. The answers of both must be settled.
func mergeSpans(a, b map[Death]Span) map[Death]Span {
	merged, changed := a, false
	for death, span := range b {
		if known, found := merged[death]; found {
			settled := known.Settled && span.Settled
			if !span.SentAt.Before(known.SentAt) {
				span = known
			}
			span.Settled = settled
			if span == known {
				continue
			}
		}
		if !changed {
			merged, changed = make(map[Death]Span, len(a)+len(b)), true
			maps.Copy(merged, a)
		}
		merged[death] = span
	}
	return merged
}
