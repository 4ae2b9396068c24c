package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

const (
	// limitSettleTime is the time after the first statement of a limit from which it binds, and limitSpan the time over
	// which requests are counted; the platform sets both.
	limitSettleTime = 3 * time.Second
	limitSpan       = 4 * time.Second
)

// allowedInSpan returns the number of requests that an endpoint with a limit may get within limitSpan, as the platform
// sets it.
func allowedInSpan(perSecond float64) int {
	return int(1.5*perSecond*limitSpan.Seconds()) + 5
}

// TestLimitStatedByAnEndpoint lets the endpoint that gets the first request state a limit, while requests arrive at all
// entries. The endpoint must get no more than that from all entries together, and more again once it states no limit.
// Requests are served meanwhile.
func TestLimitStatedByAnEndpoint(t *testing.T) {
	const limit = 2.0
	w := newCluster(t)
	for i := range 4 {
		w.startEndpoint(&cierzo.Endpoint{ID: fmt.Sprintf("i-%d", i), Events: 1})
	}
	entries := []*runningEntry{w.startEntry(), w.startEntry(), w.startEntry()}
	w.waitFor("the entries know each other", func() bool { return entries[0].process.entryCount() == len(entries) })
	time.Sleep(startOfChoosing)
	w.send(entries[0], streamCall)
	var limited *cierzo.Endpoint
	for _, k := range w.endpoints {
		if len(k.Requests()) > 0 {
			limited = k
		}
	}
	// play sends requests to all entries in turn for a time and returns how many of them reached the endpoint.
	play := func(duration time.Duration) int {
		before := len(limited.Requests())
		for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
			if got := w.send(entries[i%len(entries)], streamCall); got.status != http.StatusOK {
				t.Fatalf("answer = %+v", got)
			}
			time.Sleep(20 * time.Millisecond)
		}
		return len(limited.Requests()) - before
	}
	if got := play(time.Second); got < 10 {
		t.Fatalf("the endpoint got %d requests in a second before it stated a limit, want 10 or more", got)
	}
	limited.SetLimit(limit)
	play(limitSettleTime)
	got := play(limitSpan)
	if most := allowedInSpan(limit); got > most {
		t.Errorf("the endpoint got %d requests in %v, want %d at most", got, limitSpan, most)
	}
	if least := int(limit * limitSpan.Seconds() / 2); got < least {
		t.Errorf("the endpoint got %d requests in %v, want %d or more", got, limitSpan, least)
	}
	limited.SetLimit(0)
	play(limitSpan)
	if got := play(time.Second); got < 10 {
		t.Errorf("the endpoint got %d requests in a second after it stated no limit, want 10 or more", got)
	}
}
