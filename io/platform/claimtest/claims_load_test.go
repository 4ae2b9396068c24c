package claimtest

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/idempotency"
	"wisteriadyke/io/platform"
	standin "wisteriadyke/standin/platform"
)

// Sizes of the load test: entries as today, and a store at the lower end of what the platform gives.
const (
	loadEntries = 9
	storeWrites = 300
	storeReads  = 2000
	entryWrites = 30
	loadTime    = 4 * time.Second
)

// loadReport tells what a load of calls met.
type loadReport struct {
	mu        sync.Mutex
	states    map[idempotency.State]int
	durations []time.Duration
	stats     standin.Stats
}

// add notes one call; an answered call's time is without the service's own.
func (r *loadReport) add(state idempotency.State, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[state]++
	if state == idempotency.StateDone {
		r.durations = append(r.durations, took)
	}
}

// quantile returns a quantile of the times of answered calls.
func (r *loadReport) quantile(share float64) time.Duration {
	if len(r.durations) == 0 {
		return 0
	}
	slices.Sort(r.durations)
	return r.durations[int(share*float64(len(r.durations)-1))].Round(time.Millisecond)
}

// serviceTime is how long the service takes for a call.
const serviceTime = 50 * time.Millisecond

// playLoad sends calls at an even mean rate to all entries.
func playLoad(rate, batch int) *loadReport {
	report := &loadReport{states: make(map[idempotency.State]int)}
	var store standin.Store
	store.Faults.Set(standin.FaultSettings{WriteLimit: storeWrites, ReadLimit: storeReads})
	d := newDice(1)
	ctx, cancel := context.WithCancel(context.Background())
	var running, calls errgroup.Group
	var callers []*idempotency.Executor
	for range loadEntries {
		tables := &wire{gate: newGate(), store: &store, dice: d, group: &running, faults: func() float64 { return 0 }}
		c := &idempotency.Executor{
			Store:  &platform.Claims{Tables: tables},
			Limits: idempotency.Limits{WritesPerSecond: entryWrites, ReadsPerSecond: storeReads / loadEntries, MaxBatchRows: batch},
		}
		running.Go(func() error { return c.Run(ctx) })
		callers = append(callers, c)
	}
	for i := range rate * int(loadTime/time.Second) {
		time.Sleep(d.upTo(2 * time.Second / time.Duration(rate)))
		c := callers[d.below(loadEntries)]
		calls.Go(func() error {
			began := time.Now()
			result, err := c.Do(ctx, loadKey(i), idempotency.Digest{}, func(context.Context) (idempotency.Answer, idempotency.SendOutcome) {
				time.Sleep(serviceTime)
				return idempotency.Answer{}, idempotency.SendAnswered
			})
			report.add(result.State, time.Since(began)-serviceTime)
			return err
		})
	}
	_ = calls.Wait()
	cancel()
	_ = running.Wait()
	report.stats = store.Stats()
	return report
}

// loadKey returns the i-th key of the present time.
func loadKey(i int) idempotency.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(time.Now().UnixMilli())<<16)
	id[6], id[8] = 7<<4, 1<<7
	binary.BigEndian.PutUint32(id[12:], uint32(i))
	key, _ := idempotency.ParseKey("acme", id.String())
	return key
}

// TestClaimsStayWithinTheStoresLimits offers more calls than the store takes writes.
func TestClaimsStayWithinTheStoresLimits(t *testing.T) {
	tests := map[string]struct {
		rate    int
		batch   int
		allDone bool
	}{
		"100 calls a second":            {rate: 100, batch: 64, allDone: true},
		"600 calls a second":            {rate: 600, batch: 64, allDone: true},
		"2000 calls a second":           {rate: 2000, batch: 64, allDone: true},
		"100 calls a second, unbatched": {rate: 100, batch: 1},
		"600 calls a second, unbatched": {rate: 600, batch: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var report *loadReport
			synctest.Test(t, func(*testing.T) { report = playLoad(test.rate, test.batch) })
			t.Logf("states %v, p50 %s, p99 %s beside the service's %s, %d transactions, %d rows, %d throttled",
				report.states, report.quantile(0.5), report.quantile(0.99), serviceTime,
				report.stats.Transactions, report.stats.Writes, report.stats.Throttled)
			if report.stats.Throttled > 0 {
				t.Errorf("%d calls of the store were over its limits", report.stats.Throttled)
			}
			if test.allDone && len(report.states) != 1 {
				t.Errorf("states %v, want all calls done", report.states)
			}
		})
	}
}
