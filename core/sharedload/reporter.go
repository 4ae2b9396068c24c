package sharedload

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/outlier"
)

const (
	// reportPeriod is the interval at which this entry checks its usage for changes, about the duration of one engine
	// pass.
	reportPeriod = 50 * time.Millisecond
	// reportTimeout bounds one usage report.
	reportTimeout = 250 * time.Millisecond
)

// UsageReporter sends the usage of this entry to the choosers, and to a few entries that rank before them but are not
// known to choose. The number of reports that it sends does not grow with the number of entries. Its fields are set
// before Run.
type UsageReporter struct {
	// Choosers finds the choosers.
	Choosers *ChooserSet

	// last is the report at the latest check; version counts the checks that found its usage, its leaving endpoints
	// or its paths to the endpoints changed.
	last    UsageReport
	version uint64
}

// Run sends usage reports until ctx ends; it returns no error.
func (t *UsageReporter) Run(ctx context.Context) error {
	var group errgroup.Group
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	var lostPaths <-chan struct{}
	if t.Choosers.LostPaths != nil {
		lostPaths = t.Choosers.LostPaths.Changed()
	}
	for {
		t.send(ctx, &group, time.Now())
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		case <-lostPaths:
		}
	}
}

// send sends the current usage to the entries that are due for a report; changed usage gets a new version.
func (t *UsageReporter) send(ctx context.Context, group *errgroup.Group, now time.Time) {
	t.Choosers.recordOwnRole(now)
	report := t.Choosers.usageReport()
	if !maps.Equal(report.Usages, t.last.Usages) || !maps.Equal(report.Leaving, t.last.Leaving) ||
		!slices.Equal(report.CutOff, t.last.CutOff) || !slices.Equal(report.Unreached, t.last.Unreached) ||
		!outlier.SamePaths(report.LostPaths, t.last.LostPaths) {
		t.version++
	}
	t.last = report
	for _, entry := range t.Choosers.reportTargets(t.version, now) {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			reply, err := t.Choosers.Transport.ReportUsage(ctx, entry.Address, t.Choosers.reportTo(entry.ID, report))
			t.Choosers.recordReply(entry, reply, err)
			return nil
		})
	}
}
