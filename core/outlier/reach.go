package outlier

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// cutOffShare is the share of the live endpoints from which on this entry takes itself for cut off, since that many
// rarely end at once.
const cutOffShare = 0.5

// Reach tells whether this entry itself is cut off from the endpoints, in which case its failures say nothing about
// them. Its fields must be set before use.
type Reach struct {
	// State holds the listed endpoints.
	State *clusterstate.State
	// Detector records which endpoints are unreachable.
	Detector *Detector
	// Log receives a message each time that this entry is cut off or no longer is.
	Log zerolog.Logger

	cutOff atomic.Bool
}

// CutOff reports whether at least cutOffShare of the live endpoints were unreachable at the latest update.
func (r *Reach) CutOff() bool {
	return r.cutOff.Load()
}

// UsableForOthers reports whether requests of other entries may be sent to an endpoint. While this entry is cut off, it
// knows nothing against an endpoint except a pause that the endpoint asked for.
func (r *Reach) UsableForOthers(endpoint fleet.Endpoint, now time.Time) bool {
	if !r.CutOff() {
		return r.Detector.Usable(endpoint, now)
	}
	_, paused := r.Detector.PausedUntil(endpoint, now)
	return !paused
}

// Count returns the number of live endpoints, and how many of them are unreachable.
func (r *Reach) Count(now time.Time) (unreachable, live int) {
	for _, endpoint := range r.State.Endpoints.Snapshot().Rows {
		if endpoint.State != fleet.StateLive {
			continue
		}
		live++
		if r.Detector.Unreachable(endpoint, now) {
			unreachable++
		}
	}
	return unreachable, live
}

// update decides again whether this entry is cut off.
func (r *Reach) update(now time.Time) {
	unreachable, live := r.Count(now)
	cutOff := live > 0 && float64(unreachable) >= cutOffShare*float64(live)
	if r.cutOff.Swap(cutOff) == cutOff {
		return
	}
	r.Log.Warn().Bool("cut_off", cutOff).Int("unreachable", unreachable).Int("endpoints", live).
		Msg("outlier: this entry lost or regained its path to the endpoints")
}
