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
	// faultTime is the default time during which faults are started in one run.
	faultTime = 10 * time.Second
	// recoveryTime is how long after the last fault all entries must serve every kind of request again.
	recoveryTime = 10 * time.Second
	// checkPeriod is the time between two checks of the oracle while the soak runs.
	checkPeriod = time.Second
	// stallCheckPeriod is the time between two checks for stalls of the soak process. A check that is more than minStall
	// late counts as a stall; minStall is an eighth of the callers' deadline.
	stallCheckPeriod = 50 * time.Millisecond
	minStall         = 500 * time.Millisecond
	// restoreStream distinguishes the random numbers for restores of the store from those for the other faults.
	restoreStream = 1
	// limitStream and crashStream do so for limits of endpoints and for requests that crash endpoints.
	limitStream = 2
	crashStream = 3
	// pathStream does so for cuts of the paths to all endpoints, and cutStream for the one that is checked alone.
	pathStream = 4
	cutStream  = 5
	// partitionStream does so for the partition between the zones.
	partitionStream = 6
	// defaultEntries is the default number of entries in a run.
	defaultEntries = 5
)

// binary is the path of the program under test, which is built once.
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

// TestSoak runs the seeds that have failed before and SOAK_SEEDS further ones (default 1). With SOAK_FIRST_SEED it runs
// only SOAK_SEEDS seeds from that one on.
func TestSoak(t *testing.T) {
	seeds := readSeeds(t)
	first := envInt("SOAK_FIRST_SEED", 1)
	if os.Getenv("SOAK_FIRST_SEED") != "" {
		seeds = nil
	}
	for i := range envInt("SOAK_SEEDS", 1) {
		seeds = append(seeds, uint64(first+i))
	}
	for _, seed := range seeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed) })
	}
}

// readSeeds returns the seeds in testdata/seeds.txt, which have failed before.
func readSeeds(t *testing.T) []uint64 {
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

// envInt returns the value of an environment variable, or fallback if it is not an integer.
func envInt(name string, fallback int) int {
	if value, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return value
	}
	return fallback
}

// runSeed runs a deployment under the faults of one seed. It fails the test for each violation, or if less than a
// quarter of the attempts succeeded.
func runSeed(t *testing.T, seed uint64) {
	w := newDeployment(t, envInt("SOAK_ENTRIES", defaultEntries))
	defer w.close()
	r := rand.New(rand.NewPCG(seed, seed))
	callerCtx, stopCallers := context.WithCancel(context.Background())
	var group errgroup.Group
	for i := range callerCount {
		c := newCaller(w, i)
		group.Go(func() error { return c.run(callerCtx) })
	}
	stallCtx, endStallWatch := context.WithCancel(context.Background())
	group.Go(func() error {
		w.watchStalls(stallCtx)
		return nil
	})
	checkCtx, endChecks := context.WithCancel(context.Background())
	violations := make(chan []string, 1)
	group.Go(func() error {
		violations <- w.checkPeriodically(checkCtx)
		return nil
	})
	total := time.Duration(envInt("SOAK_SECONDS", int(faultTime/time.Second))) * time.Second
	var hazards errgroup.Group
	for stream, run := range map[uint64]func(*rand.Rand, time.Duration, func(string, ...any)){
		restoreStream: w.runRestores, limitStream: w.runLimits, crashStream: w.runCrashes,
		pathStream: w.runPathCuts,
	} {
		hazards.Go(func() error {
			run(rand.New(rand.NewPCG(seed, stream)), total, t.Logf)
			return nil
		})
	}
	w.runFaults(r, total, t.Logf)
	_ = hazards.Wait()
	w.checkRecovery()
	w.checkPathCut(rand.New(rand.NewPCG(seed, cutStream)), t.Logf)
	w.checkPartition(rand.New(rand.NewPCG(seed, partitionStream)), t.Logf)
	stopCallers()
	time.Sleep(leakTime)
	endChecks()
	endStallWatch()
	_ = group.Wait()
	w.checkLeaks()
	found := append(<-violations, w.otherViolations...)
	for _, v := range found {
		t.Errorf("seed %d: %s", seed, v)
	}
	ended, succeeded := w.countAttempts()
	t.Logf("%d attempts ended, %d succeeded", ended, succeeded)
	if succeeded < ended/4 {
		t.Errorf("seed %d: only %d of %d attempts succeeded", seed, succeeded, ended)
	}
	if t.Failed() {
		w.saveLogs(seed)
	}
}

// watchStalls records the times during which the soak process itself did not run, until ctx ends. Each recorded span
// ends excuseTime after the stall.
func (w *deployment) watchStalls(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(stallCheckPeriod)
		now := time.Now()
		if now.Sub(last) > stallCheckPeriod+minStall {
			w.stateMu.Lock()
			w.stalls = append(w.stalls, &span{from: last, to: now.Add(excuseTime)})
			w.stateMu.Unlock()
			w.t.Logf("the soak process stalled for %v", now.Sub(last))
		}
		last = now
	}
}

// checkPeriodically runs the oracle periodically until it finds violations or ctx ends. It returns the violations,
// after a last check if ctx ended.
func (w *deployment) checkPeriodically(ctx context.Context) []string {
	for ctx.Err() == nil {
		w.stateMu.Lock()
		found := w.violations()
		w.stateMu.Unlock()
		if len(found) > 0 {
			return found
		}
		select {
		case <-ctx.Done():
		case <-time.After(checkPeriod):
		}
	}
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return w.violations()
}

// checkRecovery checks that each entry serves each kind of request again within recoveryTime after the last fault.
func (w *deployment) checkRecovery() {
	end := time.Now().Add(recoveryTime)
	for _, e := range w.entries {
		c := newCaller(w, 1000+e.number)
		for _, k := range []kind{kindSafe, kindOnce, kindStream} {
			for {
				a := c.newAttempt(e.number)
				for a.kind != k || a.key != permanentKey {
					a = c.newAttempt(e.number)
				}
				if c.send(a) {
					break
				}
				if time.Now().After(end) {
					w.recordViolation("recover: entry %d does not serve %s requests %v after the last fault (status %d)",
						e.number, k, recoveryTime, a.status)
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// checkLeaks checks that no endpoint, including the replaced ones, has active reservations.
func (w *deployment) checkLeaks() {
	for _, e := range append(w.removedEndpoints, w.endpoints...) {
		if n := e.ActiveReservations(time.Now()); n > 0 {
			w.recordViolation("leak: %d reservations at %s %v after the last request", n, e.ID, leakTime)
		}
	}
}

// countAttempts returns the number of ended attempts that were not canceled and how many of them succeeded.
func (w *deployment) countAttempts() (ended, succeeded int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		if a.endedAt.IsZero() || a.cancelled {
			continue
		}
		ended++
		if a.status/100 == 2 && a.complete {
			succeeded++
		}
	}
	return ended, succeeded
}

// saveLogs copies the logs of the entries to the folder SOAK_LOGS, if set. Each file name begins with the seed.
func (w *deployment) saveLogs(seed uint64) {
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
