package outlier

import (
	"context"
	"errors"
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

// Connect blocks until the probe times out and fails if the endpoint's zone is partitioned.
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
