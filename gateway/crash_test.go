package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"wisteriadyke/core/quarantine"
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

const (
	// crashesUntilBlocked is the number of crashes within which entries must identify a prompt part, and
	// requestsAfterwards the number of requests with it that may still reach endpoints; the platform sets both.
	crashesUntilBlocked = 5
	requestsAfterwards  = 3
)

// TestPromptPartThatCrashesEndpoints sends requests that share one part of their prompts, no two alike, through all
// entries; every endpoint that begins to answer one crashes. Meanwhile, other requests with the same account and first
// part are served. An entry that starts later must know the part as well.
func TestPromptPartThatCrashesEndpoints(t *testing.T) {
	const endpoints, rounds = 14, 8
	w := newCluster(t)
	for i := range endpoints {
		w.startEndpoint(&cierzo.Endpoint{
			ID: fmt.Sprintf("i-%d", i), Zone: []string{"a", "b"}[i%2], Events: 10, Pause: 50 * time.Millisecond,
			Work: 30 * time.Millisecond, CrashPart: "bad",
		})
	}
	entries := []*runningEntry{w.startEntry(), w.startEntry(), w.startEntry()}
	w.waitFor("the entries know each other", func() bool {
		return !slices.ContainsFunc(entries, func(e *runningEntry) bool { return e.process.entryCount() != len(entries) })
	})
	number := 0
	prompt := func(parts string) call {
		number++
		c := streamCall
		c.body = fmt.Sprintf("prompt %d", number)
		c.header = []string{"X-Token-Counts: 3000,500", fmt.Sprintf("X-Prompt-Prefix: %s,%x:700", parts, number)}
		return c
	}
	for range rounds {
		for _, e := range entries {
			sound := w.open(e, prompt("first:40,other:600"))
			w.send(e, prompt("first:40,bad:300,other:600"))
			got := w.read(sound, http.MethodPost)
			if w.crashingRequests() > crashesUntilBlocked && (got.status != http.StatusOK || !got.complete) {
				t.Errorf("request without the part: answer = %+v", got)
			}
			_ = sound.Close()
		}
	}
	if got, most := w.crashingRequests(), crashesUntilBlocked+requestsAfterwards; got > most {
		t.Fatalf("%d requests with the part reached endpoints, want %d at most", got, most)
	}
	reached := w.crashingRequests()
	late := w.startEntry()
	w.waitFor("the other entries know the last one", func() bool { return entries[0].process.entryCount() == len(entries)+1 })
	time.Sleep(time.Second)
	w.send(late, prompt("first:40,bad:300,other:600"))
	if got := w.crashingRequests(); got != reached {
		t.Errorf("%d requests with the part reached endpoints through an entry that started later, want 0", got-reached)
	}
}

// crashingRequests returns the number of requests with the part "bad" that reached endpoints.
func (w *cluster) crashingRequests() int {
	count := 0
	for _, k := range w.endpoints {
		for _, seen := range k.Requests() {
			if strings.Contains(seen.Header.Get("X-Prompt-Prefix"), "bad:") {
				count++
			}
		}
	}
	return count
}

// TestQuarantineOutlastsAllEntries stops all entries after a prompt part was quarantined. Entries that start then must
// know the part, and may forget it only when a request with it is answered.
func TestQuarantineOutlastsAllEntries(t *testing.T) {
	w := newCluster(t)
	startEndpoints := func(name string) {
		for i := range 6 {
			w.startEndpoint(&cierzo.Endpoint{
				ID: fmt.Sprintf("%s-%d", name, i), Zone: []string{"a", "b"}[i%2], Events: 10, Pause: 50 * time.Millisecond,
				CrashPart: "bad",
			})
		}
	}
	startEndpoints("old")
	crashing := streamCall
	crashing.header = append(slices.Clone(streamCall.header), "X-Prompt-Prefix: first:40,bad:300,own:700")
	sound := streamCall
	sound.header = append(slices.Clone(streamCall.header), "X-Prompt-Prefix: first:40,own:700")
	before := []*runningEntry{w.startEntry(), w.startEntry()}
	time.Sleep(startOfChoosing)
	for i := range 6 {
		crashing.body = fmt.Sprintf("prompt %d", i)
		w.send(before[i%2], crashing)
	}
	w.waitFor("the store lists the group", func() bool { return len(w.store.Keys("quarantine")) > 0 })
	for _, e := range before {
		e.stop()
	}
	w.waitFor("the entries have ended", func() bool {
		return !slices.ContainsFunc(before, func(e *runningEntry) bool { return len(e.ended) == 0 })
	})
	for _, k := range w.endpoints {
		w.store.Remove("servers", k.ID)
		t.Cleanup(k.Close)
	}
	w.endpoints = nil
	startEndpoints("new")
	after := []*runningEntry{w.startEntry(), w.startEntry()}
	time.Sleep(startOfChoosing)
	for i := range 4 {
		crashing.body = fmt.Sprintf("prompt %d after the restart", i)
		if got := w.send(after[i%2], crashing); got.status != http.StatusServiceUnavailable {
			t.Errorf("answer = %+v, want status 503", got)
		}
		if got := w.send(after[i%2], sound); got.status != http.StatusOK {
			t.Errorf("request without the part: answer = %+v", got)
		}
	}
	if got := w.crashingRequests(); got != 0 {
		t.Errorf("%d requests with the part reached endpoints after the restart, want 0", got)
	}
}

// TestRequestBesideCrashesIsNotSuspected crashes three endpoints in turn while each has been answering the same request
// for a while. The fourth one must get it and answer it.
func TestRequestBesideCrashesIsNotSuspected(t *testing.T) {
	w := newCluster(t)
	for i := range 6 {
		w.startEndpoint(&cierzo.Endpoint{ID: fmt.Sprintf("i-%d", i), Events: 60, Pause: 50 * time.Millisecond})
	}
	e := w.startEntry()
	time.Sleep(startOfChoosing)
	crashed := make(map[*cierzo.Endpoint]bool)
	crashNext := func() {
		t.Helper()
		var running *cierzo.Endpoint
		w.waitFor("an endpoint gets the request", func() bool {
			for _, k := range w.endpoints {
				if !crashed[k] && len(k.Requests()) > 0 {
					running = k
				}
			}
			return running != nil
		})
		time.Sleep(2 * quarantine.SettleTime)
		running.Crash()
		crashed[running] = true
	}
	first := w.open(e, streamCall)
	crashNext()
	crashNext()
	if got := w.read(first, http.MethodPost); got.complete {
		t.Fatalf("answer = %+v, want an incomplete one", got)
	}
	_ = first.Close()
	second := w.open(e, streamCall)
	crashNext()
	if got := w.read(second, http.MethodPost); got.status != http.StatusOK || !got.complete {
		t.Errorf("answer = %+v, want a complete one with status 200", got)
	}
	_ = second.Close()
}
