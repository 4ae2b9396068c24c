package gateway

import (
	"cmp"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"wisteriadyke/core/fleet"
	"wisteriadyke/standin/cierzo"
)

// zoneEntries is the number of entries of the zone in the tests below.
const zoneEntries = 6

// rankedNumbers returns the numbers of the entries that startZone starts, in the order of their rank.
func rankedNumbers() []int {
	numbers := make([]int, zoneEntries)
	for i := range numbers {
		numbers[i] = i + 1
	}
	slices.SortFunc(numbers, func(a, b int) int {
		return cmp.Compare(fleet.Rank(entryName(a)), fleet.Rank(entryName(b)))
	})
	return numbers
}

// startZone starts zoneEntries entries in zone a and waits until all but the first in rank read through that one. It
// returns them in the order of their rank.
func (w *cluster) startZone() []*runningEntry {
	w.t.Helper()
	for range zoneEntries {
		address, found := w.storeAddresses[len(w.entries)+1]
		if !found {
			address = w.store.Address()
		}
		w.awaitEntry(w.launchEntry(address, "a"))
	}
	var ranked []*runningEntry
	for _, number := range rankedNumbers() {
		ranked = append(ranked, w.entries[number-1])
	}
	w.waitFor("the entries read through the first one", func() bool {
		for _, e := range ranked[1:] {
			if relay, _ := e.process.sources.Status(); relay != ranked[0].settings.Entry {
				return false
			}
		}
		_, readers := ranked[0].process.sources.Status()
		return readers >= zoneEntries-1
	})
	return ranked
}

// configure writes a configuration version and returns the time until all given entries have it.
func (w *cluster) configure(version int, entries []*runningEntry) time.Duration {
	w.t.Helper()
	cierzo.Configuration(w.store, version, map[string][]string{"acme": {testKey}}, cierzo.Routes()...)
	start := time.Now()
	w.waitFor("all entries have the new configuration", func() bool {
		return !slices.ContainsFunc(entries, func(e *runningEntry) bool { return e.process.configurationVersion() < int64(version) })
	})
	return time.Since(start)
}

// TestOneEntryReadsForItsZone lets the entries of a zone watch the store while it changes. The calls of the store must not
// grow with the number of entries.
func TestOneEntryReadsForItsZone(t *testing.T) {
	w := newCluster(t)
	w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	ranked := w.startZone()
	const watched = 3 * time.Second
	before, start := w.store.Calls(), time.Now()
	for version := 2; time.Since(start) < watched; version++ {
		if took := w.configure(version, ranked); took > 500*time.Millisecond {
			t.Errorf("version %d took %v to reach all entries", version, took)
		}
		time.Sleep(300 * time.Millisecond)
	}
	// One entry polls the configuration twice a second and at each of the ten changes, and the two other tables.
	if calls := w.store.Calls() - before; calls > 40 {
		t.Errorf("%d calls of the store in %v, want at most 40", calls, watched)
	}
	for _, e := range ranked {
		if got := w.send(e, call{method: http.MethodGet, uri: "/r/x"}); got.status != http.StatusOK {
			t.Errorf("%s: answer = %+v", e.settings.Entry, got)
		}
	}
}

// TestNextEntryReadsForItsZone takes away the entry that reads for its zone. The others must learn of a change within
// two seconds, the shortest time that the platform allows, and the calls of the store must not grow with their number.
func TestNextEntryReadsForItsZone(t *testing.T) {
	tests := map[string]func(w *cluster, first *runningEntry, faults *atomic.Int64){
		"stops": func(_ *cluster, first *runningEntry, _ *atomic.Int64) { first.stop() },
		"is refused by the store": func(_ *cluster, _ *runningEntry, faults *atomic.Int64) {
			faults.Store(int64(cierzo.FaultUnavailable))
		},
		"gets no answer of the store": func(_ *cluster, _ *runningEntry, faults *atomic.Int64) {
			faults.Store(int64(cierzo.FaultHang))
		},
	}
	for name, takeAway := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t)
			w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
			firstNumber := rankedNumbers()[0]
			var fault atomic.Int64
			faulty, closeFaulty := w.store.ServeAt(func(*http.Request) cierzo.Fault { return cierzo.Fault(fault.Load()) })
			defer closeFaulty()
			w.storeAddresses = map[int]netip.AddrPort{firstNumber: faulty}
			ranked := w.startZone()
			if ranked[0].settings.Entry != entryName(firstNumber) {
				t.Fatalf("first entry = %s, want %s", ranked[0].settings.Entry, entryName(firstNumber))
			}
			before := w.store.Calls()
			takeAway(w, ranked[0], &fault)
			time.Sleep(50 * time.Millisecond)
			reached := ranked
			if name == "stops" {
				reached = ranked[1:]
			}
			if took := w.configure(2, reached); took > 2*time.Second {
				t.Errorf("the change took %v to reach all entries, want at most 2s", took)
			}
			// The entry that lost the store goes on asking it, and the next one reads all tables.
			if calls := w.store.Calls() - before; calls > 3*zoneEntries {
				t.Errorf("%d calls of the store, want at most %d", calls, 3*zoneEntries)
			}
			for _, e := range ranked[1:] {
				if got := w.send(e, call{method: http.MethodGet, uri: "/r/x"}); got.status != http.StatusOK {
					t.Errorf("%s: answer = %+v", e.settings.Entry, got)
				}
			}
		})
	}
}

