package report

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/warmup"
)

// ownedBy tells one endpoint of its name as owned.
type ownedBy fleet.EndpointID

func (o ownedBy) Status() []scheduler.Status {
	return []scheduler.Status{{Endpoint: fleet.EndpointID(o), MeasuredAt: time.Now(), Accepting: true, FreeShort: 7}}
}

// network carries reports between reporters by address and counts them.
type network struct {
	mu        sync.Mutex
	reporters map[netip.AddrPort]*Reporter
	sent      map[netip.AddrPort]int
}

func (n *network) SendReports(_ context.Context, to netip.AddrPort, reports map[fleet.EndpointID]placement.Report) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[to]++
	n.reporters[to].MergeReports(reports)
	return nil
}

// grid returns reporters of the given number of zones and entries in each, which know each other.
func grid(zones, perZone int) (*network, []*Reporter) {
	n := &network{reporters: make(map[netip.AddrPort]*Reporter), sent: make(map[netip.AddrPort]int)}
	entries := make(map[fleet.EntryID]fleet.Entry)
	endpoints := make(map[fleet.EndpointID]fleet.Endpoint)
	var reporters []*Reporter
	for z := range zones {
		for e := range perZone {
			name := string(rune('a'+z)) + string(rune('0'+e))
			address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(z*100+e+1))
			zone := fleet.Zone(name[:1])
			entries[fleet.EntryID(name)] = fleet.Entry{ID: fleet.EntryID(name), Zone: zone, Address: address, State: fleet.StateLive}
			endpoints[fleet.EndpointID(name)] = fleet.Endpoint{ID: fleet.EndpointID(name), Zone: zone, Pool: "p", State: fleet.StateLive}
			r := &Reporter{Entry: fleet.EntryID(name), Zone: zone, State: &clusterstate.State{}, Owned: ownedBy(name), Transport: n}
			n.reporters[address] = r
			reporters = append(reporters, r)
		}
	}
	for _, r := range reporters {
		r.State.Entries.Replace(entries)
		r.State.Endpoints.Replace(endpoints)
	}
	return n, reporters
}

func TestReportsReachTheZoneAtBoundedCost(t *testing.T) {
	tests := map[string]struct {
		zones, perZone int
		wait           time.Duration
		most           int
	}{
		"today":        {zones: 3, perZone: 3, wait: 2 * Interval, most: 3},
		"many entries": {zones: 3, perZone: 9, wait: 4 * Interval, most: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, reporters := grid(tc.zones, tc.perZone)
				ctx, cancel := context.WithTimeout(t.Context(), tc.wait)
				defer cancel()
				var group errgroup.Group
				for _, r := range reporters {
					group.Go(func() error { return r.Run(ctx) })
				}
				if err := group.Wait(); err != nil {
					t.Fatal(err)
				}
				for _, r := range reporters {
					for _, other := range reporters {
						if _, found := r.State.Reports.Get(fleet.EndpointID(other.Entry)); other.Zone == r.Zone && !found {
							t.Errorf("%s knows nothing of %s", r.Entry, other.Entry)
						}
					}
				}
				periods := int(tc.wait/Interval) + 1
				total := 0
				for _, count := range n.sent {
					total += count
				}
				if most := tc.most * periods * len(reporters); total > most {
					t.Errorf("%d messages, want at most %d", total, most)
				}
			})
		})
	}
}

func TestTakeReportsKeepsTheLatest(t *testing.T) {
	_, reporters := grid(1, 2)
	r := reporters[0]
	now := time.Now()
	later := map[fleet.EndpointID]placement.Report{"a1": {MeasuredAt: now, FreeShort: 2}}
	earlier := map[fleet.EndpointID]placement.Report{"a1": {MeasuredAt: now.Add(-time.Second), FreeShort: 1}}
	r.MergeReports(later)
	r.MergeReports(earlier)
	if got, _ := r.State.Reports.Get("a1"); got.FreeShort != 2 {
		t.Errorf("free %d, want that of the later report", got.FreeShort)
	}
	r.State.Endpoints.Delete("a1")
	r.MergeReports(map[fleet.EndpointID]placement.Report{"a0": {MeasuredAt: now}})
	if _, found := r.State.Reports.Get("a1"); found {
		t.Error("the report of an endpoint that is gone stays")
	}
}

func TestFromStatusLimitsAColdEndpoint(t *testing.T) {
	tests := map[string]struct {
		status scheduler.Status
		want   int
	}{
		"warm":      {status: scheduler.Status{Running: 5}, want: placement.UnlimitedSlots},
		"cold free": {status: scheduler.Status{Running: 1, Warmth: warmup.State{Cold: true, Attempts: 2}}, want: 1},
		"cold full": {status: scheduler.Status{Running: 2, Queue: 3, Warmth: warmup.State{Cold: true, Attempts: 2}}, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := fromStatus(tc.status).Slots; got != tc.want {
				t.Errorf("%d slots, want %d", got, tc.want)
			}
		})
	}
}

func TestViewerFollowsTheBlackboard(t *testing.T) {
	synctest.Test(t, testViewer)
}

// testViewer changes one table after the other, in virtual time.
func testViewer(t *testing.T) {
	board := &clusterstate.State{}
	v := &ViewCache{State: board, Zone: "a"}
	board.Endpoints.Set("e", fleet.Endpoint{ID: "e", Pool: "p", Zone: "a", State: fleet.StateLive})
	first := v.View()
	if again := v.View(); again.Index != first.Index {
		t.Error("the index is built anew though nothing has changed")
	}
	board.Zones.Set("a", config.ZoneState{Zone: "a", Drained: true})
	drained := v.View()
	if drained.Index == first.Index || !drained.Zones["a"].Drained {
		t.Error("the view does not show a drained zone")
	}
	board.Reports.Set("e", placement.Report{FreeShort: 1})
	if early := v.View(); early.Index != drained.Index {
		t.Error("the index is built anew with every report")
	}
	time.Sleep(freshFor)
	if late := v.View(); late.Reports["e"].FreeShort != 1 {
		t.Error("the view does not show a report after a while")
	}
}
