package outlier

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// cutOffShare is the share of the live endpoints of a pool from which on this entry considers itself cut off from the
// pool, since that many rarely end at once. Endpoints that are known to have ended don't count.
const cutOffShare = 0.5

// Reach tells whether this entry itself is cut off from the endpoints of a pool, in which case its failures say nothing
// about them. Its fields must be set before use.
type Reach struct {
	// State holds the listed endpoints.
	State *clusterstate.State
	// Detector records which endpoints are unreachable.
	Detector *Detector
	// Died reports whether an incarnation of an endpoint is known to have ended; nil means that none is.
	Died func(fleet.Endpoint) bool
	// Log receives a message each time that this entry is cut off from a pool or no longer is.
	Log zerolog.Logger

	// pools holds the pools with unreachable endpoints as of the latest update; it is replaced as a whole.
	pools atomic.Pointer[map[fleet.PoolName]poolReach]
}

// CutOff reports whether at least cutOffShare of the live endpoints of a pool were unreachable at the latest update.
func (r *Reach) CutOff(pool fleet.PoolName) bool {
	return r.pool(pool).cutOff()
}

// Unreached reports whether all live endpoints of a pool were unreachable at the latest update.
func (r *Reach) Unreached(pool fleet.PoolName) bool {
	return r.pool(pool).unreached()
}

// CutOffPools returns the pools that this entry is cut off from, in order.
func (r *Reach) CutOffPools() []fleet.PoolName {
	return r.poolsThat(poolReach.cutOff)
}

// UnreachedPools returns the pools without an endpoint that this entry can reach, in order.
func (r *Reach) UnreachedPools() []fleet.PoolName {
	return r.poolsThat(poolReach.unreached)
}

// pool returns how many endpoints of a pool were unreachable at the latest update.
func (r *Reach) pool(name fleet.PoolName) poolReach {
	pools := r.pools.Load()
	if pools == nil {
		return poolReach{}
	}
	return (*pools)[name]
}

// poolsThat returns the pools that meet a condition, in order.
func (r *Reach) poolsThat(condition func(poolReach) bool) []fleet.PoolName {
	pools := r.pools.Load()
	if pools == nil {
		return nil
	}
	var found []fleet.PoolName
	for name, p := range *pools {
		if condition(p) {
			found = append(found, name)
		}
	}
	slices.Sort(found)
	return found
}

// UsableForOthers reports whether requests of other entries may be sent to an endpoint. While this entry is cut off from
// the pool, it knows nothing against an endpoint except a pause that the endpoint asked for.
func (r *Reach) UsableForOthers(endpoint fleet.Endpoint, now time.Time) bool {
	if !r.CutOff(endpoint.Pool) {
		return r.Detector.Usable(endpoint, now)
	}
	_, paused := r.Detector.PausedUntil(endpoint, now)
	return !paused
}

// poolReach holds the number of live endpoints of a pool, and how many of them are unreachable.
type poolReach struct {
	unreachable, live int
}

// cutOff reports whether so many endpoints are unreachable that the cause is probably this entry's path to them.
func (p poolReach) cutOff() bool {
	return p.unreachable > 0 && float64(p.unreachable) >= cutOffShare*float64(p.live)
}

// unreached reports whether no endpoint is reachable.
func (p poolReach) unreached() bool {
	return p.unreachable > 0 && p.unreachable == p.live
}

// died reports whether an incarnation of an endpoint is known to have ended.
func (r *Reach) died(endpoint fleet.Endpoint) bool {
	return r.Died != nil && r.Died(endpoint)
}

// update decides again which pools this entry is cut off from.
func (r *Reach) update(now time.Time) {
	pools := make(map[fleet.PoolName]poolReach)
	for _, endpoint := range r.State.Endpoints.Snapshot().Rows {
		if endpoint.State != fleet.StateLive {
			continue
		}
		unreachable := r.Detector.Unreachable(endpoint, now)
		if unreachable && r.died(endpoint) {
			// The endpoint is at fault, so that it says nothing about this entry's path.
			continue
		}
		p := pools[endpoint.Pool]
		p.live++
		if unreachable {
			p.unreachable++
		}
		pools[endpoint.Pool] = p
	}
	for name, p := range pools {
		if p.cutOff() != r.CutOff(name) {
			r.Log.Warn().Str("pool", string(name)).Bool("cut_off", p.cutOff()).
				Int("unreachable", p.unreachable).Int("endpoints", p.live).
				Msg("outlier: this entry lost or regained its path to the endpoints")
		}
	}
	r.pools.Store(&pools)
}
