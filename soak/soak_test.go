package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/program"
)

const (
	// faultTime is how long faults are begun in one run.
	faultTime = 10 * time.Second
	// recoverTime is how long after the last fault every entry must serve every kind of request again.
	recoverTime = 10 * time.Second
	// lookPeriod is the time between two looks of the oracle while the soak runs.
	lookPeriod = time.Second
	// beatPeriod is the time between two looks at whether the soak itself runs, and stallTime how late one is at least if it
	// does not: an eighth of what callers wait.
	beatPeriod = 50 * time.Millisecond
	stallTime  = 500 * time.Millisecond
	// defaultEntries is the number of entries of a run.
	defaultEntries = 5
)

// binary is the program under test, built once.
var binary string

func TestMain(m *testing.M) {
	code, err := program.RunWithBinary(func(path string) int {
		binary = path
		return m.Run()
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// TestSoak runs the seeds that have failed before and one more, or those that the environment names.
func TestSoak(t *testing.T) {
	seeds := knownSeeds(t)
	first := number("SOAK_FIRST_SEED", 1)
	if os.Getenv("SOAK_FIRST_SEED") != "" {
		seeds = nil
	}
	for i := range number("SOAK_SEEDS", 1) {
		seeds = append(seeds, uint64(first+i))
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { soak(t, seed) })
	}
}

// knownSeeds returns the seeds that have ever failed.
func knownSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "seeds.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var seeds []uint64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		word, _, _ := strings.Cut(lines.Text(), " ")
		if word == "" || strings.HasPrefix(word, "#") {
			continue
		}
		seed, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// number returns a number from the environment, or a default.
func number(name string, otherwise int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return otherwise
}

// soak plays the faults of one seed and fails for each broken promise.
func soak(t *testing.T, seed uint64) {
	w := newWorld(t, number("SOAK_ENTRIES", defaultEntries))
	defer w.close()
	r := rand.New(rand.NewPCG(seed, seed))
	calling, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	for i := range callers {
		c := newCaller(w, i)
		group.Go(func() error { return c.run(calling) })
	}
	beating, endBeats := context.WithCancel(context.Background())
	group.Go(func() error {
		w.beat(beating)
		return nil
	})
	looking, endLooks := context.WithCancel(context.Background())
	broken := make(chan []string, 1)
	group.Go(func() error {
		broken <- w.look(looking)
		return nil
	})
	w.schedule(r, time.Duration(number("SOAK_SECONDS", int(faultTime/time.Second)))*time.Second, t.Logf)
	w.recovers()
	stop()
	time.Sleep(leakTime)
	endLooks()
	endBeats()
	_ = group.Wait()
	w.leaks()
	found := append(<-broken, w.unexpected...)
	for _, v := range found {
		t.Errorf("seed %d: %s", seed, v)
	}
	ended, served := w.count()
	t.Logf("%d attempts, %d answered", ended, served)
	if served < ended/4 {
		t.Errorf("seed %d: only %d of %d attempts were answered", seed, served, ended)
	}
	if t.Failed() {
		w.keepLogs(seed)
	}
}

// beat notes the stretches in which the soak itself did not run, until ctx ends.
func (w *world) beat(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(beatPeriod)
		now := time.Now()
		if now.Sub(last) > beatPeriod+stallTime {
			w.changes.Lock()
			w.stalls = append(w.stalls, &span{from: last, to: now.Add(aftermath)})
			w.changes.Unlock()
			w.t.Logf("the soak itself stood still for %v", now.Sub(last))
		}
		last = now
	}
}

// look lets the oracle look again and again; it returns the first broken promises, or those at the end.
func (w *world) look(ctx context.Context) []string {
	for ctx.Err() == nil {
		w.changes.Lock()
		found := w.violations()
		w.changes.Unlock()
		if len(found) > 0 {
			return found
		}
		select {
		case <-ctx.Done():
		case <-time.After(lookPeriod):
		}
	}
	w.changes.Lock()
	defer w.changes.Unlock()
	return w.violations()
}

// recovers checks that each entry serves each kind of request again soon after the last fault.
func (w *world) recovers() {
	end := time.Now().Add(recoverTime)
	for _, e := range w.entries {
		c := newCaller(w, 1000+e.number)
		for _, k := range []kind{kindSafe, kindOnce, kindStream} {
			for {
				a := c.next(e.number)
				for a.kind != k || a.key != lastingKey {
					a = c.next(e.number)
				}
				if c.send(a) {
					break
				}
				if time.Now().After(end) {
					w.complain("recover: entry %d does not serve %s requests %v after the last fault (status %d)", e.number, k, recoverTime, a.status)
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// leaks checks that no memory stays reserved.
func (w *world) leaks() {
	for _, e := range append(w.gone, w.endpoints...) {
		if n := e.ActiveReservations(time.Now()); n > 0 {
			w.complain("leak: %d reservations at %s %v after the last request", n, e.ID, leakTime)
		}
	}
}

// count returns the number of attempts that have ended and of those that got a whole success.
func (w *world) count() (ended, served int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if a.endedAt.IsZero() || a.left {
			continue
		}
		ended++
		if a.status/100 == 2 && a.whole {
			served++
		}
	}
	return ended, served
}

// keepLogs copies the logs of the entries to where SOAK_LOGS tells.
func (w *world) keepLogs(seed uint64) {
	folder := os.Getenv("SOAK_LOGS")
	if folder == "" {
		return
	}
	for _, e := range w.entries {
		if text, err := os.ReadFile(e.log.Name()); err == nil {
			_ = os.WriteFile(filepath.Join(folder, strconv.FormatUint(seed, 10)+"-"+filepath.Base(e.log.Name())), text, 0o600)
		}
	}
}
