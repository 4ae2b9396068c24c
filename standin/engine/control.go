package engine

import "time"

// Control is a control request, which changes an engine while it runs. Nil and zero fields change nothing.
type Control struct {
	// Cold begins a cold start if it is true and ColdTime is not 0, and ends a cold start if it is false.
	Cold *bool
	// Die kills the engine, which starts a new incarnation with empty memory after RestartTime.
	Die bool
	// CheckFence sets whether stale fencing tokens are refused.
	CheckFence *bool
	// HoldOrphans sets whether attempts whose caller disconnected keep their memory.
	HoldOrphans *bool
	// LoadLag sets the age of the load reports.
	LoadLag *time.Duration
	// CacheLag sets the delay with which cache events are published.
	CacheLag *time.Duration
	// CacheGap drops every CacheGap-th cache event; 0 drops none.
	CacheGap *uint64
	// Pace sets a factor on the prefill pace and the decode pace.
	Pace *float64
	// Pause is how long the engine stops all work and all answers.
	Pause time.Duration
}

// Apply applies a control request.
func (m *Model) Apply(now time.Time, control Control) {
	m.Advance(now)
	setIfPresent(&m.Settings.CheckFence, control.CheckFence)
	setIfPresent(&m.Settings.HoldOrphans, control.HoldOrphans)
	setIfPresent(&m.Settings.LoadLag, control.LoadLag)
	setIfPresent(&m.Settings.CacheLag, control.CacheLag)
	setIfPresent(&m.Settings.CacheGap, control.CacheGap)
	setIfPresent(&m.paceFactor, control.Pace)
	if control.Cold != nil && *control.Cold {
		m.beginColdStart()
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

// setIfPresent sets field to *value unless value is nil.
func setIfPresent[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// Paused returns the remaining time of a pause, or 0.
func (m *Model) Paused(now time.Time) time.Duration {
	return max(m.pausedUntil.Sub(now), 0)
}
