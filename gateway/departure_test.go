package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
)

// latestArrival returns how long after a time the last request reached an endpoint.
func latestArrival(k *cierzo.Endpoint, since time.Time) time.Duration {
	var latest time.Duration
	for _, r := range k.Requests() {
		latest = max(latest, r.At.Sub(since))
	}
	return latest
}

// TestDrainTimeHoldsWithoutRelays guards against waits that are each below the drain time of endpoints while their sum isn't. Both
// entries through which a zone reads, one of which chooses for all, fall silent when an endpoint leaves. No request of the others
// may reach the endpoint after the drain time, whatever that is in the deployment.
func TestDrainTimeHoldsWithoutRelays(t *testing.T) {
	for name, drainTime := range map[string]time.Duration{"shortest drain time": 2 * time.Second, "half of it": time.Second} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t)
			w.drainTime, w.peerProxies = drainTime, true
			w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
			leaving := w.startEndpoint(&cierzo.Endpoint{ID: "i-2", Service: "services"})
			ranked := w.startZone()
			time.Sleep(startOfChoosing)
			var group errgroup.Group
			var unserved atomic.Int64
			for _, e := range ranked[2:] {
				group.Go(func() error {
					for start := time.Now(); time.Since(start) < 2*drainTime; time.Sleep(10 * time.Millisecond) {
						if w.send(e, call{method: http.MethodGet, uri: "/r/x"}).status != http.StatusOK {
							unserved.Add(1)
						}
					}
					return nil
				})
			}
			time.Sleep(drainTime / 4)
			for _, relay := range ranked[:2] {
				relay.peerProxy.SetMode(faultproxy.StallBoth)
			}
			leaving.Register(w.store, "draining")
			leftAt := time.Now()
			_ = group.Wait()
			for _, relay := range ranked[:2] {
				relay.peerProxy.SetMode(faultproxy.PassThrough)
			}
			if late := latestArrival(leaving, leftAt); late > drainTime {
				t.Errorf("a request reached the endpoint %v after it left, want at most %v", late, drainTime)
			}
			if unserved.Load() > 0 {
				t.Errorf("%d requests were not served, want 0", unserved.Load())
			}
		})
	}
}
