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

// fakeNet knows which endpoints can be reached and counts the probes.
type fakeNet struct {
	mu     sync.Mutex
	cut    map[fleet.Zone]bool
	probes map[fleet.EndpointID]int
}

// Connect fails in zones that are cut off, after a probe's time.
func (n *fakeNet) Connect(ctx context.Context, endpoint fleet.Endpoint) error {
	n.mu.Lock()
	n.probes[endpoint.ID]++
	cut := n.cut[endpoint.Zone]
	n.mu.Unlock()
	if !cut {
		return nil
	}
	<-ctx.Done()
	return errors.New("no answer")
}

// set cuts a zone off or ends that.
func (n *fakeNet) set(zone fleet.Zone, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[zone] = cut
}

// TestZoneCut replays the cut of a zone: one request finds out, and no other is sent there until it is back.
func TestZoneCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := []fleet.Endpoint{{ID: "a1", Zone: "a"}, {ID: "b1", Zone: "b"}, {ID: "b2", Zone: "b"}}
		board := &clusterstate.State{}
		for _, e := range endpoints {
			board.Endpoints.Set(e.ID, e)
		}
		network := &fakeNet{cut: map[fleet.Zone]bool{"b": true}, probes: make(map[fleet.EndpointID]int)}
		detector := &Detector{}
		prober := &Prober{State: board, Detector: detector, Connect: network.Connect}
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return prober.Run(ctx) })
		detector.RecordUnreachable(endpoints[1], time.Now())
		time.Sleep(500 * time.Millisecond)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			for _, e := range endpoints[1:] {
				if detector.Usable(e, time.Now()) {
					t.Fatalf("%s is usable while its zone is cut off", e.ID)
				}
			}
			if !detector.Usable(endpoints[0], time.Now()) {
				t.Fatal("an endpoint of another zone is unusable")
			}
		}
		network.set("b", false)
		time.Sleep(lastPause + probeLead)
		for _, e := range endpoints {
			if !detector.Usable(e, time.Now()) {
				t.Errorf("%s is unusable after the cut", e.ID)
			}
		}
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if network.probes["a1"] != 0 {
			t.Errorf("%d probes of an endpoint in another zone", network.probes["a1"])
		}
	})
}
