package gateway

import (
	"cmp"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/standin/cierzo"
)

const (
	// crashesBefore is the number of crashes from which on a request counts as one that crashes endpoints, crashSettleTime how
	// long after the last of them entries may go on, and crashRetries the number of requests that may reach endpoints
	// afterwards; the platform sets them.
	crashesBefore   = 3
	crashSettleTime = 3 * time.Second
	crashRetries    = 3
	// restartTime is how long a crashed endpoint is away, and rowLapse how long the registry lists it after the crash.
	restartTime = 3 * time.Second
	rowLapse    = 3600 * time.Millisecond
)

// crashingPool is a pool of plain services that crash when they receive the body "poison". Each is replaced by another one
// under a new ID.
type crashingPool struct {
	w *cluster
	// answer is how long the endpoints answer a request with the body "poison" before they crash; if it isn't 0, they are
	// model engines.
	answer time.Duration

	mu       sync.Mutex
	stopped  bool
	number   int
	running  map[string]*cierzo.Endpoint
	crashes  []time.Time
	arrivals []time.Time
}

// start starts one endpoint of the pool in a zone.
func (p *crashingPool) start(zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	p.number++
	k := &cierzo.Endpoint{
		ID: fmt.Sprintf("s-%d", p.number), Service: "services", Zone: zone, Slots: 4, Work: 10 * time.Millisecond,
	}
	if p.answer > 0 {
		k.Service, k.Events, k.Pause = "engines", 60, 50*time.Millisecond
	}
	k.Intercept = func(_ http.ResponseWriter, _ *http.Request, seen cierzo.ReceivedRequest) bool {
		if seen.Body != "poison" {
			return false
		}
		p.mu.Lock()
		p.arrivals = append(p.arrivals, time.Now())
		p.mu.Unlock()
		if p.answer > 0 {
			time.AfterFunc(p.answer, func() { p.crash(k) })
			return false
		}
		p.crash(k)
		panic(http.ErrAbortHandler)
	}
	k.Start()
	k.Register(p.w.store, "ready")
	p.running[k.ID] = k
}

// crash ends an endpoint and schedules its successor.
func (p *crashingPool) crash(k *cierzo.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[k.ID] == nil {
		return
	}
	delete(p.running, k.ID)
	p.crashes = append(p.crashes, time.Now())
	k.Crash()
	time.AfterFunc(rowLapse, func() { p.w.store.Remove("servers", k.ID) })
	time.AfterFunc(restartTime, func() { p.start(k.Zone) })
}

// stop ends the endpoints of the pool; none is started afterwards.
func (p *crashingPool) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for _, k := range p.running {
		k.Close()
	}
}

// lateArrivals returns the number of requests with the body "poison" that reached endpoints later than crashSettleTime after
// the last of crashesBefore crashes, and the number of all crashes.
func (p *crashingPool) lateArrivals() (late, crashes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < crashesBefore {
		return 0, len(p.crashes)
	}
	from := p.crashes[crashesBefore-1].Add(crashSettleTime)
	for _, at := range p.arrivals {
		if at.After(from) {
			late++
		}
	}
	return late, len(p.crashes)
}

// TestCrashesInSmallPools guards against a request that crashes its endpoints and is never refused, since with half of a
// pool down, or with no other entry to ask, no crash was counted. Sound calls must be served again once it is refused.
func TestCrashesInSmallPools(t *testing.T) {
	tests := map[string]struct {
		// zones are those of the endpoints, entries those of the entries.
		zones   []string
		entries []fleet.Zone
		// stopped is the number of entries that end before the request comes.
		stopped  int
		interval time.Duration
		// engines reports whether another pool has an endpoint in each zone.
		engines bool
	}{
		"two endpoints":         {zones: []string{"a", "b"}, entries: []fleet.Zone{"a", "b", "c"}, engines: true},
		"only pool":             {zones: []string{"a", "b"}, entries: []fleet.Zone{"a", "b", "c"}},
		"a zone without entry":  {zones: []string{"c", "c"}, entries: []fleet.Zone{"a", "b"}, engines: true},
		"whole zone":            {zones: []string{"c", "c", "c"}, entries: []fleet.Zone{"a", "b", "c"}},
		"alone, quick retries":  {zones: []string{"a", "a", "b", "b"}, entries: []fleet.Zone{"a"}, engines: true, interval: 150 * time.Millisecond},
		"other entries stopped": {zones: []string{"a", "b"}, entries: []fleet.Zone{"a", "b", "c"}, stopped: 2, engines: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t)
			if tc.engines {
				for _, zone := range []string{"a", "b", "c"} {
					w.startEndpoint(&cierzo.Endpoint{ID: "engine-" + zone, Zone: zone, Events: 3, Pause: 10 * time.Millisecond})
				}
			}
			pool := &crashingPool{w: w, running: make(map[string]*cierzo.Endpoint)}
			t.Cleanup(pool.stop)
			for _, zone := range tc.zones {
				pool.start(zone)
			}
			for _, zone := range tc.entries {
				e := w.launchEntry(w.store.Address(), zone)
				w.waitFor("the entry is ready", func() bool { return e.readyStatus() == http.StatusOK })
			}
			w.waitFor("the entries know each other", func() bool {
				return w.entries[0].process.entryCount() == len(tc.entries) &&
					len(w.entries[0].process.state.Endpoints.Snapshot().Rows) == len(tc.zones)+len(w.endpoints)
			})
			time.Sleep(startOfChoosing)
			entries := w.entries
			for _, e := range entries[len(entries)-tc.stopped:] {
				e.stop()
			}
			entries = entries[:len(entries)-tc.stopped]
			w.waitFor("the stopped entries have ended", func() bool {
				for _, e := range w.entries[len(entries):] {
					if len(e.ended) == 0 {
						return false
					}
				}
				return true
			})
			w.sendPoison(entries, poisonCall, cmp.Or(tc.interval, 600*time.Millisecond), 12*time.Second)
			late, crashes := pool.lateArrivals()
			if crashes < crashesBefore {
				t.Fatalf("%d crashes, want %d at least", crashes, crashesBefore)
			}
			t.Logf("%d crashes, %d requests late", crashes, late)
			if late > crashRetries {
				t.Errorf("%d requests reached endpoints later than %v after crash %d, want %d at most", late, crashSettleTime,
					crashesBefore, crashRetries)
			}
			for _, e := range entries {
				if sent, failed := w.callAll(e, cutCheckTime); tc.engines && len(failed) > 0 {
					t.Errorf("%s: sound calls afterwards: not served: %d of %d, %v", e.settings.Entry, len(failed), sent, failed[0])
				}
			}
		})
	}
}

// soundInterval is the time between two sound calls.
const soundInterval = 70 * time.Millisecond

// poisonCall crashes the endpoints of a crashingPool.
var poisonCall = call{method: http.MethodPost, uri: "/u/x", body: "poison"}

// sendPoison sends the request that crashes endpoints, and sound calls beside it, to entries in turn for a time.
func (w *cluster) sendPoison(entries []*runningEntry, poison call, interval, total time.Duration) {
	var group errgroup.Group
	defer func() { _ = group.Wait() }()
	send := func(pause time.Duration, calls ...call) {
		group.Go(func() error {
			for i, end := 0, time.Now().Add(total); time.Now().Before(end); i++ {
				group.Go(func() error {
					w.send(entries[i%len(entries)], calls[i/len(entries)%len(calls)])
					return nil
				})
				time.Sleep(pause)
			}
			return nil
		})
	}
	send(interval, poison)
	send(soundInterval, cutCalls["safe"], cutCalls["once"])
}
