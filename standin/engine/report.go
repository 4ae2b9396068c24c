package engine

import (
	"cmp"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// Incarnation returns the current incarnation.
func (m *Model) Incarnation() fleet.Incarnation {
	return m.incarnation
}

// Cold reports whether the engine is cold.
func (m *Model) Cold() bool {
	return m.cold
}

// Running returns the number of attempts that hold memory, including orphaned ones.
func (m *Model) Running() int {
	return len(m.tasks)
}

// Stats returns the counters over all incarnations.
func (m *Model) Stats() Stats {
	return m.stats
}

// Listing returns the attempts that hold memory and the held KV caches, including dropped ones that are still in use.
func (m *Model) Listing(now time.Time) engine.Listing {
	m.Advance(now)
	listing := engine.Listing{Incarnation: m.incarnation}
	for _, t := range m.tasks {
		listing.Attempts = append(listing.Attempts, engine.Attempt{
			AttemptID:     t.Request.AttemptID,
			ReservationID: t.Request.ReservationID,
			Generation:    t.Request.Generation,
			Fence:         t.Request.Fence,
			KVTokens:      t.reserved,
			Phase:         t.phase,
			Position:      t.position,
			StartedAt:     t.startedAt,
		})
	}
	for _, h := range m.held {
		listing.HeldKV = append(listing.HeldKV, engine.HeldKV{
			Handle:    h.handle,
			Tokens:    h.kv.Tokens,
			HeldSince: h.heldSince,
			AttemptID: h.attemptID,
		})
	}
	slices.SortFunc(listing.HeldKV, func(a, b engine.HeldKV) int { return cmp.Compare(a.Handle, b.Handle) })
	return listing
}

// CacheEvents returns the cache events that occurred at least CacheLag before now and whose sequence number is greater
// than the value of after, without those that CacheGap drops.
func (m *Model) CacheEvents(now time.Time, after uint64) engine.CacheEvents {
	m.Advance(now)
	return engine.CacheEvents{
		Incarnation: m.incarnation,
		Events:      m.cache.eventsAfter(after, now.Add(-m.Settings.CacheLag), m.Settings.CacheGap),
	}
}

// Load returns the load as it was LoadLag before now, or the oldest recorded one if none is that old.
func (m *Model) Load(now time.Time) engine.Load {
	m.Advance(now)
	until := now.Add(-m.Settings.LoadLag)
	m.dropReports(until)
	load := m.reports[0]
	if load.MeasuredAt.Before(until) {
		load.MeasuredAt = until
	}
	return load
}

// recordLoad records the current load for later reports, and updates KVPeak.
func (m *Model) recordLoad() {
	load := engine.Load{
		Incarnation: m.incarnation,
		KVUsed:      m.used(),
		KVCached:    m.cache.tokens,
		KVCapacity:  m.Settings.Memory,
		PrefillPace: m.prefillRate,
		DecodePace:  m.decodeRate,
		MeasuredAt:  m.clock,
	}
	for _, t := range m.tasks {
		if t.phase == engine.PhaseWaiting {
			load.Waiting++
		} else {
			load.Running++
		}
	}
	m.stats.KVPeak = max(m.stats.KVPeak, load.KVUsed+load.KVCached)
	m.dropReports(m.clock.Add(-m.Settings.LoadLag))
	m.reports = append(m.reports, load)
}

// dropReports drops the reports before the latest one that was measured no later than the time until.
func (m *Model) dropReports(until time.Time) {
	for len(m.reports) > 1 && !m.reports[1].MeasuredAt.After(until) {
		m.reports = m.reports[1:]
	}
}
