package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"wisteriadyke/core/clusterstate"
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

// TestLimitOutlastsTheLeader stops the entry that chooses endpoints for all while an endpoint states a limit. The others
// must keep the limit, and so must an entry that starts then.
func TestLimitOutlastsTheLeader(t *testing.T) {
	const limit = 2.0
	w := newCluster(t)
	for i := range 3 {
		w.startEndpoint(&cierzo.Endpoint{ID: fmt.Sprintf("i-%d", i), Events: 1})
	}
	entries := []*runningEntry{w.startEntry(), w.startEntry(), w.startEntry()}
	w.waitFor("the entries know each other", func() bool { return entries[0].process.entryCount() == len(entries) })
	time.Sleep(startOfChoosing)
	for _, k := range w.endpoints[:2] {
		k.SetLimit(limit)
	}
	play := func(entries []*runningEntry, duration time.Duration) (most int) {
		before := make(map[*cierzo.Endpoint]int)
		for _, k := range w.endpoints {
			before[k] = len(k.Requests())
		}
		for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
			w.send(entries[i%len(entries)], streamCall)
			time.Sleep(20 * time.Millisecond)
		}
		for _, k := range w.endpoints[:2] {
			most = max(most, len(k.Requests())-before[k])
		}
		return most
	}
	play(entries, limitSettleTime)
	var ranking clusterstate.Ranking
	first := ranking.Entries(&entries[0].process.state.Entries)[0]
	leader := slices.IndexFunc(entries, func(e *runningEntry) bool { return e.settings.Entry == first.ID })
	entries[leader].stop()
	rest := append(slices.Delete(slices.Clone(entries), leader, leader+1), w.startEntry())
	if got, most := play(rest, limitSpan), allowedInSpan(limit); got > most {
		t.Errorf("an endpoint got %d requests in %v after the leader stopped, want %d at most", got, limitSpan, most)
	}
}

// TestLimitsOfAllEndpoints lets all endpoints of a pool state a limit and sends more requests than these allow. Those
// that can't be served must be refused soon, with a time to return.
func TestLimitsOfAllEndpoints(t *testing.T) {
	const limit = 1.0
	w := newCluster(t)
	for i := range 2 {
		w.startEndpoint(&cierzo.Endpoint{ID: fmt.Sprintf("i-%d", i), Events: 1}).SetLimit(limit)
	}
	e := w.startEntry()
	time.Sleep(startOfChoosing)
	refused, served := 0, 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); {
		sentAt := time.Now()
		got := w.send(e, streamCall)
		switch {
		case got.status == http.StatusOK:
			served++
		case got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "":
			t.Fatalf("answer = %+v, want status 503 with a time to return", got)
		default:
			refused++
		}
		if took := time.Since(sentAt); took > time.Second {
			t.Errorf("answer with status %d after %v, want within a second", got.status, took)
		}
	}
	if refused == 0 {
		t.Error("no request was refused")
	}
	if least := int(2 * limit * 6 / 2); served < least {
		t.Errorf("%d requests were served, want %d or more", served, least)
	}
	if got := len(w.endpoints[0].Requests()) + len(w.endpoints[1].Requests()); got > 2*allowedInSpan(limit) {
		t.Errorf("%d requests reached the endpoints in 6 s, want %d at most", got, 2*allowedInSpan(limit))
	}
}