// TestRefusedEntryReadsThroughTheNext makes the store refuse the entry that reads for the zone and another one. The latter
// must read all tables through the next entry in rank, and must not go on asking the store.
func TestRefusedEntryReadsThroughTheNext(t *testing.T) {
	w := newCluster(t)
	w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	var refusing atomic.Bool
	var refused atomic.Int64
	faulty, closeFaulty := w.store.ServeAt(func(*http.Request) cierzo.Fault {
		if !refusing.Load() {
			return cierzo.FaultNone
		}
		refused.Add(1)
		return cierzo.FaultReset
	})
	defer closeFaulty()
	numbers := rankedNumbers()
	w.storeAddresses = map[int]netip.AddrPort{numbers[0]: faulty, numbers[zoneEntries-1]: faulty}
	ranked := w.startZone()
	refusing.Store(true)
	time.Sleep(3 * time.Second)
	// The first entry tries again after 0.2 s or more; the other one may try each table once or twice.
	if n := refused.Load(); n > 25 {
		t.Errorf("%d refused calls of the store in 3s, want at most 25", n)
	}
	second := ranked[1].settings.Entry
	if relay, _ := ranked[zoneEntries-1].process.sources.Status(); relay != second {
		t.Errorf("the refused entry reads through %q, want %q", relay, second)
	}
	w.startEndpoint(&cierzo.Endpoint{ID: "i-2", Service: "services"})
	w.waitFor("the refused entry knows the new endpoint", func() bool {
		_, found := ranked[zoneEntries-1].process.state.Endpoints.Get("i-2")
		return found
	})
}

// TestRemovalIsNotDelayedByARelay makes the store refuse the first entry of a zone. Another entry, which then reads from
// the store, must drop a removed endpoint at once: that the first one lost the store is no outage for it.
func TestRemovalIsNotDelayedByARelay(t *testing.T) {
	w := newCluster(t)
	w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	leaving := w.startEndpoint(&cierzo.Endpoint{ID: "i-2", Service: "services"})
	var refusing atomic.Bool
	faulty, closeFaulty := w.store.ServeAt(func(*http.Request) cierzo.Fault {
		if refusing.Load() {
			return cierzo.FaultUnavailable
		}
		return cierzo.FaultNone
	})
	defer closeFaulty()
	w.storeAddresses = map[int]netip.AddrPort{rankedNumbers()[0]: faulty}
	ranked := w.startZone()
	refusing.Store(true)
	time.Sleep(time.Second)
	w.store.Remove("servers", leaving.ID)
	removedAt := time.Now()
	for _, e := range ranked {
		w.waitFor("the removed endpoint is dropped", func() bool {
			_, found := e.process.state.Endpoints.Get("i-2")
			return !found
		})
	}
	// The registry is polled every 0.4 s, and the drain time of endpoints is two seconds.
	if elapsed := time.Since(removedAt); elapsed > 1500*time.Millisecond {
		t.Errorf("the removal took %v to reach all entries, want at most 1.5s", elapsed)
	}
}

// TestDepartureDelayIsMeasured guards against departures whose way to an entry can't be explained: each entry must know the age
// of its list and measure how late it learned of a removal, also through another entry.
func TestDepartureDelayIsMeasured(t *testing.T) {
	const drainTime = 2 * time.Second
	w := newCluster(t)
	w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	leaving := w.startEndpoint(&cierzo.Endpoint{ID: "i-2", Service: "services"})
	ranked := w.startZone()
	w.store.Remove("servers", leaving.ID)
	for _, e := range ranked {
		w.waitFor("the removed endpoint is dropped", func() bool {
			_, found := e.process.state.Endpoints.Get("i-2")
			return !found
		})
		if age, known := e.process.feed.RegistryAge(); !known || age > drainTime {
			t.Errorf("%s: age of the list = %v, %t, want at most %v", e.settings.Entry, age, known, drainTime)
		}
		delay, found := e.process.metrics.Get("discovery.departure_delay").(metrics.Timer)
		if !found || delay.Count() != 1 || time.Duration(delay.Max()) > drainTime {
			t.Errorf("%s: delay of the departure was not measured once, within %v", e.settings.Entry, drainTime)
		}
	}
}

// TestZoneAfterAnOutage lets the store fall silent for all entries. Each entry must learn of a change soon after the
// store's return: the platform counts on it three seconds after, and on the change two seconds after that.
func TestZoneAfterAnOutage(t *testing.T) {
	w := newCluster(t)
	w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	var silent atomic.Bool
	w.store.Fault = func(*http.Request) cierzo.Fault {
		if silent.Load() {
			return cierzo.FaultHang
		}
		return cierzo.FaultNone
	}
	ranked := w.startZone()
	silent.Store(true)
	time.Sleep(4 * time.Second)
	silent.Store(false)
	if took := w.configure(2, ranked); took > 2*time.Second {
		t.Errorf("the change took %v to reach all entries, want at most 2s", took)
	}
}
