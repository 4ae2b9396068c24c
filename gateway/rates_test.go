package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/sharedload"
	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
)

const (
	// coldRate is the number of requests per second that an endpoint takes from a cold start, and coldBound the number
	// that it may get from all entries within a second: the rate times the factor of the settings, and the platform's
	// slack of five requests.
	coldRate  = 26.0
	coldBound = 1.5*coldRate + 5
)

// TestShareOfRoles guards against roles that together exceed an endpoint's rate. The leader and the choosers of the zones
// count twice, since entries turn to their successors at different times.
func TestShareOfRoles(t *testing.T) {
	if sum := 2*leaderRateShare + 2*zoneRateShare + aloneRateShare; sum > 1 {
		t.Errorf("the roles may use %.2f of an endpoint's rate, want 1 at most", sum)
	}
}

// TestSplitEntriesKeepColdRate guards against entries that are cut off from each other and all lead: together they must
// send a cold endpoint no more than it may get. Callers are served at all times, and the leader again uses the whole share
// of leaders after the cut.
func TestSplitEntriesKeepColdRate(t *testing.T) {
	w := newCluster(t)
	w.peerProxies = true
	cierzo.ColdConfiguration(w.store, 2, coldRate, map[string][]string{"acme": {testKey}}, cierzo.Routes()...)
	for i := range 2 {
		w.startEndpoint(&cierzo.Endpoint{ID: fmt.Sprintf("i-%d", i), Events: 1, ColdTime: time.Minute})
	}
	for range 4 {
		w.startEntry()
	}
	leaders := func() (leaders []*runningEntry) {
		for _, e := range w.entries {
			if e.process.entryCount() == len(w.entries) && e.process.choosers.Leads() {
				leaders = append(leaders, e)
			}
		}
		return leaders
	}
	wholeShare := func() bool {
		return len(leaders()) == 1 && leaders()[0].process.choosers.Share(sharedload.RoleLeader, time.Now()) == 1
	}
	w.waitFor("one entry leads the others", wholeShare)
	var group errgroup.Group
	var stopped atomic.Bool
	served := make([]atomic.Int64, len(w.entries))
	for i, e := range w.entries {
		for range 6 {
			group.Go(func() error {
				for !stopped.Load() {
					if got := w.send(e, streamCall); got.status == http.StatusOK {
						served[i].Add(1)
					}
					time.Sleep(15 * time.Millisecond)
				}
				return nil
			})
		}
	}
	time.Sleep(1500 * time.Millisecond)
	for _, e := range w.entries {
		e.peerProxy.SetMode(faultproxy.StallBoth)
	}
	w.waitFor("all entries lead", func() bool { return len(leaders()) == len(w.entries) })
	for i := range served {
		served[i].Store(0)
	}
	time.Sleep(2500 * time.Millisecond)
	for i := range served {
		if served[i].Load() == 0 {
			t.Errorf("%s served no caller while it was cut off", w.entries[i].settings.Entry)
		}
	}
	for _, e := range w.entries {
		e.peerProxy.SetMode(faultproxy.PassThrough)
	}
	w.waitFor("one entry leads the others again", wholeShare)
	time.Sleep(time.Second)
	stopped.Store(true)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	for _, k := range w.endpoints {
		if most := mostInSecond(k.Requests()); most > coldBound {
			t.Errorf("cold endpoint %s got %d requests in a second, want %.0f at most", k.ID, most, coldBound)
		}
	}
}

// mostInSecond returns the largest number of requests that arrived within a second.
func mostInSecond(requests []cierzo.ReceivedRequest) int {
	slices.SortFunc(requests, func(a, b cierzo.ReceivedRequest) int { return a.At.Compare(b.At) })
	most, from := 0, 0
	for to := range requests {
		for requests[to].At.Sub(requests[from].At) >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
