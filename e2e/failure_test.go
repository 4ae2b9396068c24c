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
	// answerTokens is the length of the answers that the tests ask for.
	answerTokens = 32
	// promptTokens is the length of their short prompts.
	promptTokens = 1000
)

// load sends short requests through entries, one after the other in each of several lanes, until it is stopped.
type load struct {
	group  errgroup.Group
	stop   context.CancelFunc
	served atomic.Int64
	untrue atomic.Pointer[answer]
	cut    atomic.Int64
}

// startLoad starts lanes that send through the entries in turn; answers that are no answers count as cut.
func startLoad(t *testing.T, lanes int, entries ...*entry) *load {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	l := &load{stop: cancel}
	for lane := range lanes {
		l.group.Go(func() error {
			for number := lane * 1_000_000; ctx.Err() == nil; number++ {
				l.one(t.Context(), entries[number%len(entries)], number)
			}
			return nil
		})
	}
	return l
}

// one sends one request and judges its answer.
func (l *load) one(ctx context.Context, e *entry, number int) {
	prompt := promptOf(number, promptTokens)
	a := ask(ctx, e.caller, "summary", prompt, answerTokens)
	switch {
	case a.problem != nil || a.status == 0 || !a.whole && a.state == "":
		l.cut.Add(1)
		time.Sleep(pollTime)
	case !a.truthful(prompt, answerTokens):
		l.untrue.Store(&a)
	case a.whole:
		l.served.Add(1)
	default:
		time.Sleep(pollTime)
	}
}

// end stops the load and waits for its last answers.
func (l *load) end() {
	l.stop()
	_ = l.group.Wait()
}

// check fails the test on an answer that was not true.
func (l *load) check(t *testing.T) {
	t.Helper()
	if a := l.untrue.Load(); a != nil {
		t.Errorf("untrue answer: %s", a)
	}
	if l.served.Load() == 0 {
		t.Error("no request was served")
	}
}

// allMemoryFree waits until no owner counts any memory as used.
func (d *deployment) allMemoryFree(entries ...*entry) {
	d.t.Helper()
	d.eventually("all memory is free again", func() bool {
		for _, e := range entries {
			s, ok := statusOf(e)
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
	d.eventually("requests are served", func() bool { return l.served.Load() > 5 && leaving.served.Load() > 2 })
	d.entries[0].signal(t, syscall.SIGTERM)
	d.eventually("the balancer is told", func() bool {
		s, ok := statusOf(d.entries[0])
		return ok && !s.Ready
	})
	leaving.end()
	if err := d.entries[0].command.Wait(); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
	before := l.served.Load()
	d.eventually("the others go on", func() bool { return l.served.Load() > before+10 })
	l.end()
	l.check(t)
	leaving.check(t)
	if cut := l.cut.Load() + leaving.cut.Load(); cut != 0 {
		t.Errorf("%d requests were cut", cut)
	}
	d.allMemoryFree(d.entries[1:]...)
}

func TestKilledEntryLeavesOthersServing(t *testing.T) {
	d := deploy(t, 1)
	l := startLoad(t, 6, d.entries[1], d.entries[2])
	killed := startLoad(t, 3, d.entries[0])
	d.eventually("requests are served", func() bool { return l.served.Load() > 5 && killed.served.Load() > 2 })
	d.entries[0].signal(t, syscall.SIGKILL)
	killed.end()
	before := l.served.Load()
	d.eventually("the others go on", func() bool { return l.served.Load() > before+10 })
	d.startEntry(d.entries[0])
	d.waitReady(d.entries[0])
	back := startLoad(t, 2, d.entries[0])
	d.eventually("the new entry serves", func() bool { return back.served.Load() > 3 })
	back.end()
	l.end()
	l.check(t)
	back.check(t)
	if cut := l.cut.Load() + back.cut.Load(); cut != 0 {
		t.Errorf("%d requests of live entries were cut", cut)
	}
	d.allMemoryFree(d.entries...)
}

func TestFrozenEntryLeavesOthersServing(t *testing.T) {
	d := deploy(t, 1)
	l := startLoad(t, 6, d.entries[1], d.entries[2])
	frozen := startLoad(t, 3, d.entries[0])
	d.eventually("requests are served", func() bool { return l.served.Load() > 5 && frozen.served.Load() > 2 })
	d.entries[0].signal(t, syscall.SIGSTOP)
	before := l.served.Load()
	d.eventually("the others go on", func() bool { return l.served.Load() > before+10 })
	time.Sleep(freezeTime)
	d.entries[0].signal(t, syscall.SIGCONT)
	served := frozen.served.Load()
	d.eventually("the entry serves again", func() bool { return frozen.served.Load() > served+3 })
	frozen.end()
	l.end()
	l.check(t)
	frozen.check(t)
	if cut := l.cut.Load(); cut != 0 {
		t.Errorf("%d requests of live entries were cut", cut)
	}
	d.allMemoryFree(d.entries...)
}

// freezeTime is longer than every lease between entries.
const freezeTime = 20 * time.Second

func TestPlatformOutageLeavesReadingGoing(t *testing.T) {
	d := deploy(t, 1)
	d.control(d.platform, `{"outage":true}`)
	l := startLoad(t, 6, d.entries...)
	d.eventually("requests are served without the platform", func() bool { return l.served.Load() > 20 })
	a := call(t.Context(), d.entries[0].caller, "credit_filing", newKey())
	if a.state != "not_run" || a.retry <= 0 {
		t.Errorf("an at-most-once call without the store got %s", a)
	}
	d.control(d.platform, `{"outage":false}`)
	d.eventually("at-most-once calls are taken again", func() bool {
		return call(t.Context(), d.entries[0].caller, "credit_filing", newKey()).whole
	})
	l.end()
	l.check(t)
	if cut := l.cut.Load(); cut != 0 {
		t.Errorf("%d requests were cut", cut)
	}
}

func TestCrashingRequestLosesTwoEngines(t *testing.T) {
	d := deploy(t, 2, "--cold-time", "200ms", "--restart-time", "500ms")
	l := startLoad(t, 3, d.entries...)
	d.eventually("requests are served", func() bool { return l.served.Load() > 10 })
	prompt := promptOf(1, promptTokens) + "[[crash-engine]]"
	for i := range 9 {
		a := ask(t.Context(), d.entries[i%len(d.entries)].caller, "summary", prompt, answerTokens)
		if a.whole || a.state == "" {
			t.Errorf("crashing request got %s", a)
		}
	}
	if deaths := d.stats().Deaths; deaths < 1 || deaths > 2 {
		t.Errorf("%d engines were lost to one request, want 1 or 2", deaths)
	}
	l.end()
	l.check(t)
	if cut := l.cut.Load(); cut != 0 {
		t.Errorf("%d healthy requests were cut", cut)
	}
}

// engineStats is the part of an engine's counts that the tests look at.
type engineStats struct {
	Attempts       int `json:"attempts"`
	Deaths         int `json:"deaths"`
	OverloadDeaths int `json:"overload_deaths"`
}

// stats sums up the counts of the given engines, or of all.
func (d *deployment) stats(engines ...netip.AddrPort) engineStats {
	d.t.Helper()
	if len(engines) == 0 {
		engines = d.engines
	}
	var total engineStats
	for _, address := range engines {
		var stats engineStats
		if err := getJSON(address, "/control/stats", &stats); err != nil {
			d.t.Fatal(err)
		}
		total.Attempts += stats.Attempts
		total.Deaths += stats.Deaths
		total.OverloadDeaths += stats.OverloadDeaths
	}
	return total
}

// newKey returns an idempotency key, which carries its time.
func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
