package e2e

import (
	"context"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
)

const (
	// answerTokens is the length of the requested answers in tokens.
	answerTokens = 32
	// promptTokens is the length of the short prompts in tokens.
	promptTokens = 1000
)

// load sends short requests through entries until it is stopped. Each of its senders sends one request at a time.
type load struct {
	group errgroup.Group
	stop  context.CancelFunc
	// served is the number of complete, correct answers.
	served atomic.Int64
	// incorrect is the latest complete answer with a wrong text.
	incorrect atomic.Pointer[answer]
	// interrupted is the number of requests that got neither a complete answer nor an error with a state, or whose answer
	// could not be read.
	interrupted atomic.Int64
}

// startLoad starts the given number of senders, which use the entries in turn.
func startLoad(t *testing.T, senders int, entries ...*entry) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{stop: cancel}
	for sender := range senders {
		l.group.Go(func() error {
			for number := sender * 1_000_000; ctx.Err() == nil; number++ {
				l.sendOne(t.Context(), entries[number%len(entries)], number)
			}
			return nil
		})
	}
	return l
}

// sendOne sends one request and records its outcome. An error with a state is not counted.
func (l *load) sendOne(ctx context.Context, e *entry, number int) {
	prompt := makePrompt(number, promptTokens)
	a := streamRequest(ctx, e.caller, "summary", prompt, answerTokens)
	switch {
	case a.err != nil || a.status == 0 || !a.complete && a.state == "":
		l.interrupted.Add(1)
		time.Sleep(pollInterval)
	case !a.correct(prompt, answerTokens):
		l.incorrect.Store(&a)
	case a.complete:
		l.served.Add(1)
	default:
		time.Sleep(pollInterval)
	}
}

// end stops the load and waits for the last answers.
func (l *load) end() {
	l.stop()
	_ = l.group.Wait()
}

// check fails the test if an answer was incorrect or no request was served.
func (l *load) check(t *testing.T) {
	t.Helper()
	if a := l.incorrect.Load(); a != nil {
		t.Errorf("incorrect answer: %s", a)
	}
	if l.served.Load() == 0 {
		t.Error("no request was served")
	}
}

// waitMemoryFree waits until none of the entries reports used memory at any endpoint.
func (d *deployment) waitMemoryFree(entries ...*entry) {
	d.t.Helper()
	d.waitUntil("no memory is used", func() bool {
		for _, e := range entries {
			s, ok := fetchStatus(e)
			if !ok {
				return false
			}
			for _, endpoint := range s.Endpoints {
				if endpoint.Used > 0 {
					return false
				}
			}
		}
		return true
	})
}

func TestGracefulShutdownCutsNothing(t *testing.T) {
	d := deploy(t, 1)
	l := startLoad(t, 6, d.entries[1], d.entries[2])
	leaving := startLoad(t, 3, d.entries[0])
	d.waitUntil("requests are served", func() bool { return l.served.Load() > 5 && leaving.served.Load() > 2 })
	d.entries[0].signal(t, syscall.SIGTERM)
	d.waitUntil("the stopping entry is not ready", func() bool {
		s, ok := fetchStatus(d.entries[0])
		return ok && !s.Ready
	})
	leaving.end()
	if err := d.entries[0].command.Wait(); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
	servedBefore := l.served.Load()
	d.waitUntil("the other entries keep serving", func() bool { return l.served.Load() > servedBefore+10 })
	l.end()
	l.check(t)
	leaving.check(t)
	if interrupted := l.interrupted.Load() + leaving.interrupted.Load(); interrupted != 0 {
		t.Errorf("%d requests were interrupted", interrupted)
	}
	d.waitMemoryFree(d.entries[1:]...)
}

func TestKilledEntryLeavesOthersServing(t *testing.T) {
	d := deploy(t, 1)
	l := startLoad(t, 6, d.entries[1], d.entries[2])
	killed := startLoad(t, 3, d.entries[0])
	d.waitUntil("requests are served", func() bool { return l.served.Load() > 5 && killed.served.Load() > 2 })
	d.entries[0].signal(t, syscall.SIGKILL)
	killed.end()
	servedBefore := l.served.Load()
	d.waitUntil("the other entries keep serving", func() bool { return l.served.Load() > servedBefore+10 })
	d.startEntry(d.entries[0])
	d.waitReady(d.entries[0])
	back := startLoad(t, 2, d.entries[0])
	d.waitUntil("the new entry serves", func() bool { return back.served.Load() > 3 })
	back.end()
	l.end()
	l.check(t)
	back.check(t)
	if interrupted := l.interrupted.Load() + back.interrupted.Load(); interrupted != 0 {
		t.Errorf("%d requests of live entries were interrupted", interrupted)
	}
	d.waitMemoryFree(d.entries...)
}

