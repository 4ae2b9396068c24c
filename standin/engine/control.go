package engine

import "time"

// Control changes an engine while it runs; fields that are nil change nothing.
type Control struct {
	// Cold begins a cold start or ends it.
	Cold *bool
	// Die kills the engine; it begins a new life with empty memory.
	Die bool
	// CheckFence sets whether stale fencing numbers are refused.
	CheckFence *bool
	// HoldOrphans sets whether attempts whose caller is gone keep their memory.
	HoldOrphans *bool
	// LoadLag is the age of the load report.
	LoadLag *time.Duration
	// CacheLag is how late cache events are published.
	CacheLag *time.Duration
	// CacheGap loses every CacheGap-th cache event; 0 loses none.
	CacheGap *uint64
	// Pace is a factor on both paces.
	Pace *float64
	// Pause stops all work and all answers for a time.
	Pause time.Duration
}

// Apply carries out a control call.
func (m *Model) Apply(now time.Time, control Control) {
	m.Advance(now)
	set(&m.Settings.CheckFence, control.CheckFence)
	set(&m.Settings.HoldOrphans, control.HoldOrphans)
	set(&m.Settings.LoadLag, control.LoadLag)
	set(&m.Settings.CacheLag, control.CacheLag)
	set(&m.Settings.CacheGap, control.CacheGap)
	set(&m.pace, control.Pace)
	if control.Cold != nil && *control.Cold {
		m.chill()
	}
	if control.Cold != nil && !*control.Cold {
		m.cold = false
	}
	if control.Pause > 0 {
		m.pausedUntil = now.Add(control.Pause)
	}
	if control.Die {
		m.die(now)
	}
}

// set writes value, if there is one.
func set[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// Paused returns how long the engine still pauses.
func (m *Model) Paused(now time.Time) time.Duration {
	return max(m.pausedUntil.Sub(now), 0)
}
