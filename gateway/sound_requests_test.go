package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/standin/cierzo"
)

// TestRequestsAtEndpointsThatCrashTogether guards against sound requests that are refused as the cause when several
// endpoints crash at once, since a request with the same fingerprint was at each of them.
func TestRequestsAtEndpointsThatCrashTogether(t *testing.T) {
	const endpoints, crashed = 8, 6
	w := newCluster(t)
	for i := range endpoints {
		w.startEndpoint(&cierzo.Endpoint{
			ID: fmt.Sprintf("s-%d", i), Service: "services", Zone: []string{"a", "b"}[i%2], Work: 400 * time.Millisecond,
		})
	}
	for _, zone := range []fleet.Zone{"a", "b", "a"} {
		w.awaitEntry(w.launchEntry(w.store.Address(), zone))
	}
	w.waitFor("the entries know each other", func() bool {
		return w.entries[0].process.entryCount() == 3 && w.entries[1].process.entryCount() == 3 && w.entries[2].process.entryCount() == 3
	})
	time.Sleep(startOfChoosing)
	var group errgroup.Group
	for i := range 4 * endpoints {
		group.Go(func() error {
			w.send(w.entries[i%len(w.entries)], call{method: http.MethodPost, uri: "/u/x", body: "filing"})
			return nil
		})
	}
	w.waitFor("all endpoints run a request", func() bool {
		for _, k := range w.endpoints {
			if len(k.Requests()) == 0 {
				return false
			}
		}
		return true
	})
	for _, k := range w.endpoints[:crashed] {
		k.Crash()
	}
	_ = group.Wait()
	for range 2 {
		for _, e := range w.entries {
			if got := w.send(e, call{method: http.MethodPost, uri: "/u/x", body: "filing"}); got.status != http.StatusOK {
				t.Errorf("%s: status %d, want 200", e.settings.Entry, got.status)
			}
		}
	}
}

// TestCopiesOfRequestRunOn guards against sound calls that are cut at endpoints that live, since an endpoint crashed that ran
// another call with the same fingerprint.
func TestCopiesOfRequestRunOn(t *testing.T) {
	const endpoints = 4
	w := newCluster(t)
	for i := range endpoints {
		w.startEndpoint(&cierzo.Endpoint{
			ID: fmt.Sprintf("s-%d", i), Service: "services", Zone: []string{"a", "b"}[i%2], Work: time.Second,
		})
	}
	for _, zone := range []fleet.Zone{"a", "b"} {
		w.awaitEntry(w.launchEntry(w.store.Address(), zone))
	}
	w.waitFor("the entries know each other", func() bool {
		return w.entries[0].process.entryCount() == 2 && w.entries[1].process.entryCount() == 2
	})
	time.Sleep(startOfChoosing)
	var group errgroup.Group
	var served atomic.Int32
	for i := range 3 * endpoints {
		group.Go(func() error {
			if w.send(w.entries[i%len(w.entries)], call{method: http.MethodPost, uri: "/u/x", body: "filing"}).status == http.StatusOK {
				served.Add(1)
			}
			return nil
		})
	}
	received := func(endpoints []*cierzo.Endpoint) (count int) {
		for _, k := range endpoints {
			count += len(k.Requests())
		}
		return count
	}
	w.waitFor("all calls run", func() bool { return received(w.endpoints) == 3*endpoints })
	crashed := received(w.endpoints[:1])
	if crashed == 0 {
		t.Fatalf("the endpoint that crashes runs no call")
	}
	w.endpoints[0].Crash()
	_ = group.Wait()
	if want := 3*endpoints - crashed; int(served.Load()) != want {
		t.Errorf("%d calls served, want %d: all but the %d at the endpoint that crashed", served.Load(), want, crashed)
	}
}
