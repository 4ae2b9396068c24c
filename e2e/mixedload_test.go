package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/cierzo"
)

const (
	// mixedEvents is the number of events of each stream.
	mixedEvents = 8
	// mixedObjective is the objective of the quick streams in cierzo.ContendedRoutes.
	mixedObjective = 300 * time.Millisecond
	// settleTime is how long after a burst its requests may still affect others.
	settleTime = time.Second
)

// mixedKind is one kind of requests: its path prefix, method, prompt tokens and interval.
type mixedKind struct {
	prefix, method, tokens string
	interval               time.Duration
}

// mixedKinds holds the kinds of requests of mixedLoad.
var mixedKinds = map[string]mixedKind{
	"quick":  {prefix: "/q/", method: http.MethodPost, tokens: "5000,200", interval: 50 * time.Millisecond},
	"long":   {prefix: "/l/", method: http.MethodPost, tokens: "100000,400", interval: 1200 * time.Millisecond},
	"safe":   {prefix: "/r/", method: http.MethodGet, tokens: "", interval: 120 * time.Millisecond},
	"unsafe": {prefix: "/u/", method: http.MethodPost, tokens: "", interval: 120 * time.Millisecond},
}

// mixedResult is the result of one request.
type mixedResult struct {
	id, kind, phase string
	begin, end      time.Time
	// firstByte is the time until the first byte of the body.
	firstByte time.Duration
	// status is 0 if there was no answer.
	status int
	body   string
	err    error
	// ofBurst reports whether the request is part of a burst.
	ofBurst bool
}

// String describes the result for a failure message.
func (r mixedResult) String() string {
	return fmt.Sprintf("%s (%s): status %d, error %v, body %.80q, after %v", r.id, r.kind, r.status, r.err, r.body, r.end.Sub(r.begin))
}

// complete reports whether the caller got the whole answer.
func (r mixedResult) complete() bool {
	if r.status != http.StatusOK || r.err != nil {
		return false
	}
	if r.kind == "quick" || r.kind == "long" {
		return r.body == cierzo.Stream(1, mixedEvents)
	}
	return strings.HasPrefix(r.body, "answer of ")
}

// refused reports whether the request was refused with the guarantee that it has not run.
func (r mixedResult) refused() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

// mixedLoad sends requests of all kinds, as a balancer does to the entries in turn.
type mixedLoad struct {
	ctx    context.Context
	cancel context.CancelFunc
	client *http.Client
	group  errgroup.Group

	mu      sync.Mutex
	entries []*gatewayProcess
	phase   string
	number  int
	results []mixedResult
	// bursts holds the begin and the end of each burst.
	bursts [][2]time.Time
}

// newMixedLoad returns a load without entries.
func newMixedLoad(ctx context.Context) *mixedLoad {
	ctx, cancel := context.WithCancel(ctx)
	return &mixedLoad{ctx: ctx, cancel: cancel, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// add adds an entry to those that get requests.
func (l *mixedLoad) add(entry *gatewayProcess) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry)
}

// remove removes an entry from those that get requests.
func (l *mixedLoad) remove(entry *gatewayProcess) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e *gatewayProcess) bool { return e == entry })
}

// setPhase names the phase in which the next requests are sent.
func (l *mixedLoad) setPhase(phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.phase = phase
}

// start sends requests of each kind at its interval until end is called.
func (l *mixedLoad) start() {
	for name, kind := range mixedKinds {
		l.group.Go(func() error {
			ticker := time.NewTicker(kind.interval)
			defer ticker.Stop()
			for {
				select {
				case <-l.ctx.Done():
					return nil
				case <-ticker.C:
					l.group.Go(func() error { l.send(name, false); return nil })
				}
			}
		})
	}
}

// burst sends many quick requests at once and waits until all have ended.
func (l *mixedLoad) burst(size int) {
	begin := time.Now()
	var group errgroup.Group
	for range size {
		group.Go(func() error { l.send("quick", true); return nil })
	}
	_ = group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bursts = append(l.bursts, [2]time.Time{begin, time.Now().Add(settleTime)})
}

