package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/timeline"
	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
)

// newZonesCluster starts nine engines in the zones a to c, in a contended pool, and six entries in zone a that agree on
// the leader. Each stream opens a connection of its own, since it may run once only.
func newZonesCluster(t *testing.T) *cluster {
	t.Helper()
	w := newCluster(t)
	route := cierzo.Routes()[0]
	route["resumable"] = false
	cierzo.ContendedConfiguration(w.store, 2, map[string][]string{"acme": {testKey}}, route)
	for i := range 9 {
		w.startEndpoint(&cierzo.Endpoint{
			ID: fmt.Sprintf("i-%d", i), Zone: []string{"a", "b", "c"}[i%3], Events: 1, Work: 150 * time.Millisecond,
		})
	}
	for range 6 {
		w.awaitEntry(w.launchEntry(w.store.Address(), "a"))
	}
	w.waitFor("the entries know the contended pool and the leader", func() bool {
		leaders := 0
		for _, e := range w.entries {
			if !e.process.isContended("engines") || e.process.entryCount() != len(w.entries) {
				return false
			}
			if e.process.choosers.Leads() {
				leaders++
			}
		}
		return leaders == 1
	})
	return w
}

// busiestZone returns the zone whose endpoints received the most requests.
func (w *cluster) busiestZone() string {
	received := make(map[string]int)
	for _, k := range w.endpoints {
		received[k.Zone] += len(k.Requests())
	}
	return slices.MaxFunc(slices.Collect(maps.Keys(received)), func(a, b string) int {
		return cmp.Compare(received[a], received[b])
	})
}

// cutZone cuts the paths of all entries to the endpoints of a zone, or ends the cut.
func (w *cluster) cutZone(zone string, cut faultproxy.Cut) {
	var addresses []netip.AddrPort
	for _, k := range w.endpoints {
		if k.Zone == zone {
			addresses = append(addresses, k.Address())
		}
	}
	for _, e := range w.entries {
		e.path.SetCut(cut, addresses...)
	}
}

// streamTo sends streams to all entries at the same time for a time, and returns how many were not served.
func (w *cluster) streamTo(total time.Duration) (failed int) {
	var group errgroup.Group
	results := make(chan answer, 1000)
	for _, e := range w.entries {
		for range 5 {
			group.Go(func() error {
				for end := time.Now().Add(total); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
					results <- w.send(e, streamCall)
				}
				return nil
			})
		}
	}
	_ = group.Wait()
	close(results)
	for got := range results {
		if got.status != http.StatusOK || !got.complete {
			failed++
		}
	}
	return failed
}

// connectFailure is an attempt that could not connect, with the times at which it was granted and had failed.
type connectFailure struct {
	entry           fleet.EntryID
	endpoint        fleet.EndpointID
	granted, failed time.Time
	outcome         string
}

// connectFailures returns the attempts at all entries that could not connect and were granted after a time.
func (w *cluster) connectFailures(after time.Time) []connectFailure {
	var found []connectFailure
	for _, e := range w.entries {
		granted := make(map[fleet.AttemptID]time.Time)
		for _, event := range e.process.timeline.Events(timeline.Filter{}) {
			switch {
			case event.Kind == timeline.KindReservationGranted:
				granted[event.Attempt] = event.Timestamp.Wall
			case event.Kind == timeline.KindAttemptEnded && granted[event.Attempt].After(after) &&
				(event.Reason == string(reservation.OutcomeNotRun) || event.Reason == string(reservation.OutcomeNotConnected)):
				found = append(found, connectFailure{
					entry: e.settings.Entry, endpoint: event.Endpoint, granted: granted[event.Attempt], failed: event.Timestamp.Wall,
					outcome: event.Reason,
				})
			}
		}
	}
	return found
}

// failuresBefore describes the failures at an endpoint before an attempt there was granted: the entry, how long before, and
// the outcome.
func failuresBefore(failures []connectFailure, late connectFailure) []string {
	var before []string
	for _, f := range failures {
		if f.endpoint == late.endpoint && f.failed.Before(late.granted) {
			before = append(before, fmt.Sprintf("%s %v %s", f.entry, late.granted.Sub(f.failed).Round(time.Millisecond), f.outcome))
		}
	}
	return before
}

// TestZoneLostForOneEntryIsLostForItsZone guards against entries that find out one after the other, endpoint by endpoint,
// that they can't reach a zone. 100 ms after an endpoint was lost by one of them, no other request of the zone of entries
// waits for a connection to it; after the cut, it is used again within two seconds.
func TestZoneLostForOneEntryIsLostForItsZone(t *testing.T) {
	const (
		spread   = 100 * time.Millisecond
		recovery = 2 * time.Second
	)
	w := newZonesCluster(t)
	if failed := w.streamTo(time.Second); failed > 0 {
		t.Fatalf("%d streams were not served before the cut", failed)
	}
	zone, cutAt := w.busiestZone(), time.Now()
	w.cutZone(zone, faultproxy.CutSilent)
	failed := w.streamTo(2 * time.Second)
	failures := w.connectFailures(cutAt)
	first := make(map[fleet.EndpointID]time.Time)
	for _, f := range failures {
		if at, found := first[f.endpoint]; !found || f.failed.Before(at) {
			first[f.endpoint] = f.failed
		}
	}
	late := 0
	for _, f := range failures {
		if f.granted.After(first[f.endpoint].Add(spread)) {
			late++
			t.Logf("%s: attempt at %s granted %v after the cut, %v after the first failure there; failures before that: %v",
				f.entry, f.endpoint, f.granted.Sub(cutAt), f.granted.Sub(first[f.endpoint]), failuresBefore(failures, f))
		}
	}
	t.Logf("%d attempts failed to connect, %d of them over %v after the first one; %d streams were not served",
		len(failures), late, spread, failed)
	if late > 0 {
		t.Errorf("%d of %d attempts were sent to an endpoint over %v after it was lost, want 0", late, len(failures), spread)
	}
	if len(failures) == 0 {
		t.Fatal("no attempt was sent to the zone")
	}
	w.cutZone(zone, faultproxy.CutNone)
	time.Sleep(recovery)
	for _, e := range w.entries {
		for id, endpoint := range e.process.state.Endpoints.Snapshot().Rows {
			now := time.Now()
			if e.process.paths.Lost(endpoint, "a", now) || e.process.paths.View("a", now).Suspect(endpoint) ||
				!e.process.outliers.Usable(endpoint, now) {
				t.Errorf("%s does not use %s %v after the cut", e.settings.Entry, id, recovery)
			}
		}
	}
}
