// Package report sends the state of owned endpoints to other entries, and provides the view that placement uses.
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
	// zoneFanout is the number of entries of the sender's zone that receive each report.
	zoneFanout = 3
	// otherZoneFanout is the number of entries of other zones that receive each report.
	otherZoneFanout = 1
	// sendTimeout bounds the sending of one report to all its targets.
	sendTimeout = 300 * time.Millisecond
)

// OwnedEndpoints provides the state of the endpoints that this entry owns. It is implemented by *scheduler.Pool.
type OwnedEndpoints interface {
	// Status returns the state of every owned endpoint.
	Status() []scheduler.Status
}

// Transport sends reports to other entries.
type Transport interface {
	// SendReports sends reports to the entry at an address.
	SendReports(ctx context.Context, to netip.AddrPort, reports map[fleet.EndpointID]placement.Report) error
}

// Reporter sends the state of the endpoints that this entry owns to other entries. It reads the tables Entries and
// Endpoints of the cluster state, and writes Reports. Every Interval it sends to a fixed number of entries in rotation,
// so that the sending cost of each entry does not grow with the number of entries.
type Reporter struct {
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Zone is the availability zone of this entry.
	Zone fleet.Zone
	// State is the cluster state.
	State *clusterstate.State
	// Owned provides the state of the owned endpoints.
	Owned OwnedEndpoints
	// Transport sends the reports.
	Transport Transport

	// round numbers the reports; only Run uses it.
	round int
	// mu serializes MergeReports.
	mu sync.Mutex
}

// Run sends reports until ctx ends. It always returns nil.
func (r *Reporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		r.sendReports(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// sendReports stores the reports of the owned endpoints in the cluster state and sends them to the next targets. It
// sends nothing if no endpoint is owned.
func (r *Reporter) sendReports(ctx context.Context) {
	reports := make(map[fleet.EndpointID]placement.Report)
	for _, status := range r.Owned.Status() {
		reports[status.Endpoint] = toReport(status)
	}
	r.MergeReports(reports)
	if len(reports) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	var group errgroup.Group
	for _, entry := range r.nextTargets() {
		group.Go(func() error { return r.Transport.SendReports(ctx, entry.Address, reports) })
	}
	// Errors are ignored: the next report replaces a lost one.
	_ = group.Wait()
}

// nextTargets returns the live entries to send the next report to.
func (r *Reporter) nextTargets() []fleet.Entry {
	var zone, otherZones []fleet.Entry
	for id, entry := range r.State.Entries.Snapshot().Rows {
		switch {
		case id == r.Entry || entry.State != fleet.StateLive:
		case entry.Zone == r.Zone:
			zone = append(zone, entry)
		default:
			otherZones = append(otherZones, entry)
		}
	}
	r.round++
	return slices.Concat(rotate(zone, r.round, zoneFanout), rotate(otherZones, r.round, otherZoneFanout))
}

// rotate sorts entries by ID and returns count consecutive ones, or all if there are fewer, starting where the previous
// round ended.
func rotate(entries []fleet.Entry, round, count int) []fleet.Entry {
	slices.SortFunc(entries, func(a, b fleet.Entry) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	count = min(count, len(entries))
	selected := make([]fleet.Entry, 0, count)
	for i := range count {
		selected = append(selected, entries[(round*count+i)%len(entries)])
	}
	return selected
}

// MergeReports stores reports of any owner in the cluster state, each unless the stored one is at least as recent. It
// also drops stored reports of endpoints that are no longer known. Without reports it does nothing.
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

// toReport converts the state of an owned endpoint to a placement report.
func toReport(status scheduler.Status) placement.Report {
	pace := status.Warmth.Pace
	report := placement.Report{
		MeasuredAt: status.MeasuredAt,
		Accepting:  status.Accepting,
		FreeSlots:  placement.UnlimitedFreeSlots,
		FreeShort:  status.FreeShort,
		FreeLong:   status.FreeLong,
		WaitShort:  status.WaitShort,
		WaitLong:   status.WaitLong,
		Prefill:    pace.Prefill,
		Decode:     pace.Decode / (1 + float64(status.Running)/max(1, pace.Batch)),
	}
	if status.Warmth.Cold {
		report.FreeSlots = max(0, status.Warmth.Attempts-status.Running-status.Queue)
	}
	return report
}
