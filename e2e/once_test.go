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

// filing is one at-most-once call that its caller sends until it knows the outcome.
type filing struct {
	key     string
	answers []answer
}

// filings sends at-most-once calls through all entries, each again until it is done or its outcome is unknown.
type filings struct {
	mu    sync.Mutex
	group errgroup.Group
	stop  context.CancelFunc
	all   []*filing
	done  atomic.Int64
}

// startFilings starts lanes that file one call after the other.
func startFilings(t *testing.T, lanes int, entries []*entry) *filings {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f := &filings{stop: cancel}
	for lane := range lanes {
		f.group.Go(func() error {
			for turn := lane; ctx.Err() == nil; turn++ {
				f.file(t.Context(), entries, turn)
			}
			return nil
		})
	}
	return f
}

// file sends one call, again through the next entry as long as it may be sent again.
func (f *filings) file(ctx context.Context, entries []*entry, turn int) {
	one := &filing{key: newKey()}
	f.mu.Lock()
	f.all = append(f.all, one)
	f.mu.Unlock()
	for try := range 6 {
		a := call(ctx, entries[(turn+try)%len(entries)].caller, "credit_filing", one.key)
		one.answers = append(one.answers, a)
		if a.whole {
			f.done.Add(1)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// end stops the lanes and waits for the last answers.
func (f *filings) end() {
	f.stop()
	_ = f.group.Wait()
}

// runsOf asks the plain service how often it ran a call.
func runsOf(service netip.AddrPort, key string) (int, error) {
	var body struct {
		Runs int `json:"runs"`
	}
	err := getJSON(service, "/control/runs?call_id="+url.QueryEscape("cierzo/"+key), &body)
	return body.Runs, err
}

// check compares what callers were told with what the plain service ran.
func (f *filings) check(t *testing.T, service netip.AddrPort) {
	t.Helper()
	if f.done.Load() == 0 {
		t.Error("no call was done")
	}
	for _, one := range f.all {
		runs, err := runsOf(service, one.key)
		if err != nil {
			t.Fatal(err)
		}
		if problem := one.judge(runs); problem != "" {
			t.Errorf("call %s: %s; answers %v", one.key, problem, one.answers)
		}
	}
}

// judge returns what is wrong with the answers of a call that ran so often, or "".
func (o *filing) judge(runs int) string {
	last := o.answers[len(o.answers)-1]
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case last.whole && runs != 1:
		return "was answered without a run"
	case last.state == "not_run" && len(o.answers) == 1 && runs != 0:
		return "ran though its caller was told it did not"
	}
	return ""
}

func TestFilingsRunAtMostOnceWhileEntriesAreKilled(t *testing.T) {
	d := deploy(t, 1)
	f := startFilings(t, 6, d.entries)
	for i := range 3 {
		target := f.done.Load() + 10
		d.eventually("calls are done", func() bool { return f.done.Load() > target })
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
		d.eventually("calls are done", func() bool { return f.done.Load() > target })
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
	d.eventually("calls are done", func() bool { return f.done.Load() > 60 })
	d.control(d.platform, `{"outage":true,"lose_answers":0}`)
	time.Sleep(2 * time.Second)
	d.control(d.platform, `{"outage":false}`)
	target := f.done.Load() + 20
	d.eventually("calls are done after the outage", func() bool { return f.done.Load() > target })
	f.end()
	f.check(t, d.service)
}
