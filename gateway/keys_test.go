package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

func TestRemovedKeyIsRefused(t *testing.T) {
	w := newCluster(t)
	w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	e := w.startEntry()
	read := call{method: http.MethodGet, uri: "/r/x"}
	if got := w.send(e, read); got.status != http.StatusOK {
		t.Fatalf("answer = %+v", got)
	}
	cierzo.Configuration(w.store, 2, map[string][]string{"acme": {"another"}}, cierzo.Routes()...)
	w.waitFor("the key is refused", func() bool { return w.send(e, read).status == http.StatusUnauthorized })
	// An older version that arrives late must not make the key valid again.
	cierzo.Configuration(w.store, 1, map[string][]string{"acme": {testKey}}, cierzo.Routes()...)
	time.Sleep(300 * time.Millisecond)
	if got := w.send(e, read); got.status != http.StatusUnauthorized {
		t.Errorf("status = %d after an older version, want 401", got.status)
	}
}

// TestKeysNeedFreshEvidence makes the store fail for the entry. After RevokeTime the entry can no longer know whether a
// key has been removed, and must refuse requests until it reaches the store again.
func TestKeysNeedFreshEvidence(t *testing.T) {
	for name, fault := range map[string]cierzo.Fault{
		"busy": cierzo.FaultUnavailable, "reset": cierzo.FaultReset, "silent": cierzo.FaultHang,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t)
			var unreachable atomic.Bool
			w.store.Fault = func(*http.Request) cierzo.Fault {
				if unreachable.Load() {
					return fault
				}
				return cierzo.FaultNone
			}
			w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
			e := w.startEntry()
			unreachable.Store(true)
			start := time.Now()
			for time.Since(start) < e.settings.RevokeTime {
				time.Sleep(100 * time.Millisecond)
			}
			if got := w.send(e, call{method: http.MethodGet, uri: "/r/x"}); got.status != http.StatusServiceUnavailable {
				t.Errorf("status = %d with a stale configuration, want 503", got.status)
			}
			unreachable.Store(false)
			w.waitFor("the key is accepted again", func() bool {
				return w.send(e, call{method: http.MethodGet, uri: "/r/x"}).status == http.StatusOK
			})
		})
	}
}

// TestEntryTurnedAwayTrustsItsPeer makes the store fail for one of two entries. That entry must go on accepting keys as
// long as the other one confirms its configuration, but not for longer than RevokeTime after the configuration has
// changed.
func TestEntryTurnedAwayTrustsItsPeer(t *testing.T) {
	w := newCluster(t)
	w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	var unreachable atomic.Bool
	storeAddress, closeStoreAddress := w.store.ServeAt(func(*http.Request) cierzo.Fault {
		if unreachable.Load() {
			return cierzo.FaultUnavailable
		}
		return cierzo.FaultNone
	})
	defer closeStoreAddress()
	first, second := w.startEntry(), w.startEntryAt(storeAddress)
	read := call{method: http.MethodGet, uri: "/r/x"}
	w.waitFor("the entries know each other", func() bool {
		return second.process.entryCount() == 2 && first.process.entryCount() == 2
	})
	unreachable.Store(true)
	start := time.Now()
	for time.Since(start) < second.settings.RevokeTime+time.Second {
		if got := w.send(second, read); got.status != http.StatusOK {
			t.Fatalf("status = %d after %v, want 200", got.status, time.Since(start))
		}
		time.Sleep(200 * time.Millisecond)
	}
	cierzo.Configuration(w.store, 2, map[string][]string{"acme": {"another"}}, cierzo.Routes()...)
	changedAt := time.Now()
	// The peer also passes on the configuration without the key.
	w.waitFor("the removed key is refused", func() bool {
		return w.send(second, read).status == http.StatusUnauthorized
	})
	if elapsed := time.Since(changedAt); elapsed > second.settings.RevokeTime {
		t.Errorf("the removed key was accepted for %v, want at most %v", elapsed, second.settings.RevokeTime)
	}
}
