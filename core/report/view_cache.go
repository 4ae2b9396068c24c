package report

import (
	"sync"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// maxViewAge is how long a view is reused although loads or reports have changed, since building one for all endpoints
// is expensive.
const maxViewAge = 100 * time.Millisecond

// ViewCache builds and caches the view that placement uses. After a change of endpoints or zones the view is rebuilt at
// the next call; after a change of loads or reports it is rebuilt at most once per maxViewAge. In the gateway, where
// endpoints have no owners, the view has no reports. ViewCache is safe for concurrent use.
type ViewCache struct {
	// State is the cluster state.
	State *clusterstate.State
	// Zone is the availability zone of this entry.
	Zone fleet.Zone

	mu       sync.Mutex
	versions tableVersions
	builtAt  time.Time
	view     placement.View
}

// tableVersions holds the versions of the tables that a view was built from.
type tableVersions struct {
	endpoints uint64
	zones     uint64
	loads     uint64
	reports   uint64
}

// usable reports whether a view of the given age that was built from the versions built may still be used; v holds the
// current versions.
func (v tableVersions) usable(built tableVersions, age time.Duration) bool {
	if v.endpoints != built.endpoints || v.zones != built.zones {
		return false
	}
	return v == built || age < maxViewAge
}

// View returns the cached view, rebuilt if it is outdated.
func (v *ViewCache) View() placement.View {
	endpoints := v.State.Endpoints.Snapshot()
	loads := v.State.Loads.Snapshot()
	zones := v.State.Zones.Snapshot()
	reports := v.State.Reports.Snapshot()
	current := tableVersions{endpoints: endpoints.Version, zones: zones.Version, loads: loads.Version, reports: reports.Version}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.view.Index != nil && current.usable(v.versions, time.Since(v.builtAt)) {
		return v.view
	}
	v.versions = current
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
