package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

func TestRemovedKeyIsRefused(t *testing.T) {
	w := newWorld(t)
	w.worker(&cierzo.Worker{ID: "i-1", Service: "services"})
	e := w.entry()
	read := call{method: http.MethodGet, uri: "/r/x"}
	if got := w.send(e, read); got.status != http.StatusOK {
		t.Fatalf("answer = %+v", got)
	}
	cierzo.Configuration(w.store, 2, map[string][]string{"acme": {"another"}}, cierzo.Routes()...)
	w.eventually("the key is refused", func() bool { return w.send(e, read).status == http.StatusUnauthorized })
	// An older version that comes late must not bring the key back.
	cierzo.Configuration(w.store, 1, map[string][]string{"acme": {testKey}}, cierzo.Routes()...)
	time.Sleep(300 * time.Millisecond)
	if got := w.send(e, read); got.status != http.StatusUnauthorized {
		t.Errorf("status = %d after an older version, want 401", got.status)
	}
}

// TestKeysNeedFreshEvidence turns the entry away from the store: soon after, it can't know whether a key was removed.
func TestKeysNeedFreshEvidence(t *testing.T) {
	for name, fault := range map[string]cierzo.Fault{
		"busy": cierzo.FaultUnavailable, "reset": cierzo.FaultReset, "silent": cierzo.FaultHang,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			var away atomic.Bool
			w.store.Fault = func(*http.Request) cierzo.Fault {
				if away.Load() {
					return fault
				}
				return cierzo.FaultNone
			}
			w.worker(&cierzo.Worker{ID: "i-1", Service: "services"})
			e := w.entry()
			away.Store(true)
			lost := time.Now()
			for time.Since(lost) < e.settings.RevokeTime {
				time.Sleep(100 * time.Millisecond)
			}
			if got := w.send(e, call{method: http.MethodGet, uri: "/r/x"}); got.status != http.StatusServiceUnavailable {
				t.Errorf("status = %d with old evidence, want 503", got.status)
			}
			away.Store(false)
			w.eventually("the key is accepted again", func() bool {
				return w.send(e, call{method: http.MethodGet, uri: "/r/x"}).status == http.StatusOK
			})
		})
	}
}

// TestEntryTurnedAwayTrustsItsPeer turns one of two entries away from the store: it goes on by what the other knows, but
// not once the configuration has changed.
func TestEntryTurnedAwayTrustsItsPeer(t *testing.T) {
	w := newWorld(t)
	w.worker(&cierzo.Worker{ID: "i-1", Service: "services"})
	var away atomic.Bool
	door, closeDoor := w.store.ServeAt(func(*http.Request) cierzo.Fault {
		if away.Load() {
			return cierzo.FaultUnavailable
		}
		return cierzo.FaultNone
	})
	defer closeDoor()
	first, second := w.entry(), w.entryWith(door)
	read := call{method: http.MethodGet, uri: "/r/x"}
	w.eventually("the entries know each other", func() bool { return second.process.entries() == 2 && first.process.entries() == 2 })
	away.Store(true)
	lost := time.Now()
	for time.Since(lost) < second.settings.RevokeTime+time.Second {
		if got := w.send(second, read); got.status != http.StatusOK {
			t.Fatalf("status = %d after %v, want 200", got.status, time.Since(lost))
		}
		time.Sleep(200 * time.Millisecond)
	}
	cierzo.Configuration(w.store, 2, map[string][]string{"acme": {"another"}}, cierzo.Routes()...)
	changed := time.Now()
	w.eventually("the removed key is refused", func() bool { return w.send(second, read).status == http.StatusServiceUnavailable })
	if took := time.Since(changed); took > second.settings.RevokeTime {
		t.Errorf("the removed key was taken for %v", took)
	}
}
