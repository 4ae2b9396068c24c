package placement

import (
	"cmp"
	"slices"
	"time"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
)

// Index holds the endpoints that take new work by pool and availability zone. It is built when the blackboard
// changes, and never written, so that a decision does not look at every endpoint.
type Index struct {
	pools map[fleet.PoolName]*pool
}

// pool holds the endpoints of one pool.
type pool struct {
	// zones holds the availability zones, the local one first if it has endpoints.
	zones []*zone
	// places holds where each endpoint is.
	places map[fleet.EndpointID]*row
}

// zone holds the endpoints of one pool in one availability zone.
type zone struct {
	// state is the operators' decision on the zone.
	state config.ZoneState
	// remote tells that it is not the zone of the deciding entry.
	remote bool
	// rows holds the endpoints by name.
	rows []row
	// short and long sum up the zone for the two kinds of prompts.
	short, long aggregate
	// measuredAt is when the latest of its reports was true, or zero.
	measuredAt time.Time
}

// row is one endpoint of an index.
type row struct {
	endpoint fleet.Endpoint
	report   Report
	zone     *zone
}

// aggregate is what an availability zone offers to a band.
type aggregate struct {
	// wait is the mean predicted wait of the better half of the endpoints.
	wait time.Duration
	// free is the largest free memory of one endpoint.
	free fleet.Tokens
}

// NewIndex builds the index of a view; it ignores view.Index.
func NewIndex(view View) *Index {
	x := &Index{pools: make(map[fleet.PoolName]*pool)}
	for name, zones := range group(view) {
		x.pools[name] = newPool(view, zones)
	}
	return x
}

// group returns the names of the endpoints that take new work by pool and availability zone.
func group(view View) map[fleet.PoolName]map[fleet.Zone][]fleet.EndpointID {
	pools := make(map[fleet.PoolName]map[fleet.Zone][]fleet.EndpointID)
	for id, endpoint := range view.Endpoints {
		report, reported := view.Reports[id]
		if !open(view, endpoint) || reported && !report.Accepting {
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

// newPool puts the availability zones of a pool in order.
func newPool(view View, zones map[fleet.Zone][]fleet.EndpointID) *pool {
	p := &pool{places: make(map[fleet.EndpointID]*row)}
	for name, ids := range zones {
		slices.Sort(ids)
		z := newZone(view, name, ids)
		for i := range z.rows {
			p.places[ids[i]] = &z.rows[i]
		}
		p.zones = append(p.zones, z)
	}
	slices.SortFunc(p.zones, func(a, b *zone) int {
		return cmp.Or(cmp.Compare(remoteness(a), remoteness(b)), cmp.Compare(a.state.Zone, b.state.Zone))
	})
	return p
}

// newZone builds an availability zone of a pool.
func newZone(view View, name fleet.Zone, ids []fleet.EndpointID) *zone {
	z := &zone{state: view.Zones[name], remote: name != view.Local, rows: make([]row, len(ids))}
	z.state.Zone = name
	for i, id := range ids {
		endpoint := view.Endpoints[id]
		report, reported := view.Reports[id]
		if !reported {
			report = unreported(endpoint, view.Loads[id])
		}
		z.rows[i] = row{endpoint: endpoint, report: report, zone: z}
	}
	z.short = z.sum(false)
	z.long = z.sum(true)
	return z
}

// remoteness is 1 for a zone other than that of the deciding entry.
func remoteness(z *zone) int {
	if z.remote {
		return 1
	}
	return 0
}

// sum returns what the zone offers to a band.
func (z *zone) sum(long bool) aggregate {
	var a aggregate
	waits := make([]time.Duration, 0, len(z.rows))
	for i := range z.rows {
		report := &z.rows[i].report
		waits = append(waits, report.wait(long, z.rows[i].endpoint.Memory))
		if report.MeasuredAt.After(z.measuredAt) {
			z.measuredAt = report.MeasuredAt
		}
		if long {
			a.free = max(a.free, report.FreeLong)
		} else {
			a.free = max(a.free, report.FreeShort)
		}
	}
	slices.Sort(waits)
	better := (len(waits) + 1) / 2
	var sum time.Duration
	for _, wait := range waits[:better] {
		sum += wait
	}
	a.wait = sum / time.Duration(max(1, better))
	return a
}

// silent tells whether nothing was heard of another availability zone for long, as when it is cut off.
func (z *zone) silent(now time.Time) bool {
	return z.remote && !z.measuredAt.IsZero() && now.Sub(z.measuredAt) > silentTime
}

// aggregate returns what the zone offers to a band.
func (z *zone) aggregate(long bool) aggregate {
	if long {
		return z.long
	}
	return z.short
}
