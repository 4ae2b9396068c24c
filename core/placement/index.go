package placement

import (
	"cmp"
	"slices"
	"time"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
)

// Index holds the endpoints that accept requests by pool and availability zone, so that a decision does not scan all
// endpoints. It is immutable and rebuilt when the cluster state changes.
type Index struct {
	pools map[fleet.PoolName]*pool
}

// pool holds the endpoints of one pool.
type pool struct {
	// zones holds the availability zones, the local one first if it has endpoints.
	zones []*zone
	// rows holds the same endpoints by ID.
	rows map[fleet.EndpointID]*row
}

// zone holds the endpoints of one pool in one availability zone.
type zone struct {
	// state is the zone state set by operators.
	state config.ZoneState
	// remote reports whether the zone is not that of the deciding entry.
	remote bool
	// rows holds the endpoints in the order of their IDs.
	rows []row
	// short is the aggregate for quick and medium prompts, long that for long prompts.
	short, long aggregate
	// latestReportAt is the time of the latest report, or zero.
	latestReportAt time.Time
}

// row is one endpoint of an index with its last report, or an estimated one.
type row struct {
	endpoint fleet.Endpoint
	report   Report
	zone     *zone
}

// aggregate summarizes an availability zone, for long prompts or for all shorter ones.
type aggregate struct {
	// wait is the mean predicted wait of the half of the endpoints that has the shorter waits.
	wait time.Duration
	// free is the largest free memory of one endpoint, in tokens.
	free fleet.Tokens
}

// NewIndex builds the index of a view; it ignores view.Index.
func NewIndex(view View) *Index {
	x := &Index{pools: make(map[fleet.PoolName]*pool)}
	for name, zones := range groupEndpoints(view) {
		x.pools[name] = newPool(view, zones)
	}
	return x
}

// groupEndpoints returns the IDs of the endpoints that accept requests by pool and availability zone.
func groupEndpoints(view View) map[fleet.PoolName]map[fleet.Zone][]fleet.EndpointID {
	pools := make(map[fleet.PoolName]map[fleet.Zone][]fleet.EndpointID)
	for id, endpoint := range view.Endpoints {
		report, reported := view.Reports[id]
		if !acceptsRequests(view, endpoint) || reported && !report.Accepting {
			continue
		}
		zones := pools[endpoint.Pool]
		if zones == nil {
			zones = make(map[fleet.Zone][]fleet.EndpointID)
			pools[endpoint.Pool] = zones
		}
		zones[endpoint.Zone] = append(zones[endpoint.Zone], id)
	}
	return pools
}

// newPool returns a pool with its availability zones, the local one first and the others by name.
func newPool(view View, zones map[fleet.Zone][]fleet.EndpointID) *pool {
	p := &pool{rows: make(map[fleet.EndpointID]*row)}
	for name, ids := range zones {
		slices.Sort(ids)
		z := newZone(view, name, ids)
		for i := range z.rows {
			p.rows[ids[i]] = &z.rows[i]
		}
		p.zones = append(p.zones, z)
	}
	slices.SortFunc(p.zones, func(a, b *zone) int {
		return cmp.Or(cmp.Compare(zoneDistance(a), zoneDistance(b)), cmp.Compare(a.state.Zone, b.state.Zone))
	})
	return p
}

// newZone returns the endpoints of a pool in one availability zone.
func newZone(view View, name fleet.Zone, ids []fleet.EndpointID) *zone {
	z := &zone{state: view.Zones[name], remote: name != view.Local, rows: make([]row, len(ids))}
	z.state.Zone = name
	for i, id := range ids {
		endpoint := view.Endpoints[id]
		report, reported := view.Reports[id]
		if !reported {
			report = estimatedReport(endpoint, view.Loads[id])
		}
		z.rows[i] = row{endpoint: endpoint, report: report, zone: z}
	}
	z.short = z.aggregateReports(false)
	z.long = z.aggregateReports(true)
	return z
}

// zoneDistance returns 0 for the zone of the deciding entry and 1 for any other.
func zoneDistance(z *zone) int {
	if z.remote {
		return 1
	}
	return 0
}

// aggregateReports computes the aggregate for long prompts or for all shorter ones, and updates latestReportAt.
func (z *zone) aggregateReports(long bool) aggregate {
	var a aggregate
	waits := make([]time.Duration, 0, len(z.rows))
	for i := range z.rows {
		report := &z.rows[i].report
		waits = append(waits, report.wait(long, z.rows[i].endpoint.Memory))
		if report.MeasuredAt.After(z.latestReportAt) {
			z.latestReportAt = report.MeasuredAt
		}
		if long {
			a.free = max(a.free, report.FreeLong)
		} else {
			a.free = max(a.free, report.FreeShort)
		}
	}
	slices.Sort(waits)
	betterHalf := (len(waits) + 1) / 2
	var total time.Duration
	for _, wait := range waits[:betterHalf] {
		total += wait
	}
	a.wait = total / time.Duration(max(1, betterHalf))
	return a
}

// stale reports whether a remote zone has sent no report for staleZoneAge, for instance because the network is
// partitioned; a zone without any report is not stale.
func (z *zone) stale(now time.Time) bool {
	return z.remote && !z.latestReportAt.IsZero() && now.Sub(z.latestReportAt) > staleZoneAge
}

// aggregate returns the stored aggregate for long prompts or for all shorter ones.
func (z *zone) aggregate(long bool) aggregate {
	if long {
		return z.long
	}
	return z.short
}
