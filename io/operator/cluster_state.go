package operator

import (
	"cmp"
	"slices"

	"wisteriadyke/core/clusterstate"
)

// ZoneStatuses returns the status of each availability zone that an operator has changed, ordered by name.
func ZoneStatuses(state *clusterstate.State) []ZoneStatus {
	var statuses []ZoneStatus
	for _, z := range state.Zones.Snapshot().Rows {
		statuses = append(statuses, ZoneStatus{Zone: z.Zone, Drained: z.Drained, Revision: z.Revision})
	}
	slices.SortFunc(statuses, func(a, b ZoneStatus) int { return cmp.Compare(a.Zone, b.Zone) })
	return statuses
}

// EntryStatuses returns the status of each entry in the cluster state, ordered by ID.
func EntryStatuses(state *clusterstate.State) []EntryStatus {
	var statuses []EntryStatus
	for _, e := range state.Entries.Snapshot().Rows {
		statuses = append(statuses, EntryStatus{Entry: e.ID, Zone: e.Zone, State: e.State})
	}
	slices.SortFunc(statuses, func(a, b EntryStatus) int { return cmp.Compare(a.Entry, b.Entry) })
	return statuses
}
