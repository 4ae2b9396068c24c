package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

// startOfChoosing is the time after its start from which an entry chooses for others and is known to.
const startOfChoosing = 1500 * time.Millisecond

// turnAway answers a request as an endpoint that did not run it and asks for a pause of so many seconds.
func turnAway(rw http.ResponseWriter, seconds string) {
	rw.Header().Set("X-Not-Executed", "1")
	rw.Header().Set("Retry-After", seconds)
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// TestAnnouncedLeaving lets the endpoint that receives the first request announce in its response that it leaves, while
// the registry goes on listing it as ready. Neither the entry that got the response nor another one may send it
// anything from then on, until it starts again.
func TestAnnouncedLeaving(t *testing.T) {
	tests := map[string]func(rw http.ResponseWriter, r *http.Request) bool{
		"answer":  func(http.ResponseWriter, *http.Request) bool { return false },
		"refusal": func(rw http.ResponseWriter, _ *http.Request) bool { turnAway(rw, ""); return true },
	}
	for name, respond := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t)
			var leaving atomic.Pointer[cierzo.Endpoint]
			for _, id := range []string{"i-1", "i-2"} {
				k := &cierzo.Endpoint{ID: id, Events: 1}
				k.Intercept = func(rw http.ResponseWriter, r *http.Request, _ cierzo.ReceivedRequest) bool {
					if leaving.CompareAndSwap(nil, k) {
						k.Leave()
						rw.Header().Set("Server-Leaving", "1")
					}
					return leaving.Load() == k && respond(rw, r)
				}
				w.startEndpoint(k)
			}
			first, second := w.startEntry(), w.startEntry()
			w.waitFor("the entries know each other", func() bool {
				return first.process.entryCount() == 2 && second.process.entryCount() == 2
			})
			time.Sleep(startOfChoosing)
			w.send(first, streamCall)
			k := leaving.Load()
			if k == nil {
				t.Fatal("no endpoint received the first request")
			}
			arrivals := len(k.Requests())
			for range 4 {
				if got := w.send(first, streamCall); got.status != http.StatusOK {
					t.Fatalf("answer = %+v", got)
				}
			}
			// The next usage report tells the entry that chooses for both.
			time.Sleep(300 * time.Millisecond)
			k.Register(w.store, "ready")
			time.Sleep(600 * time.Millisecond)
			for _, e := range []*runningEntry{first, second} {
				for range 4 {
					if got := w.send(e, streamCall); got.status != http.StatusOK {
						t.Fatalf("answer = %+v", got)
					}
				}
			}
			if n := len(k.Requests()) - arrivals; n != 0 {
				t.Errorf("%d requests reached the endpoint after it had announced that it leaves, want 0", n)
			}
			k.Restart()
			k.Register(w.store, "ready")
			for _, other := range w.endpoints {
				if other != k {
					other.Register(w.store, "draining")
				}
			}
			w.waitFor("the new incarnation is used", func() bool {
				w.send(first, streamCall)
				return len(k.Requests()) > arrivals
			})
		})
	}
}

// TestPauseOfAnEndpoint lets the endpoint that receives the first request ask for a pause. The entry must leave it alone
// for that time, and use it again afterwards.
func TestPauseOfAnEndpoint(t *testing.T) {
	const pause = 1500 * time.Millisecond
	w := newCluster(t)
	var paused atomic.Pointer[cierzo.Endpoint]
	for _, id := range []string{"i-1", "i-2"} {
		k := &cierzo.Endpoint{ID: id, Events: 1}
		k.Intercept = func(rw http.ResponseWriter, _ *http.Request, _ cierzo.ReceivedRequest) bool {
			if !paused.CompareAndSwap(nil, k) {
				return false
			}
			turnAway(rw, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
			return true
		}
		w.startEndpoint(k)
	}
	e := w.startEntry()
	if got := w.send(e, streamCall); got.status != http.StatusOK {
		t.Fatalf("answer = %+v, want that of the other endpoint", got)
	}
	start := time.Now()
	k := paused.Load()
	for time.Since(start) < pause {
		if got := w.send(e, streamCall); got.status != http.StatusOK {
			t.Fatalf("answer = %+v", got)
		}
		if n := len(k.Requests()); n > 1 && time.Since(start) < pause {
			t.Fatalf("%d requests reached the endpoint within its pause, want 0", n-1)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, other := range w.endpoints {
		if other != k {
			other.Register(w.store, "draining")
		}
	}
	w.waitFor("the endpoint is used again", func() bool {
		w.send(e, streamCall)
		return len(k.Requests()) > 1
	})
}

// TestPauseOfAPool lets all endpoints of a pool ask for a pause. Requests must be refused at once, with the time at which
// the first pause ends, and served after it.
func TestPauseOfAPool(t *testing.T) {
	const shorter, slack = 4 * time.Second, time.Second
	w := newCluster(t)
	var asked atomic.Int64
	var open atomic.Bool
	for _, id := range []string{"i-1", "i-2"} {
		w.startEndpoint(&cierzo.Endpoint{ID: id, Events: 1, Intercept: func(rw http.ResponseWriter, _ *http.Request, _ cierzo.ReceivedRequest) bool {
			if open.Load() {
				return false
			}
			turnAway(rw, []string{"4", "30"}[asked.Add(1)%2])
			return true
		}})
	}
	e := w.startEntry()
	start := time.Now()
	w.send(e, streamCall)
	if n := asked.Load(); n != 2 {
		t.Fatalf("%d endpoints were asked, want both", n)
	}
	refusedAt := time.Now()
	got := w.send(e, streamCall)
	elapsed := time.Since(refusedAt)
	if got.status != http.StatusServiceUnavailable || elapsed > 200*time.Millisecond {
		t.Errorf("status = %d after %v, want 503 at once", got.status, elapsed)
	}
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatalf("Retry-After: %v", err)
	}
	retryAt := refusedAt.Add(time.Duration(seconds * float64(time.Second)))
	if retryAt.Before(start.Add(shorter)) || retryAt.After(start.Add(shorter+slack)) {
		t.Errorf("Retry-After ends %v after the first request, want between %v and %v", retryAt.Sub(start), shorter, shorter+slack)
	}
	open.Store(true)
	time.Sleep(time.Until(retryAt))
	if got := w.send(e, streamCall); got.status != http.StatusOK {
		t.Errorf("answer = %+v after the time in Retry-After, want status 200", got)
	}
}