// end stops sending and waits until all requests have ended.
func (l *mixedLoad) end() {
	l.cancel()
	_ = l.group.Wait()
}

// next returns the entry, the number and the phase of the next request.
func (l *mixedLoad) next() (entry *gatewayProcess, number int, phase string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.number++
	return l.entries[l.number%len(l.entries)], l.number, l.phase
}

// send sends one request and records its result. It goes on after the load has ended.
func (l *mixedLoad) send(name string, ofBurst bool) {
	kind := mixedKinds[name]
	entry, number, phase := l.next()
	result := mixedResult{id: fmt.Sprintf("%s/%d", phase, number), kind: name, phase: phase, ofBurst: ofBurst, begin: time.Now()}
	result.status, result.firstByte, result.body, result.err = l.exchange(entry, kind, result.id)
	result.end = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// exchange sends a request to an entry and returns the status, the time until the first byte of the body, the body and
// the error of the connection.
func (l *mixedLoad) exchange(entry *gatewayProcess, kind mixedKind, id string) (int, time.Duration, string, error) {
	begin := time.Now()
	url := fmt.Sprintf("http://%s%sx", entry.caller, kind.prefix)
	request, err := http.NewRequestWithContext(context.WithoutCancel(l.ctx), kind.method, url, strings.NewReader(id))
	if err != nil {
		return 0, 0, "", err
	}
	request.Host = "app.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Credential", gatewayKey)
	if kind.tokens != "" {
		request.Header.Set("X-Token-Counts", kind.tokens)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return 0, 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, _ = reader.Peek(1)
	firstByte := time.Since(begin)
	body, err := io.ReadAll(reader)
	return response.StatusCode, firstByte, string(body), err
}

// isCalm reports whether a request was sent and answered outside of all bursts.
func (l *mixedLoad) isCalm(r mixedResult) bool {
	return !r.ofBurst && !slices.ContainsFunc(l.bursts, func(b [2]time.Time) bool {
		return r.begin.Before(b[1]) && r.end.After(b[0])
	})
}

// check checks the results of all requests against each other and against what the endpoints received. A failure shows
// what the log files say about the request.
func (l *mixedLoad) check(t *testing.T, endpoints []*cierzo.Endpoint, logs []string) {
	t.Helper()
	fail := func(problem string, r mixedResult) {
		t.Errorf("%s: %v\n%s", problem, r, logLines(t, r.id, logs...))
	}
	runs := make(map[string]int)
	for _, k := range endpoints {
		for _, r := range k.Requests() {
			if r.Ran {
				runs[r.Header.Get("X-Attempt-Id")]++
			}
		}
	}
	calm, complete, refused := 0, 0, 0
	firstBytes := make(map[string][]time.Duration)
	for _, r := range l.results {
		switch {
		case r.complete():
			complete++
		case !r.refused():
			fail("broken", r)
		case l.isCalm(r):
			fail("refused in a calm moment", r)
		default:
			refused++
		}
		if r.refused() && runs[r.id] > 0 {
			fail(fmt.Sprintf("refused, but sent to endpoints %d times", runs[r.id]), r)
		}
		if r.kind == "unsafe" && runs[r.id] > 1 {
			fail(fmt.Sprintf("ran %d times", runs[r.id]), r)
		}
		if l.isCalm(r) {
			calm++
			if r.kind == "quick" {
				firstBytes[r.phase] = append(firstBytes[r.phase], r.firstByte)
			}
		}
	}
	for phase, times := range firstBytes {
		slices.Sort(times)
		if median := times[len(times)/2]; median > mixedObjective {
			t.Errorf("phase %s: the median first byte of %d quick streams came after %v, want %v", phase, len(times), median, mixedObjective)
		}
	}
	t.Logf("%d requests: %d complete, %d refused in bursts; %d sent in calm moments, phases %d", len(l.results), complete, refused, calm, len(firstBytes))
	if len(firstBytes) != 9 {
		t.Errorf("quick streams were sent in calm moments of %d phases, want 9", len(firstBytes))
	}
}
