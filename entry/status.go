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

// status returns what operators see of this entry.
func (p *Process) status() operator.Status {
	status := operator.Status{
		Entry:                 p.Settings.Entry,
		Zone:                  p.Settings.Zone,
		ConfigurationRevision: p.board.Configuration.Snapshot().Rows[clusterstate.SingleKey{}].Revision,
		Zones:                 operator.ZoneStatuses(p.board),
		Entries:               operator.EntryStatuses(p.board),
		Endpoints:             p.endpoints(),
	}
	for _, note := range p.suspects.Records() {
		switch {
		case note.Quarantined():
			status.Quarantined++
		case !note.Cleared:
			status.Suspects++
		}
	}
	return status
}

// endpoints returns the known endpoints, by name, with the account of those that this entry owns.
func (p *Process) endpoints() []operator.EndpointStatus {
	owned := make(map[fleet.EndpointID]scheduler.Status)
	for _, s := range p.pool.Status() {
		owned[s.Endpoint] = s
	}
	entries := p.board.Entries.Snapshot().Rows
	var found []operator.EndpointStatus
	for id, endpoint := range p.board.Endpoints.Snapshot().Rows {
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
			row = withAccount(row, s)
		}
		found = append(found, row)
	}
	slices.SortFunc(found, func(a, b operator.EndpointStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return found
}

// withAccount adds what only the owner knows.
func withAccount(row operator.EndpointStatus, s scheduler.Status) operator.EndpointStatus {
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
