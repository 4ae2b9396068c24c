package engine

import (
	"net/http"
	"time"

	"wisteriadyke/io/engine"
)

// controlBody is the wire form of Control. Its durations have the format of time.ParseDuration, such as "1.5s".
type controlBody struct {
	Cold        *bool    `json:"cold"`
	Die         bool     `json:"die"`
	CheckFence  *bool    `json:"check_fence"`
	HoldOrphans *bool    `json:"hold_orphans"`
	Lag         string   `json:"lag"`
	CacheLag    string   `json:"cache_lag"`
	CacheGap    *uint64  `json:"cache_gap"`
	Pace        *float64 `json:"pace"`
	Pause       string   `json:"pause"`
}

// applyControl handles POST /control.
func applyControl(m *Model, now time.Time, r *http.Request) (any, error) {
	var body controlBody
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	control := Control{
		Cold:        body.Cold,
		Die:         body.Die,
		CheckFence:  body.CheckFence,
		HoldOrphans: body.HoldOrphans,
		CacheGap:    body.CacheGap,
		Pace:        body.Pace,
	}
	var err error
	if control.LoadLag, err = parseDuration(body.Lag); err != nil {
		return nil, err
	}
	if control.CacheLag, err = parseDuration(body.CacheLag); err != nil {
		return nil, err
	}
	pause, err := parseDuration(body.Pause)
	if err != nil {
		return nil, err
	}
	if pause != nil {
		control.Pause = *pause
	}
	m.Apply(now, control)
	return struct{}{}, nil
}

// parseDuration parses a duration; it returns nil for "".
func parseDuration(text string) (*time.Duration, error) {
	if text == "" {
		return nil, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return nil, refuse(engine.CodeInvalid, "duration %q", text)
	}
	return &d, nil
}
