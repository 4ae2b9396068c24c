package e2e

import (
	"context"
	"fmt"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// filing is one at-most-once call, which its caller sends with the same idempotency key up to six times until it
// succeeds, and the answers to it.
type filing struct {
	key     string
	answers []answer
}

// filings sends at-most-once calls through all entries, each up to six times until it succeeds.
type filings struct {
	mu    sync.Mutex
	group errgroup.Group
	stop  context.CancelFunc
	all   []*filing
	// done is the number of calls that succeeded.
	done atomic.Int64
}

// startFilings starts the given number of senders, each of which sends one filing at a time.
func startFilings(t *testing.T, senders int, entries []*entry) *filings {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := &filings{stop: cancel}
	for sender := range senders {
		f.group.Go(func() error {
			for turn := sender; ctx.Err() == nil; turn++ {
				f.sendFiling(t.Context(), entries, turn)
			}
			return nil
		})
	}
	return f
}

// sendFiling sends one filing and repeats it through the next entry until it succeeds, up to six times in all.
func (f *filings) sendFiling(ctx context.Context, entries []*entry, turn int) {
	one := &filing{key: newIdempotencyKey()}
	f.mu.Lock()
	f.all = append(f.all, one)
	f.mu.Unlock()
	for try := range 6 {
		a := callService(ctx, entries[(turn+try)%len(entries)].caller, "credit_filing", one.key)
		one.answers = append(one.answers, a)
		if a.complete {
			f.done.Add(1)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// end stops the senders and waits for the last answers.
func (f *filings) end() {
	f.stop()
	_ = f.group.Wait()
}

// fetchRuns returns how many times the plain service ran the call with an idempotency key.
func fetchRuns(service netip.AddrPort, key string) (int, error) {
	var body struct {
		Runs int `json:"runs"`
	}
	err := getJSON(service, "/control/runs?call_id="+url.QueryEscape("cierzo/"+key), &body)
	return body.Runs, err
}

// check fails the test if the answers to a filing contradict how many times the plain service ran it, or if no call
// succeeded.
func (f *filings) check(t *testing.T, service netip.AddrPort) {
	t.Helper()
	if f.done.Load() == 0 {
		t.Error("no call succeeded")
	}
	for _, one := range f.all {
		runs, err := fetchRuns(service, one.key)
		if err != nil {
			t.Fatal(err)
		}
		if problem := one.verify(runs); problem != "" {
			t.Errorf("call %s: %s; answers %v", one.key, problem, one.answers)
		}
	}
}

// verify returns what is wrong with the answers to a filing that ran the given number of times, or "".
func (o *filing) verify(runs int) string {
	last := o.answers[len(o.answers)-1]
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case last.complete && runs != 1:
		return "got a complete answer but did not run"
	case last.state == "not_run" && len(o.answers) == 1 && runs != 0:
		return "ran though its answer was not_run"
	}
	return ""
}

func TestFilingsRunAtMostOnceWhileEntriesAreKilled(t *testing.T) {
	d := deploy(t, 1)
	f := startFilings(t, 6, d.entries)
	for i := range 3 {
		target := f.done.Load() + 10
		d.waitUntil("calls are done", func() bool { return f.done.Load() > target })
		d.entries[i].signal(t, syscall.SIGKILL)
		_ = d.entries[i].command.Wait()
		d.startEntry(d.entries[i])
		d.waitReady(d.entries[i])
	}
	f.end()
	f.check(t, d.service)
}

func TestFilingsRunAtMostOnceWhileEntriesFreeze(t *testing.T) {
	d := deploy(t, 1)
	f := startFilings(t, 6, d.entries)
	for i := range 2 {
		target := f.done.Load() + 10
		d.waitUntil("calls are done", func() bool { return f.done.Load() > target })
		d.entries[i].signal(t, syscall.SIGSTOP)
		time.Sleep(freezeTime / 4)
		d.entries[i].signal(t, syscall.SIGCONT)
	}
	f.end()
	f.check(t, d.service)
}

func TestFilingsRunAtMostOnceWhileTheStoreLosesAnswers(t *testing.T) {
	d := deploy(t, 1)
	d.control(d.platform, `{"lose_answers":0.3}`)
	f := startFilings(t, 6, d.entries)
	d.waitUntil("calls are done", func() bool { return f.done.Load() > 60 })
	d.control(d.platform, `{"outage":true,"lose_answers":0}`)
	time.Sleep(2 * time.Second)
	d.control(d.platform, `{"outage":false}`)
	target := f.done.Load() + 20
	d.waitUntil("calls are done after the outage", func() bool { return f.done.Load() > target })
	f.end()
	f.check(t, d.service)
}
