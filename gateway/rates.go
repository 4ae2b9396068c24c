package gateway

import (
	"time"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/sharedload"
)

const (
	// warmRateFactor is the rate limit of a warm endpoint divided by that of a cold one. A warm endpoint can turn cold
	// at any time, so the factor is small. The actual rate is usually below the limit, since not all entries use their
	// whole share at the same time.
	warmRateFactor = 2
	// leaderRateShare, zoneRateShare and aloneRateShare are the shares of an endpoint's rate for the choices of all leaders,
	// of the choosers of all zones, and of all entries that choose for themselves. While entries turn to another chooser,
	// the old one and the new one may both use their share, so that the sum is twice the first two and the third.
	leaderRateShare = 0.4
	zoneRateShare   = 0.05
	aloneRateShare  = 0.1
	// limitTrialRate is the number of requests per second that the leader sends to an endpoint whatever limit it states.
	limitTrialRate = 0.25
)

// maxRate returns the number of requests per second, possibly below one, that the choices of a role at this entry may
// send to an endpoint; it reports false if the rate is unlimited.
func (p *Process) maxRate(endpoint fleet.Endpoint, role sharedload.Role, now time.Time) (float64, bool) {
	pool, _ := p.pool(endpoint.Pool)
	if pool.ColdRate <= 0 {
		return 0, false
	}
	rate, share := pool.ColdRate*p.Settings.ColdFactor, p.choosers.ColdShare(role, now)
	if now.After(endpoint.ColdUntil) {
		rate, share = rate*warmRateFactor, p.choosers.Share(role, now)
	}
	return rate * rateShare(role, leaderRateShare) * share, true
}

// maxLimitRate returns the number of requests per second that the choices of a role at this entry may send to an endpoint
// that states a limit; it reports false if it states none. All leaders together get the whole limit, and each of them at
// least its share of limitTrialRate, since only responses show that a limit has ended.
func (p *Process) maxLimitRate(endpoint fleet.Endpoint, role sharedload.Role) (float64, bool) {
	limit, limited := p.limits.Limit(endpoint)
	if limited && role == sharedload.RoleLeader {
		limit = max(limit, limitTrialRate)
	}
	return limit * rateShare(role, 1) * p.choosers.Share(role, time.Now()), limited
}

// rateShare returns the share of an endpoint's rate for the choices of a role at all entries; leaderShare is that of all
// leaders.
func rateShare(role sharedload.Role, leaderShare float64) float64 {
	switch role {
	case sharedload.RoleLeader:
		return leaderShare
	case sharedload.RoleZone:
		return zoneRateShare
	default:
		return aloneRateShare
	}
}

// entryCount returns the number of known entries, or 0 if none has been read yet.
func (p *Process) entryCount() int {
	return len(p.state.Entries.Snapshot().Rows)
}

// retryBudget returns the retry budget of this entry, which holds an equal share of the burst of all entries.
func (p *Process) retryBudget() *retry.Budget {
	return &retry.Budget{
		Ratio:      p.Settings.RetryRatio * RetryBudgetShare,
		Burst:      p.Settings.RetryBurst * RetryBudgetShare,
		EntryCount: p.entryCount,
	}
}

// newPaces returns the paces of endpoints, of which none is known yet.
func (p *Process) newPaces() *cost.Paces {
	paces := &cost.Paces{Listed: p.limits.Listed}
	p.registerGauge(metricSlowEndpoints, func() int64 { return int64(paces.Slow()) })
	return paces
}
