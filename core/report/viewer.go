package report

import (
	"sync"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// freshFor is how long a view is used though reports have changed, since building one for all endpoints takes time.
const freshFor = 100 * time.Millisecond

// ViewCache yields the view that requests are placed by; it is built anew when the blackboard has changed, at once for
// endpoints and zones and after a while for loads and reports. It reads these four tables.
type ViewCache struct {
	// State holds the tables.
	State *clusterstate.State
	// Zone is the availability zone of this entry.
	Zone fleet.Zone

	mu       sync.Mutex
	versions versions
	builtAt  time.Time
	view     placement.View
}

// versions are those of the tables that a view was built of.
type versions struct {
	endpoints uint64
	zones     uint64
	loads     uint64
	reports   uint64
}

// fresh tells whether a view built of some versions at some time may still be used.
func (v versions) fresh(built versions, age time.Duration) bool {
	if v.endpoints != built.endpoints || v.zones != built.zones {
		return false
	}
	return v == built || age < freshFor
}

// View returns the view at the present versions of the tables.
func (v *ViewCache) View() placement.View {
	endpoints := v.State.Endpoints.Snapshot()
	loads := v.State.Loads.Snapshot()
	zones := v.State.Zones.Snapshot()
	reports := v.State.Reports.Snapshot()
	present := versions{endpoints: endpoints.Version, zones: zones.Version, loads: loads.Version, reports: reports.Version}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.view.Index != nil && present.fresh(v.versions, time.Since(v.builtAt)) {
		return v.view
	}
	v.versions = present
	v.builtAt = time.Now()
	v.view = placement.View{
		Endpoints: endpoints.Rows,
		Loads:     loads.Rows,
		Zones:     zones.Rows,
		Reports:   reports.Rows,
		Local:     v.Zone,
	}
	v.view.Index = placement.NewIndex(v.view)
	return v.view
}
