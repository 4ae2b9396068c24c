package sharedload

import (
	"context"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
)

const (
	// tellPeriod is the time between two looks at what this entry runs; a pass of an engine takes about as long.
	tellPeriod = 50 * time.Millisecond
	// tellTimeout bounds one message.
	tellTimeout = 250 * time.Millisecond
)

// UsageReporter tells the entries that choose what this one runs, and tries those that would choose if they answered. Its cost
// does not grow with the number of entries. Its fields are set before Run.
type UsageReporter struct {
	// Choosers are the entries that choose.
	Choosers *ChooserSet

	last    map[fleet.EndpointID]Usage
	version uint64
}

// Run tells until ctx ends; it returns no error.
func (t *UsageReporter) Run(ctx context.Context) error {
	var group errgroup.Group
	ticker := time.NewTicker(tellPeriod)
	defer ticker.Stop()
	for {
		t.tell(ctx, &group, time.Now())
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

// tell sends the present figures to the entries that need them.
func (t *UsageReporter) tell(ctx context.Context, group *errgroup.Group, now time.Time) {
	told := t.Choosers.told()
	if !maps.Equal(told.Usages, t.last) {
		t.last = told.Usages
		t.version++
	}
	for _, entry := range t.Choosers.listeners(t.version, now) {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			reply, err := t.Choosers.Transport.ReportUsage(ctx, entry.Address, told)
			t.Choosers.answered(entry, reply, err)
			return nil
		})
	}
}
