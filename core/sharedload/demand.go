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
	// meanResidence is the usual time that an attempt spends at its engine, where the lengths of answers are not learned; it
	// converts the value of the running attempts into a value per second.
	meanResidence = 2500 * time.Millisecond
	// residenceWeight is the weight of a choice in the averages of the residence, about a second's worth of choices.
	residenceWeight = 0.01
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
	// burstFactor is the demand of quick requests for which endpoints are kept free of long prefill, relative to the current
	// one, since a burst fills slots faster than running parts of long prompts end.
	burstFactor = 2
	// maxReservedShare bounds the share of a pool that is kept free of long prefill, so that long prompts always find
	// endpoints.
	maxReservedShare = 0.6
)

// demandAverage is the average demand of one pool.
type demandAverage struct {
	// at is the time of the last update.
	at time.Time
	// quickRunning is the number of running and waiting quick attempts.
	quickRunning float64
	// prefillShare is the share of endpoints with outstanding prefill.
	prefillShare float64
	// runningValue is the value of the running and waiting attempts, in quick requests.
	runningValue float64
	// residence is the mean expected residence of an attempt.
	residence time.Duration
}

// Demand holds exponential moving averages of the demand of each pool. Its zero value is ready to use.
type Demand struct {
	mu    sync.Mutex
	pools map[fleet.PoolName]demandAverage
	// quick holds the rates of the quick requests that were placed, and residences how long requests are expected to hold
	// their slots.
	quick      map[fleet.PoolName]quickRate
	residences map[fleet.PoolName]residences
}

// residences are averages of the expected residence of the requests of a pool and of the quick ones, or 0 if there were
// none.
type residences struct {
	all, quick time.Duration
}

// quickRate is a moving average of the quick requests per second, as of a time.
type quickRate struct {
	perSecond float64
	at        time.Time
}

// update updates the averages of a pool with the current usage of its endpoints and returns the new averages.
func (d *Demand) update(pool routing.Pool, states []endpointState, now time.Time) demandAverage {
	current := demandAverage{at: now}
	for i := range states {
		u := states[i].usage
		current.quickRunning += float64(u.Quick)
		if pool.Contended {
			current.runningValue += u.ValueByPause.sum()
		} else {
			current.runningValue += float64(u.Quick) + float64(u.Running-u.Quick)*longAttemptValue
		}
		if states[i].prefill.busy {
			current.prefillShare += 1 / float64(len(states))
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		d.pools = make(map[fleet.PoolName]demandAverage)
	}
	previous, found := d.pools[pool.Name]
	if !found {
		previous = demandAverage{
			at:           now,
			prefillShare: initialPrefillShare,
			runningValue: initialValuePerEndpoint * float64(len(states)),
		}
	}
	decay := math.Exp(-float64(now.Sub(previous.at)) / float64(demandAverageTime))
	current.prefillShare = decay*previous.prefillShare + (1-decay)*current.prefillShare
	current.quickRunning = decay*previous.quickRunning + (1-decay)*current.quickRunning
	current.runningValue = decay*previous.runningValue + (1-decay)*current.runningValue
	d.pools[pool.Name] = current
	current.residence = meanResidence
	if r := d.residences[pool.Name]; r.all > 0 {
		current.residence = r.all
	}
	return current
}

// countPlaced adds the expected residence of a request that was placed to the averages.
func (d *Demand) countPlaced(pool fleet.PoolName, quick bool, expected time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.residences == nil {
		d.residences = make(map[fleet.PoolName]residences)
	}
	r := d.residences[pool]
	average := func(mean *time.Duration) {
		if *mean == 0 {
			*mean = expected
		}
		*mean += time.Duration(float64(expected-*mean) * residenceWeight)
	}
	average(&r.all)
	if quick {
		average(&r.quick)
	}
	d.residences[pool] = r
}

// countQuick counts a quick request that was placed.
func (d *Demand) countQuick(pool fleet.PoolName, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quick == nil {
		d.quick = make(map[fleet.PoolName]quickRate)
	}
	d.quick[pool] = quickRate{perSecond: d.quick[pool].after(now) + 1/demandAverageTime.Seconds(), at: now}
}

// after returns the rate at a later time if no request was placed since.
func (r quickRate) after(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(now.Sub(r.at))/float64(demandAverageTime))
}

// reserve returns the endpoints that stay free of long prefill, by the slots that quick requests use or will use at their
// rate.
func (d *Demand) reserve(pool routing.Pool, endpoints int, average demandAverage, now time.Time) quickReserve {
	slots := float64(pool.Engine.Slots)
	if slots <= 0 {
		return quickReserve{}
	}
	d.mu.Lock()
	perSecond := d.quick[pool.Name].after(now)
	residence := d.residences[pool.Name].quick
	d.mu.Unlock()
	needed := max(average.quickRunning, perSecond*residence.Seconds()) / slots
	most := maxReservedShare * float64(endpoints)
	return quickReserve{
		needed:    int(math.Ceil(min(needed, most))),
		burst:     int(math.Ceil(min(burstFactor*needed, most))),
		perSecond: perSecond / max(1, needed),
	}
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
	rate := a.runningValue / a.residence.Seconds()
	catchUp := delay.Seconds() / (1 - min(a.prefillShare, maxUtilization))
	return lossIfLate(pool) * rate * catchUp * min(1, float64(delay)/float64(allLateDelay))
}
