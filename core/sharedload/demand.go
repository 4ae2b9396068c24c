package sharedload

import (
	"math"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

const (
	// demandTime is the time over which demand is averaged, some lengths of the longest readings.
	demandTime = 2 * time.Second
	// residence is about how long an attempt stays at its engine, which gives the rate of attempts from their number.
	residence = 2500 * time.Millisecond
	// longValue is what the usual long prompt is worth to its caller, relative to a quick one.
	longValue = 10
	// fullDelay is the delay of the whole pool from which on nearly everything else is late.
	fullDelay = time.Second
	// startBusy and startPresent, for each endpoint, stand for the demand that an entry has not seen yet when it starts:
	// that of a pool with half of its work in long prompts.
	startBusy    = 0.5
	startPresent = 4
	// maxUtilization keeps the cost of work finite while all endpoints read.
	maxUtilization = 0.9
)

// average is the demand of one pool.
type average struct {
	at time.Time
	// busy is the share of endpoints that read.
	busy float64
	// present is the worth of the attempts that run or wait.
	present float64
}

// Demand averages what a pool has been asked for lately. Its zero value is ready to use.
type Demand struct {
	mu    sync.Mutex
	pools map[fleet.PoolName]average
}

// observe takes the present states of a pool's endpoints and returns the averages.
func (d *Demand) observe(pool fleet.PoolName, states []state, now time.Time) average {
	seen := average{at: now}
	for i := range states {
		u := states[i].usage
		seen.present += float64(u.Quick) + float64(u.Running-u.Quick)*longValue
		if u.PrefillTime > 0 {
			seen.busy += 1 / float64(len(states))
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		d.pools = make(map[fleet.PoolName]average)
	}
	known, found := d.pools[pool]
	if !found {
		known = average{at: now, busy: startBusy, present: startPresent * float64(len(states))}
	}
	kept := math.Exp(-float64(now.Sub(known.at)) / float64(demandTime))
	seen.busy = kept*known.busy + (1-kept)*seen.busy
	seen.present = kept*known.present + (1-kept)*seen.present
	d.pools[pool] = seen
	return seen
}

// displaced returns what other requests lose by a reading that takes some time of one of the pool's endpoints.
//
// Load pattern: a prompt many times as long as the usual one arrives while the pool is busy. Wherever it is read, the
// pool falls behind by that work, and catches up the slower the busier it is.
func (a average) displaced(pool routing.Pool, endpoints int, work time.Duration) float64 {
	if endpoints == 0 {
		return 0
	}
	delay := work / time.Duration(endpoints)
	if delay < pauseObjective(pool)/2 {
		return 0
	}
	rate := a.present / residence.Seconds()
	catchUp := delay.Seconds() / (1 - min(a.busy, maxUtilization))
	return lateLoss * rate * catchUp * min(1, float64(delay)/float64(fullDelay))
}