func TestFrozenEntryLeavesOthersServing(t *testing.T) {
	d := deploy(t, 1)
	l := startLoad(t, 6, d.entries[1], d.entries[2])
	frozen := startLoad(t, 3, d.entries[0])
	d.waitUntil("requests are served", func() bool { return l.served.Load() > 5 && frozen.served.Load() > 2 })
	d.entries[0].signal(t, syscall.SIGSTOP)
	servedBefore := l.served.Load()
	d.waitUntil("the other entries keep serving", func() bool { return l.served.Load() > servedBefore+10 })
	time.Sleep(freezeTime)
	d.entries[0].signal(t, syscall.SIGCONT)
	servedAtResume := frozen.served.Load()
	d.waitUntil("the entry serves again", func() bool { return frozen.served.Load() > servedAtResume+3 })
	frozen.end()
	l.end()
	l.check(t)
	frozen.check(t)
	if interrupted := l.interrupted.Load(); interrupted != 0 {
		t.Errorf("%d requests of live entries were interrupted", interrupted)
	}
	d.waitMemoryFree(d.entries...)
}

// freezeTime is how long TestFrozenEntryLeavesOthersServing pauses an entry; it is longer than every lease between
// entries.
const freezeTime = 20 * time.Second

func TestPlatformOutageLeavesReadingGoing(t *testing.T) {
	d := deploy(t, 1)
	d.control(d.platform, `{"outage":true}`)
	l := startLoad(t, 6, d.entries...)
	d.waitUntil("requests are served without the platform", func() bool { return l.served.Load() > 20 })
	a := callService(t.Context(), d.entries[0].caller, "credit_filing", newIdempotencyKey())
	if a.state != "not_run" || a.retryAfter <= 0 {
		t.Errorf("an at-most-once call without the store got %s, want not_run with a retry delay", a)
	}
	d.control(d.platform, `{"outage":false}`)
	d.waitUntil("at-most-once calls succeed again", func() bool {
		return callService(t.Context(), d.entries[0].caller, "credit_filing", newIdempotencyKey()).complete
	})
	l.end()
	l.check(t)
	if interrupted := l.interrupted.Load(); interrupted != 0 {
		t.Errorf("%d requests were interrupted", interrupted)
	}
}

func TestCrashingRequestLosesTwoEngines(t *testing.T) {
	d := deploy(t, 2, "--cold-time", "200ms", "--restart-time", "500ms")
	l := startLoad(t, 3, d.entries...)
	d.waitUntil("requests are served", func() bool { return l.served.Load() > 10 })
	prompt := makePrompt(1, promptTokens) + "[[crash-engine]]"
	for i := range 9 {
		a := streamRequest(t.Context(), d.entries[i%len(d.entries)].caller, "summary", prompt, answerTokens)
		if a.complete || a.state == "" {
			t.Errorf("crashing request got %s, want an error with a state", a)
		}
	}
	if deaths := d.sumCounts().Deaths; deaths < 1 || deaths > 2 {
		t.Errorf("one request killed %d engines, want 1 or 2", deaths)
	}
	l.end()
	l.check(t)
	if interrupted := l.interrupted.Load(); interrupted != 0 {
		t.Errorf("%d healthy requests were interrupted", interrupted)
	}
}

// engineCounts is the part of an engine's counts that the tests read.
type engineCounts struct {
	Attempts       int `json:"attempts"`
	Deaths         int `json:"deaths"`
	OverloadDeaths int `json:"overload_deaths"`
}

// sumCounts returns the sums of the counts of the given engines, or of all engines if none is given.
func (d *deployment) sumCounts(engines ...netip.AddrPort) engineCounts {
	d.t.Helper()
	if len(engines) == 0 {
		engines = d.engines
	}
	var total engineCounts
	for _, address := range engines {
		var stats engineCounts
		if err := getJSON(address, "/control/stats", &stats); err != nil {
			d.t.Fatal(err)
		}
		total.Attempts += stats.Attempts
		total.Deaths += stats.Deaths
		total.OverloadDeaths += stats.OverloadDeaths
	}
	return total
}

// newIdempotencyKey returns a new idempotency key, a UUIDv7, which contains its creation time.
func newIdempotencyKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
