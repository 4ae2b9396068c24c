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
	// leaderRateShare is the share of an endpoint's rate for the choices of the leader. fallbackRateShare is the share
	// for each other role, which chooses while entries can't reach the leader.
	leaderRateShare   = 0.5
	fallbackRateShare = 0.25
	// limitTrialRate is the number of requests per second that the leader sends to an endpoint whatever limit it states.
	limitTrialRate = 0.25
)

// maxRate returns the number of requests per second, possibly below one, that the choices of a role may send to an
// endpoint; it reports false if the rate is unlimited. The leader gets half of the endpoint's rate since entries may
// disagree briefly on who is the leader. The choosers of all zones together get a quarter, and so do all entries
// together when each chooses for itself.
func (p *Process) maxRate(endpoint fleet.Endpoint, role sharedload.Role, now time.Time) (float64, bool) {
	pool, _ := p.pool(endpoint.Pool)
	if pool.ColdRate <= 0 {
		return 0, false
	}
	rate := pool.ColdRate * p.Settings.ColdFactor
	if now.After(endpoint.ColdUntil) {
		rate *= warmRateFactor
	}
	return rate * p.rateShare(role, leaderRateShare), true
}

// maxLimitRate returns the number of requests per second that the choices of a role may send to an endpoint that states
// a limit; it reports false if it states none. The leader gets the whole limit, since nobody else chooses while entries
// agree on it, but at least limitTrialRate, since only responses show that a limit has ended.
func (p *Process) maxLimitRate(endpoint fleet.Endpoint, role sharedload.Role) (float64, bool) {
	limit, limited := p.limits.Limit(endpoint)
	if limited && role == sharedload.RoleLeader {
		limit = max(limit, limitTrialRate)
	}
	return limit * p.rateShare(role, 1), limited
}

// rateShare returns the share of an endpoint's rate for the choices of a role at this entry.
func (p *Process) rateShare(role sharedload.Role, leaderShare float64) float64 {
	switch role {
	case sharedload.RoleLeader:
		return leaderShare
	case sharedload.RoleZone:
		return fallbackRateShare / float64(p.zoneCount())
	default:
		return fallbackRateShare / float64(p.entryCount())
	}
}

// zoneCount returns the number of zones that have known entries, at least one.
func (p *Process) zoneCount() int {
	zones := make(map[fleet.Zone]bool)
	for _, entry := range p.state.Entries.Snapshot().Rows {
		zones[entry.Zone] = true
	}
	return max(1, len(zones))
}

// entryCount returns the number of known entries, at least one.
func (p *Process) entryCount() int {
	return max(1, len(p.state.Entries.Snapshot().Rows))
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
