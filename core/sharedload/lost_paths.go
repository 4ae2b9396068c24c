package sharedload

import (
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

// quickConnectTimeout is how long a quick request of a contended pool waits for a connection before another endpoint is
// tried. A busy endpoint accepts within milliseconds, and a lost SYN is sent again only after a second.
const quickConnectTimeout = 100 * time.Millisecond

// choosableFrom reports whether choices may use an endpoint for an entry of a zone. In a contended pool, an endpoint that
// entries of this zone can't connect to is left out for another zone only if the path from there is lost as well.
//
// Load pattern: a zone is partitioned while connections between entries live on. The leader is asked for choices by
// entries that reach other endpoints than it does.
func (p *Policy) choosableFrom(endpoint fleet.Endpoint, from fleet.Zone, now time.Time) bool {
	if p.choosable(endpoint, now) {
		return true
	}
	return p.Paths != nil && p.Paths.Contended(endpoint.Pool) && from != "" && from != p.Paths.Self.Zone &&
		p.unreachable(endpoint, now) && !p.Paths.Lost(endpoint, from, now)
}

// pathView returns which endpoints are lost or suspect for the entry that sends the request.
func (p *Policy) pathView(need placement.Need, now time.Time) outlier.PathView {
	if p.Paths == nil {
		return outlier.PathView{}
	}
	return p.Paths.View(need.Zone, now)
}

// withoutLost returns the endpoints that are not lost for the entry that sends the request, or all if no other is left.
// The order is kept. If the first one was lost, the others are marked as used instead of it.
func withoutLost(states []endpointState) []endpointState {
	left := filterOrAll(states, func(s endpointState) bool { return !s.lost })
	if len(left) == len(states) || !states[0].lost {
		return left
	}
	for i := range left {
		left[i].replacesLost = true
	}
	return left
}

// filterOrAll returns the endpoints that meet a condition, or all if none does.
func filterOrAll(states []endpointState, keep func(s endpointState) bool) []endpointState {
	left := slices.DeleteFunc(slices.Clone(states), func(s endpointState) bool { return !keep(s) })
	if len(left) == 0 {
		return states
	}
	return left
}

// suspectLast moves suspect endpoints behind the others, so that a quick request uses them only if no other one admits
// it. Unlike in the function without, it doesn't matter how many there are: a third of the pool may be in a zone that is
// partitioned.
func suspectLast(states []endpointState) []endpointState {
	trusted := slices.DeleteFunc(slices.Clone(states), func(s endpointState) bool { return s.suspect })
	suspects := slices.DeleteFunc(slices.Clone(states), func(s endpointState) bool { return !s.suspect })
	return slices.Concat(trusted, suspects)
}

// SparedRequests returns how many requests were placed elsewhere than at the first endpoint in order because the path to
// that one was lost.
func (c *Chooser) SparedRequests() int64 {
	return c.spared.Load()
}

// connectTimeout returns how long a request may wait for a connection, or 0 for the usual time.
//
// Load pattern: endpoints become unreachable while quick requests arrive whose objective is shorter than the usual
// connection timeout.
func connectTimeout(pool routing.Pool, need placement.Need) time.Duration {
	if !pool.Contended || need.Objective <= 0 || !isQuick(pool, need.PromptTokens) {
		return 0
	}
	return quickConnectTimeout
}

// ownPaths returns the reports of this entry.
func (p *ChooserSet) ownPaths(now time.Time) []outlier.PathReport {
	if p.LostPaths == nil {
		return nil
	}
	return p.LostPaths.Own(now)
}

// recordLostPaths records the lost paths that another entry reports. The witness and its zone are those of the entry that
// sent the report.
func (p *ChooserSet) recordLostPaths(report UsageReport, now time.Time) {
	entry, found := p.State.Entries.Get(report.Entry)
	if p.LostPaths == nil || !found {
		return
	}
	if len(report.CutOff) > 0 {
		p.LostPaths.Withdraw(report.Entry, report.CutOff)
	}
	reports := slices.Clone(report.LostPaths)
	for i := range reports {
		reports[i].Witness, reports[i].Zone = report.Entry, entry.Zone
	}
	p.LostPaths.MergeReported(reports, now)
}

// lostPathsFor returns the reports that another entry needs.
func (p *ChooserSet) lostPathsFor(id fleet.EntryID, now time.Time) []outlier.PathReport {
	if p.LostPaths == nil {
		return nil
	}
	entry, found := p.State.Entries.Get(id)
	if !found {
		return nil
	}
	return p.sentPaths.Select(id, p.LostPaths.ForZone(entry.Zone, now), now)
}

// mergePaths applies the reports in a reply of a chooser.
func (p *ChooserSet) mergePaths(reports []outlier.PathReport, now time.Time) {
	if p.LostPaths != nil && len(reports) > 0 {
		p.LostPaths.Merge(reports, now)
	}
}

// zoneOf returns the zone of an entry, or "" if it is unknown.
func (p *ChooserSet) zoneOf(id fleet.EntryID) fleet.Zone {
	entry, _ := p.State.Entries.Get(id)
	return entry.Zone
}
