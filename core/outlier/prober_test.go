package outlier

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// fakeNetwork opens connections except to partitioned zones, and counts the probes.
type fakeNetwork struct {
	mu          sync.Mutex
	partitioned map[fleet.Zone]bool
	probes      map[fleet.EndpointID]int
}

// Connect succeeds at once, or, if the endpoint's zone is partitioned, blocks until the probe times out and fails.
func (n *fakeNetwork) Connect(ctx context.Context, endpoint fleet.Endpoint) error {
	n.mu.Lock()
	n.probes[endpoint.ID]++
	partitioned := n.partitioned[endpoint.Zone]
	n.mu.Unlock()
	if !partitioned {
		return nil
	}
	<-ctx.Done()
	return errors.New("no answer")
}

// setPartitioned sets whether a zone is partitioned.
func (n *fakeNetwork) setPartitioned(zone fleet.Zone, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[zone] = partitioned
}

// TestZoneCut guards against requests to a zone behind a network partition: after one request has failed, all endpoints
// of the zone are unusable until the partition ends.
func TestZoneCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := []fleet.Endpoint{{ID: "a1", Zone: "a"}, {ID: "b1", Zone: "b"}, {ID: "b2", Zone: "b"}}
		state := &clusterstate.State{}
		for _, e := range endpoints {
			state.Endpoints.Set(e.ID, e)
		}
		network := &fakeNetwork{partitioned: map[fleet.Zone]bool{"b": true}, probes: make(map[fleet.EndpointID]int)}
		detector := &Detector{}
		prober := &Prober{State: state, Detector: detector, Connect: network.Connect}
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return prober.Run(ctx) })
		detector.RecordUnreachable(endpoints[1], time.Now())
		time.Sleep(500 * time.Millisecond)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for _, e := range endpoints[1:] {
				if detector.Usable(e, time.Now()) {
					t.Fatalf("%s is usable while its zone is partitioned", e.ID)
				}
			}
			if !detector.Usable(endpoints[0], time.Now()) {
				t.Fatal("an endpoint of another zone is unusable")
			}
		}
		network.setPartitioned("b", false)
		time.Sleep(maxBackoff + probeLead)
		for _, e := range endpoints {
			if !detector.Usable(e, time.Now()) {
				t.Errorf("%s is unusable after the partition", e.ID)
			}
		}
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if network.probes["a1"] != 0 {
			t.Errorf("%d probes of an endpoint in another zone, want 0", network.probes["a1"])
		}
	})
}

// TestContendedPoolProbes guards against probes whose number grows with entries times endpoints: one unreachable endpoint
// of a contended pool must not make an entry probe the whole zone, and the entries that don't probe a lost or suspect
// endpoint for the others must not probe it at the end of their own back-off. An entry that reaches nothing probes the zone.
func TestContendedPoolProbes(t *testing.T) {
	tests := map[string]struct {
		// reported reports whether another entry lost the endpoints too.
		contended, reported bool
		lost                []fleet.EndpointID
		// after is the time between the losses and the round of probes.
		after time.Duration
		// least and most bound the probes of zone b by the three entries of zone a.
		least, most int
	}{
		"another pool":                       {lost: []fleet.EndpointID{"b1"}, least: 30, most: 30},
		"one unreachable endpoint":           {contended: true, lost: []fleet.EndpointID{"b1"}, most: lostPathProbers},
		"end of the back-off, suspect zone":  {contended: true, reported: true, lost: []fleet.EndpointID{"b1", "b2", "b3"}, after: initialBackoff - probeLead, least: 10, most: 10 + 3},
		"entry that reaches nothing else":    {contended: true, lost: []fleet.EndpointID{"b1", "b2"}, after: 2 * corroborationTime / 3, least: 30, most: 30},
		"end of the back-off, lost endpoint": {contended: true, reported: true, lost: []fleet.EndpointID{"b1"}, after: initialBackoff - probeLead, least: lostPathProbers, most: lostPathProbers},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			probes := 0
			for _, self := range []fleet.EntryID{"e1", "e2", "e3"} {
				p := newPathTable(self)
				p.Contended = func(fleet.PoolName) bool { return tc.contended }
				network := &fakeNetwork{probes: make(map[fleet.EndpointID]int)}
				prober := &Prober{State: p.State, Detector: &Detector{}, Connect: network.Connect, Paths: p}
				if name != "entry that reaches nothing else" {
					p.RecordReached(p.endpoint("a1"), start)
				}
				if tc.reported {
					for _, id := range tc.lost {
						p.Merge([]PathReport{{Endpoint: id, Incarnation: 2, Zone: "a", Witness: "e9", At: start, Corroborated: true}}, start)
					}
				}
				for _, id := range tc.lost {
					prober.Detector.RecordUnreachable(p.endpoint(id), start)
					p.RecordLost(p.endpoint(id), start)
				}
				var group errgroup.Group
				prober.startProbes(t.Context(), &group, start.Add(tc.after))
				_ = group.Wait()
				for i := range 10 {
					probes += network.probes[fleet.EndpointID(fmt.Sprintf("b%d", i))]
				}
			}
			if probes < tc.least || probes > tc.most {
				t.Errorf("%d probes of the zone by three entries, want %d to %d", probes, tc.least, tc.most)
			}
		})
	}
}

// TestCutOffEntryWithConnectTimeouts guards against an entry that is cut off and never finds out, since its quick requests
// end at the short connect timeout: the probes that follow must lead to probes of the whole zone.
func TestCutOffEntryWithConnectTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPathTable("e1")
		network := &fakeNetwork{partitioned: map[fleet.Zone]bool{"a": true, "b": true}, probes: make(map[fleet.EndpointID]int)}
		prober := &Prober{State: p.State, Detector: &Detector{}, Connect: network.Connect, Paths: p}
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return prober.Run(ctx) })
		for _, id := range []fleet.EndpointID{"b1", "b2"} {
			prober.Detector.RequestProbe(id)
			p.RecordConnectTimeout(p.endpoint(id), time.Now())
		}
		time.Sleep(time.Second)
		network.mu.Lock()
		probes := network.probes["b9"]
		network.mu.Unlock()
		if probes == 0 {
			t.Error("the other endpoints of the zone were not probed")
		}
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}
