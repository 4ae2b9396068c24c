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

// singleEndpoint is an OwnedEndpoints with one endpoint of the given ID.
type singleEndpoint fleet.EndpointID

func (o singleEndpoint) Status() []scheduler.Status {
	return []scheduler.Status{{Endpoint: fleet.EndpointID(o), MeasuredAt: time.Now(), Accepting: true, FreeShort: 7}}
}

// fakeTransport is a Transport that delivers reports to the reporter at an address and counts the calls per address.
type fakeTransport struct {
	mu        sync.Mutex
	reporters map[netip.AddrPort]*Reporter
	sent      map[netip.AddrPort]int
}

func (n *fakeTransport) SendReports(_ context.Context, to netip.AddrPort, reports map[fleet.EndpointID]placement.Report) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[to]++
	n.reporters[to].MergeReports(reports)
	return nil
}

// newTestReporters returns reporters that know each other, in the given number of zones with the given number of
// entries each.
func newTestReporters(zones, perZone int) (*fakeTransport, []*Reporter) {
	n := &fakeTransport{reporters: make(map[netip.AddrPort]*Reporter), sent: make(map[netip.AddrPort]int)}
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
			r := &Reporter{Entry: fleet.EntryID(name), Zone: zone, State: &clusterstate.State{}, Owned: singleEndpoint(name), Transport: n}
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
		maxPerInterval int
	}{
		"today":        {zones: 3, perZone: 3, wait: 2 * Interval, maxPerInterval: 3},
		"many entries": {zones: 3, perZone: 9, wait: 4 * Interval, maxPerInterval: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, reporters := newTestReporters(tc.zones, tc.perZone)
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
							t.Errorf("%s has no report of %s", r.Entry, other.Entry)
						}
					}
				}
				intervals := int(tc.wait/Interval) + 1
				total := 0
				for _, count := range n.sent {
					total += count
				}
				if limit := tc.maxPerInterval * intervals * len(reporters); total > limit {
					t.Errorf("sent %d messages, want at most %d", total, limit)
				}
			})
		})
	}
}

func TestTakeReportsKeepsTheLatest(t *testing.T) {
	_, reporters := newTestReporters(1, 2)
	r := reporters[0]
	now := time.Now()
	later := map[fleet.EndpointID]placement.Report{"a1": {MeasuredAt: now, FreeShort: 2}}
	earlier := map[fleet.EndpointID]placement.Report{"a1": {MeasuredAt: now.Add(-time.Second), FreeShort: 1}}
	r.MergeReports(later)
	r.MergeReports(earlier)
	if got, _ := r.State.Reports.Get("a1"); got.FreeShort != 2 {
		t.Errorf("got FreeShort %d, want 2 from the later report", got.FreeShort)
	}
	r.State.Endpoints.Delete("a1")
	r.MergeReports(map[fleet.EndpointID]placement.Report{"a0": {MeasuredAt: now}})
	if _, found := r.State.Reports.Get("a1"); found {
		t.Error("report of a removed endpoint is still stored")
	}
}

func TestFromStatusLimitsAColdEndpoint(t *testing.T) {
	tests := map[string]struct {
		status scheduler.Status
		want   int
	}{
		"warm":      {status: scheduler.Status{Running: 5}, want: placement.UnlimitedFreeSlots},
		"cold free": {status: scheduler.Status{Running: 1, Warmth: warmup.State{Cold: true, Attempts: 2}}, want: 1},
		"cold full": {status: scheduler.Status{Running: 2, Queue: 3, Warmth: warmup.State{Cold: true, Attempts: 2}}, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := toReport(tc.status).FreeSlots; got != tc.want {
				t.Errorf("got %d slots, want %d", got, tc.want)
			}
		})
	}
}

func TestViewerFollowsTheBlackboard(t *testing.T) {
	synctest.Test(t, testViewer)
}

// testViewer checks that a view is rebuilt at once after a change of zones, but after a report only once maxViewAge has
// passed.
func testViewer(t *testing.T) {
	state := &clusterstate.State{}
	v := &ViewCache{State: state, Zone: "a"}
	state.Endpoints.Set("e", fleet.Endpoint{ID: "e", Pool: "p", Zone: "a", State: fleet.StateLive})
	first := v.View()
	if again := v.View(); again.Index != first.Index {
		t.Error("index was rebuilt although nothing has changed")
	}
	state.Zones.Set("a", config.ZoneState{Zone: "a", Drained: true})
	drained := v.View()
	if drained.Index == first.Index || !drained.Zones["a"].Drained {
		t.Error("view does not contain the drained zone")
	}
	state.Reports.Set("e", placement.Report{FreeShort: 1})
	if early := v.View(); early.Index != drained.Index {
		t.Error("index was rebuilt at once after a report")
	}
	time.Sleep(maxViewAge)
	if late := v.View(); late.Reports["e"].FreeShort != 1 {
		t.Error("view does not contain the report after maxViewAge")
	}
}
