package sharedload

import (
	"math"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

const (
	// demandAverageTime is the time constant of the averages: a few times the duration of the longest prefills.
	demandAverageTime = 2 * time.Second
	// meanResidence is the usual time that an attempt spends at its engine; it converts the value of the running
	// attempts into a value per second.
	meanResidence = 2500 * time.Millisecond
	// longAttemptValue is the assumed value of a long attempt, in quick requests: that of the usual long prompt.
	longAttemptValue = 10
	// allLateDelay is the delay of a whole pool that makes nearly every request late.
	allLateDelay = time.Second
	// initialPrefillShare and initialValuePerEndpoint are the averages that an entry assumes before its first update of
	// a pool: those of a pool with half of its work in long prompts.
	initialPrefillShare     = 0.5
	initialValuePerEndpoint = 4
	// maxUtilization bounds the prefill share in the formula for the catch-up time, which would be infinite while all
	// endpoints prefill.
	maxUtilization = 0.9
)

// demandAverage is the average demand of one pool.
type demandAverage struct {
	// at is the time of the last update.
	at time.Time
	// prefillShare is the share of endpoints with outstanding prefill.
	prefillShare float64
	// runningValue is the value of the running and waiting attempts, in quick requests.
	runningValue float64
}

// Demand holds exponential moving averages of the demand of each pool. Its zero value is ready to use.
type Demand struct {
	mu    sync.Mutex
	pools map[fleet.PoolName]demandAverage
}

// update updates the averages of a pool with the current usage of its endpoints and returns the new averages.
func (d *Demand) update(pool fleet.PoolName, states []endpointState, now time.Time) demandAverage {
	current := demandAverage{at: now}
	for i := range states {
		u := states[i].usage
		current.runningValue += float64(u.Quick) + float64(u.Running-u.Quick)*longAttemptValue
		if states[i].prefill.shared > 0 {
			current.prefillShare += 1 / float64(len(states))
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		d.pools = make(map[fleet.PoolName]demandAverage)
	}
	previous, found := d.pools[pool]
	if !found {
		previous = demandAverage{
			at:           now,
			prefillShare: initialPrefillShare,
			runningValue: initialValuePerEndpoint * float64(len(states)),
		}
	}
	decay := math.Exp(-float64(now.Sub(previous.at)) / float64(demandAverageTime))
	current.prefillShare = decay*previous.prefillShare + (1-decay)*current.prefillShare
	current.runningValue = decay*previous.runningValue + (1-decay)*current.runningValue
	d.pools[pool] = current
	return current
}

// displacedValue returns the value, in quick requests, that other requests lose while the pool catches up with a
// prefill that would occupy a single endpoint for the given time. It returns 0 if the delay of the whole pool, which is
// that time divided by the number of endpoints, is less than half of the shortest pause objective.
//
// Load pattern: a prompt many times as long as the usual one arrives while the pool is busy. Wherever it is prefilled,
// the pool falls behind by that work, and the busier it is, the longer it takes to catch up.
func (a demandAverage) displacedValue(pool routing.Pool, endpoints int, prefill time.Duration) float64 {
	if endpoints == 0 {
		return 0
	}
	delay := prefill / time.Duration(endpoints)
	if delay < pauseObjective(pool)/2 {
		return 0
	}
	rate := a.runningValue / meanResidence.Seconds()
	catchUp := delay.Seconds() / (1 - min(a.prefillShare, maxUtilization))
	return lateLoss * rate * catchUp * min(1, float64(delay)/float64(allLateDelay))
}
