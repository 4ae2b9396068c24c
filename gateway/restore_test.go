package gateway

import (
	"net/http"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

// anotherKey is a second API key of the account "acme".
const anotherKey = "another-key-of-acme"

// sendWithKey sends a read with an API key and returns the status.
func (w *cluster) sendWithKey(e *runningEntry, key string) int {
	w.t.Helper()
	return w.send(e, call{method: http.MethodGet, uri: "/r/x", header: []string{"X-Credential: " + key}, withoutKey: true}).status
}

// tryKey is like sendWithKey, but returns 0 if the entry doesn't listen yet.
func (w *cluster) tryKey(e *runningEntry, key string) int {
	w.t.Helper()
	if e.readyStatus() == 0 {
		return 0
	}
	return w.sendWithKey(e, key)
}

// TestRestoredStoreRevivesNoKey lets the store come back from a copy that still holds a removed key. Neither an entry
// that knows the removal nor one that starts afterwards may accept the key. Once the operators have written the
// configuration again, both must serve the other key.
func TestRestoredStoreRevivesNoKey(t *testing.T) {
	w := newCluster(t)
	w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	first := w.startEntry()
	if got := w.sendWithKey(first, testKey); got != http.StatusOK {
		t.Fatalf("status = %d before the key is removed, want 200", got)
	}
	copied := w.store.Copy()
	cierzo.Configuration(w.store, 2, map[string][]string{"acme": {anotherKey}}, cierzo.Routes()...)
	w.waitFor("the removed key is refused", func() bool { return w.sendWithKey(first, testKey) == http.StatusUnauthorized })
	w.store.Restore(copied)
	second := w.launchEntry(w.store.Address(), "b")
	entries := []*runningEntry{first, second}
	for start := time.Now(); time.Since(start) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, e := range entries {
			if got := w.tryKey(e, testKey); got == http.StatusOK {
				t.Fatalf("%s accepted the removed key %v after the copy came back", e.settings.Entry, time.Since(start))
			}
		}
	}
	cierzo.Configuration(w.store, 3, map[string][]string{"acme": {anotherKey}}, cierzo.Routes()...)
	for _, e := range entries {
		w.waitFor("the other key is accepted", func() bool { return w.tryKey(e, anotherKey) == http.StatusOK })
		if got := w.sendWithKey(e, testKey); got != http.StatusUnauthorized {
			t.Errorf("%s: status = %d for the removed key, want 401", e.settings.Entry, got)
		}
	}
}

// TestRestoredStoreLosesNothingKnown lets the store come back from a copy that lacks a drained zone, the departure of
// endpoints and the row of an entry. What is known must stay in force, and the row must be written again.
func TestRestoredStoreLosesNothingKnown(t *testing.T) {
	w := newCluster(t)
	remaining := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Events: 1})
	draining := w.startEndpoint(&cierzo.Endpoint{ID: "i-2", Events: 1})
	removed := w.startEndpoint(&cierzo.Endpoint{ID: "i-3", Events: 1})
	drained := w.startEndpoint(&cierzo.Endpoint{ID: "i-4", Events: 1, Zone: "b"})
	e := w.startEntry()
	copied := w.store.Copy()
	draining.Register(w.store, "draining")
	w.store.Remove("servers", removed.ID)
	w.store.Put("op", "evacuate/b", "e30=")
	second := w.launchEntry(w.store.Address(), "b")
	w.waitFor("the changes are known", func() bool {
		_, listed := w.store.Row("entries", string(second.settings.Entry))
		_, found := e.process.state.Endpoints.Get("i-3")
		zone, _ := e.process.state.Zones.Get("b")
		return listed && !found && zone.Drained && e.process.entryCount() == 2
	})
	w.waitFor("the second entry is ready", func() bool { return second.readyStatus() == http.StatusOK })
	before := len(draining.Requests()) + len(removed.Requests()) + len(drained.Requests())
	w.waitFor("the second entry knows the endpoints", func() bool {
		_, found := second.process.state.Endpoints.Get("i-1")
		return found
	})
	w.store.Restore(copied)
	for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, entry := range w.entries {
			w.send(entry, streamCall)
			// An entry that gets no answer of the one that chooses for it chooses by what it knows itself.
			if endpoint, found := entry.process.state.Endpoints.Get("i-3"); found {
				t.Fatalf("%s lists the removed endpoint as %s", entry.settings.Entry, endpoint.State)
			}
		}
	}
	after := len(draining.Requests()) + len(removed.Requests()) + len(drained.Requests())
	if after != before || len(remaining.Requests()) == 0 {
		t.Errorf("%d requests reached endpoints that leave, are gone or drained, and %d the other one; want 0 and some",
			after-before, len(remaining.Requests()))
	}
	if _, found := w.store.Row("entries", string(second.settings.Entry)); !found {
		t.Error("the row of the second entry was not written again")
	}
}
