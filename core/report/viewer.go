package report

import (
	"sync"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// Viewer yields the view that requests are placed by; it is built anew when the blackboard has changed. It reads the
// endpoints, loads, zones and reports of the blackboard.
type Viewer struct {
	// Board holds the tables.
	Board *blackboard.Board
	// Zone is the availability zone of this entry.
	Zone fleet.Zone

	mu       sync.Mutex
	versions [4]uint64
	view     placement.View
}

// View returns the view at the present versions of the tables.
func (v *Viewer) View() placement.View {
	endpoints := v.Board.Endpoints.View()
	loads := v.Board.Loads.View()
	zones := v.Board.Zones.View()
	reports := v.Board.Reports.View()
	versions := [4]uint64{endpoints.Version, loads.Version, zones.Version, reports.Version}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.view.Index != nil && versions == v.versions {
		return v.view
	}
	v.versions = versions
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
