package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wisteriadyke/core/retry"
	"wisteriadyke/standin/cierzo"
)

// TestRequestThatCrashesEndpoints sends one request again and again through two entries; each worker that gets it
// crashes. No more than the tolerated number do, whichever entry the request comes to.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	const workers = 6
	w := newWorld(t)
	for i := range workers {
		k := &cierzo.Worker{ID: fmt.Sprintf("i-%d", i), Events: 1, Zone: []string{"a", "b"}[i%2]}
		k.Intercept = func(_ http.ResponseWriter, _ *http.Request, seen cierzo.ReceivedRequest) bool {
			if seen.Body != "poison" {
				return false
			}
			k.Crash()
			panic(http.ErrAbortHandler)
		}
		w.worker(k)
	}
	first, second := w.entry(), w.entry()
	w.eventually("the entries know each other", func() bool { return first.process.entries() == 2 && second.process.entries() == 2 })
	poison := streamCall
	poison.body = "poison"
	for range 3 {
		for _, e := range []*runningEntry{first, second} {
			if got := w.send(e, poison); got.status == http.StatusOK {
				t.Fatalf("answer = %+v", got)
			}
			// Entries tell each other of deaths with their usages.
			time.Sleep(600 * time.Millisecond)
		}
	}
	crashed := 0
	for _, k := range w.workers {
		for _, seen := range k.Requests() {
			if seen.Body == "poison" {
				crashed++
			}
		}
	}
	if crashed != retry.NoTrialDeathLimit {
		t.Errorf("%d workers crashed, want %d", crashed, retry.NoTrialDeathLimit)
	}
	if got := w.send(second, poison); got.status != http.StatusServiceUnavailable {
		t.Errorf("status = %d, want 503", got.status)
	}
	if got := w.send(first, streamCall); got.status != http.StatusOK {
		t.Errorf("another request: answer = %+v", got)
	}
}
