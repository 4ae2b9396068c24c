package entry

import (
	"cmp"
	"slices"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ownership"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/io/operator"
)

// status returns the status of this entry for operators.
func (p *Process) status() operator.Status {
	status := operator.Status{
		Entry:                 p.Settings.Entry,
		Zone:                  p.Settings.Zone,
		ConfigurationRevision: p.state.Configuration.Snapshot().Rows[clusterstate.SingleKey{}].Revision,
		Zones:                 operator.ZoneStatuses(p.state),
		Entries:               operator.EntryStatuses(p.state),
		Endpoints:             p.endpointStatuses(),
	}
	for _, record := range p.suspects.Records() {
		switch {
		case record.Quarantined():
			status.Quarantined++
		case !record.Cleared:
			status.OnTrial++
		}
	}
	return status
}

// endpointStatuses returns the status of all known endpoints in order of ID, with the load and the warmth of those that
// this entry owns.
func (p *Process) endpointStatuses() []operator.EndpointStatus {
	owned := make(map[fleet.EndpointID]scheduler.Status)
	for _, s := range p.pool.Status() {
		owned[s.Endpoint] = s
	}
	entries := p.state.Entries.Snapshot().Rows
	var statuses []operator.EndpointStatus
	for id, endpoint := range p.state.Endpoints.Snapshot().Rows {
		row := operator.EndpointStatus{
			Endpoint: id,
			Zone:     endpoint.Zone,
			Pool:     endpoint.Pool,
			State:    endpoint.State,
			Memory:   endpoint.Memory,
		}
		if endpoint.Kind == fleet.KindEngine {
			row.Owner = ownership.RendezvousOwner(endpoint, entries)
		}
		if s, ok := owned[id]; ok {
			row = withOwnerStatus(row, s)
		}
		statuses = append(statuses, row)
	}
	slices.SortFunc(statuses, func(a, b operator.EndpointStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return statuses
}

// withOwnerStatus returns the row with the fields that only the owner of the endpoint can fill.
func withOwnerStatus(row operator.EndpointStatus, s scheduler.Status) operator.EndpointStatus {
	row.Owned = true
	row.Used = s.Used
	row.Running = s.Running
	row.Queue = s.Queue
	row.Warmth = "warm"
	if s.Warmth.Cold {
		row.Warmth = "cold"
		row.ColdLimit = s.Warmth.Attempts
	}
	if s.Resyncing {
		row.Warmth = "resynchronizing"
	}
	return row
}
