package gateway

import (
	"net/http"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/quarantine"
	"wisteriadyke/standin/cierzo"
)

// TestStreamThatCrashesLateIsRefused guards against a stream that crashes its endpoints a second after they began to answer it
// and is never refused, since such crashes were not counted.
func TestStreamThatCrashesLateIsRefused(t *testing.T) {
	for name, zones := range map[string][]fleet.Zone{"several entries": {"a", "b", "a"}, "alone": {"a"}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t)
			w.startEndpoint(&cierzo.Endpoint{ID: "service", Service: "services"})
			pool := &crashingPool{w: w, running: make(map[string]*cierzo.Endpoint), answer: 2 * quarantine.SettleTime}
			t.Cleanup(pool.stop)
			for _, zone := range []string{"a", "b", "a", "b", "a", "b"} {
				pool.start(zone)
			}
			for _, zone := range zones {
				e := w.launchEntry(w.store.Address(), zone)
				w.waitFor("the entry is ready", func() bool { return e.readyStatus() == http.StatusOK })
			}
			w.waitFor("the entries know each other", func() bool {
				return w.entries[0].process.entryCount() == len(zones) && len(w.entries[0].process.state.Endpoints.Snapshot().Rows) == 7
			})
			time.Sleep(startOfChoosing)
			poison := streamCall
			poison.body = "poison"
			w.sendPoison(w.entries, poison, 2500*time.Millisecond, 20*time.Second)
			late, crashes := pool.lateArrivals()
			t.Logf("%d crashes, %d requests late", crashes, late)
			if crashes < crashesBefore || late > crashRetries {
				t.Errorf("%d requests reached endpoints later than %v after crash %d of %d, want %d at most", late, crashSettleTime,
					crashesBefore, crashes, crashRetries)
			}
		})
	}
}
