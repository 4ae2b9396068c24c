package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wisteriadyke/core/retry"
	"wisteriadyke/standin/cierzo"
)

// TestRequestThatCrashesEndpoints sends the same request repeatedly through two entries; every endpoint that receives
// it crashes. Only retry.NoTrialDeathLimit endpoints may crash, whichever entry receives the request.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	const endpoints = 6
	w := newCluster(t)
	for i := range endpoints {
		k := &cierzo.Endpoint{ID: fmt.Sprintf("i-%d", i), Events: 1, Zone: []string{"a", "b"}[i%2]}
		k.Intercept = func(_ http.ResponseWriter, _ *http.Request, seen cierzo.ReceivedRequest) bool {
			if seen.Body != "poison" {
				return false
			}
			k.Crash()
			panic(http.ErrAbortHandler)
		}
		w.startEndpoint(k)
	}
	first, second := w.startEntry(), w.startEntry()
	w.waitFor("the entries know each other", func() bool {
		return first.process.entryCount() == 2 && second.process.entryCount() == 2
	})
	crashing := streamCall
	crashing.body = "poison"
	for range 3 {
		for _, e := range []*runningEntry{first, second} {
			if got := w.send(e, crashing); got.status == http.StatusOK {
				t.Fatalf("answer = %+v", got)
			}
			// Wait for the next usage reports, in which the entries send each other the recorded endpoint deaths.
			time.Sleep(600 * time.Millisecond)
		}
	}
	crashed := 0
	for _, k := range w.endpoints {
		for _, seen := range k.Requests() {
			if seen.Body == "poison" {
				crashed++
			}
		}
	}
	if crashed != retry.NoTrialDeathLimit {
		t.Errorf("%d endpoints crashed, want %d", crashed, retry.NoTrialDeathLimit)
	}
	if got := w.send(second, crashing); got.status != http.StatusServiceUnavailable {
		t.Errorf("status = %d, want 503", got.status)
	}
	if got := w.send(first, streamCall); got.status != http.StatusOK {
		t.Errorf("another request: answer = %+v, want status 200", got)
	}
}
