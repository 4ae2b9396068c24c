// Package report tells other entries what an owner knows of its endpoints, and keeps the view that requests are placed
// by.
package report

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/scheduler"
)

const (
	// Interval is the time between two reports.
	Interval = 500 * time.Millisecond
	// zoneFanout is the number of entries of the zone that get one report.
	zoneFanout = 3
	// outsideFanout is the number of entries of other zones that get one report.
	outsideFanout = 1
	// pushTimeout bounds one report.
	pushTimeout = 300 * time.Millisecond
)

// OwnedEndpoints tells the state of the endpoints that this entry owns; *scheduler.Pool does.
type OwnedEndpoints interface {
	// Status returns the state of every owned endpoint.
	Status() []scheduler.Status
}

// Transport carries reports to other entries.
type Transport interface {
	// SendReports sends what this entry knows of its endpoints.
	SendReports(ctx context.Context, to netip.AddrPort, reports map[fleet.EndpointID]placement.Report) error
}

// Reporter tells other entries of the endpoints that this entry owns. It reads the entries of the blackboard and writes
// its reports. Each period a fixed number of entries is told, in turn, so that its cost does not grow with their number.
type Reporter struct {
	// Entry is this entry.
	Entry fleet.EntryID
	// Zone is its availability zone.
	Zone fleet.Zone
	// State holds the entries and takes the reports.
	State *clusterstate.State
	// Owned tells the state of the owned endpoints.
	Owned OwnedEndpoints
	// Transport reaches the other entries.
	Transport Transport

	turn int
	mu   sync.Mutex
}

// Run reports until ctx ends; it returns no error.
func (r *Reporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		r.report(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// report tells the entries whose turn it is.
func (r *Reporter) report(ctx context.Context) {
	reports := make(map[fleet.EndpointID]placement.Report)
	for _, status := range r.Owned.Status() {
		reports[status.Endpoint] = fromStatus(status)
	}
	r.MergeReports(reports)
	if len(reports) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var group errgroup.Group
	for _, entry := range r.listeners() {
		group.Go(func() error { return r.Transport.SendReports(ctx, entry.Address, reports) })
	}
	// A lost report is made up for by the next one.
	_ = group.Wait()
}

// listeners returns the entries whose turn it is.
func (r *Reporter) listeners() []fleet.Entry {
	var zone, outside []fleet.Entry
	for id, entry := range r.State.Entries.Snapshot().Rows {
		switch {
		case id == r.Entry || entry.State != fleet.StateLive:
		case entry.Zone == r.Zone:
			zone = append(zone, entry)
		default:
			outside = append(outside, entry)
		}
	}
	r.turn++
	return slices.Concat(take(zone, r.turn, zoneFanout), take(outside, r.turn, outsideFanout))
}

// take returns the next few entries, in the order of their names, at a turn.
func take(entries []fleet.Entry, turn, count int) []fleet.Entry {
	slices.SortFunc(entries, func(a, b fleet.Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	count = min(count, len(entries))
	taken := make([]fleet.Entry, 0, count)
	for i := range count {
		taken = append(taken, entries[(turn*count+i)%len(entries)])
	}
	return taken
}

// MergeReports writes reports of this or another owner to the blackboard, unless it has later ones.
func (r *Reporter) MergeReports(reports map[fleet.EndpointID]placement.Report) {
	if len(reports) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.State.Reports.Snapshot().Rows
	merged := make(map[fleet.EndpointID]placement.Report, len(old)+len(reports))
	endpoints := r.State.Endpoints.Snapshot().Rows
	for id, report := range old {
		if _, known := endpoints[id]; known {
			merged[id] = report
		}
	}
	for id, report := range reports {
		if known, found := merged[id]; !found || report.MeasuredAt.After(known.MeasuredAt) {
			merged[id] = report
		}
	}
	r.State.Reports.Replace(merged)
}

// fromStatus turns what the owner knows into what placement needs.
func fromStatus(status scheduler.Status) placement.Report {
	pace := status.Warmth.Pace
	report := placement.Report{
		MeasuredAt: status.MeasuredAt,
		Accepting:  status.Accepting,
		Slots:      placement.UnlimitedSlots,
		FreeShort:  status.FreeShort,
		FreeLong:   status.FreeLong,
		WaitShort:  status.WaitShort,
		WaitLong:   status.WaitLong,
		Prefill:    pace.Prefill,
		Decode:     pace.Decode / (1 + float64(status.Running)/max(1, pace.Batch)),
	}
	if status.Warmth.Cold {
		report.Slots = max(0, status.Warmth.Attempts-status.Running-status.Queue)
	}
	return report
}
