package gateway

import (
	"cmp"
	"slices"
	"time"

	"wisteriadyke/io/operator"
)

// status returns what operators see of this entry. What runs at endpoints counts all entries.
func (p *Process) status() operator.Status {
	status := operator.Status{
		Entry:                 p.Settings.Entry,
		Zone:                  p.Settings.Zone,
		ConfigurationRevision: uint64(p.version()),
		Zones:                 operator.ZoneStatuses(p.board),
		Entries:               operator.EntryStatuses(p.board),
		Endpoints:             p.endpoints(),
	}
	for _, note := range p.suspects.Records() {
		if note.Quarantined() {
			status.Quarantined++
		}
	}
	return status
}

// endpoints returns the known endpoints, by name.
func (p *Process) endpoints() []operator.EndpointStatus {
	totals := p.book.Totals(time.Now())
	var found []operator.EndpointStatus
	for id, endpoint := range p.board.Endpoints.Snapshot().Rows {
		found = append(found, operator.EndpointStatus{
			Endpoint: id,
			Zone:     endpoint.Zone,
			Pool:     endpoint.Pool,
			State:    endpoint.State,
			Used:     totals[id].Memory,
			Running:  totals[id].Running,
		})
	}
	slices.SortFunc(found, func(a, b operator.EndpointStatus) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return found
}
