package outlier

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// TestNothingLostTakesNoLock guards against choices that take a lock for each endpoint of a pool while no path is lost.
func TestNothingLostTakesNoLock(t *testing.T) {
	p, now := newPathTable("e1"), time.Unix(1000, 0)
	endpoint := p.endpoint("b1")
	p.RecordReached(endpoint, now)
	done := make(chan bool, 1)
	p.mu.Lock()
	var group errgroup.Group
	group.Go(func() error {
		v := p.View("a", now)
		done <- v.Lost(endpoint) || v.Suspect(endpoint)
		return nil
	})
	select {
	case avoided := <-done:
		if avoided {
			t.Error("an endpoint is avoided although nothing is lost")
		}
	case <-time.After(time.Second):
		t.Error("the lookup waits for the lock")
	}
	p.mu.Unlock()
	p.Merge([]PathReport{{Endpoint: "b1", Incarnation: 2, Zone: "a", Witness: "e2", At: now, Corroborated: true}}, now)
	if !p.View("a", now).Lost(endpoint) {
		t.Error("a lost path is not reported")
	}
	p.dropExpired(now.Add(lostPathTTL))
	if p.avoids.Load() {
		t.Error("lookups take the lock after all reports have expired")
	}
}
