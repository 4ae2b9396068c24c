package operator

import (
	"cmp"
	"slices"

	"wisteriadyke/core/clusterstate"
)

// ZoneStatuses returns the operators' decisions on availability zones, by name.
func ZoneStatuses(board *clusterstate.State) []ZoneStatus {
	var found []ZoneStatus
	for _, z := range board.Zones.Snapshot().Rows {
		found = append(found, ZoneStatus{Zone: z.Zone, Drained: z.Drained, Revision: z.Revision})
	}
	slices.SortFunc(found, func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return found
}

// EntryStatuses returns the known entries, by name.
func EntryStatuses(board *clusterstate.State) []EntryStatus {
	var found []EntryStatus
	for _, e := range board.Entries.Snapshot().Rows {
		found = append(found, EntryStatus{Entry: e.ID, Zone: e.Zone, State: e.State})
	}
	slices.SortFunc(found, func(a, b EntryStatus) int { return cmp.Compare(a.Entry, b.Entry) })
	return found
}
