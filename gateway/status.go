package gateway

import (
	"cmp"
	"slices"
	"time"

	"wisteriadyke/io/operator"
)

// status returns the status of this entry. Used and Running of the endpoints include the usage by other entries.
func (p *Process) status() operator.Status {
	status := operator.Status{
		Entry:                 p.Settings.Entry,
		Zone:                  p.Settings.Zone,
		ConfigurationRevision: uint64(p.configurationVersion()),
		Zones:                 operator.ZoneStatuses(p.state),
		Entries:               operator.EntryStatuses(p.state),
		Endpoints:             p.endpointStatuses(),
		Tables:                p.tablesStatus(),
	}
	for _, record := range p.suspects.Records() {
		if record.Quarantined() {
			status.Quarantined++
		}
	}
	return status
}

// tablesStatus returns how this entry reads the tables of the store.
func (p *Process) tablesStatus() *operator.TablesStatus {
	relay, readers := p.sources.Status()
	status := &operator.TablesStatus{Relay: relay, Readers: readers, Era: p.feed.Client.Era(), ConfirmedAgeMs: -1}
	if age, confirmed := p.freshness.Age(); confirmed {
		status.ConfirmedAgeMs = age.Milliseconds()
	}
	return status
}

// endpointStatuses returns the status of all known endpoints in order of ID.
func (p *Process) endpointStatuses() []operator.EndpointStatus {
	totals := p.usages.Totals(time.Now())
	var statuses []operator.EndpointStatus
	for id, endpoint := range p.state.Endpoints.Snapshot().Rows {
		statuses = append(statuses, operator.EndpointStatus{
			Endpoint: id,
			Zone:     endpoint.Zone,
			Pool:     endpoint.Pool,
			State:    endpoint.State,
			Used:     totals[id].Memory,
			Running:  totals[id].Running,
		})
	}
	slices.SortFunc(statuses, func(a, b operator.EndpointStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return statuses
}
