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

// Parameters of the load test: the usual number of entries; the store's limits of writes and reads per second, at the
// lower end of what the platform allows; an entry's limit of writes per second; the time for which calls are sent.
const (
	loadEntries = 9
	storeWrites = 300
	storeReads  = 2000
	entryWrites = 30
	loadTime    = 4 * time.Second
)

// loadReport contains the results of a load test.
type loadReport struct {
	mu        sync.Mutex
	states    map[idempotency.State]int
	durations []time.Duration
	stats     standin.Stats
}

// add counts the state of one call, and records the duration of a completed one, the service time excluded.
func (r *loadReport) add(state idempotency.State, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.states[state]++
	if state == idempotency.StateDone {
		r.durations = append(r.durations, duration)
	}
}

// quantile returns the quantile share, from 0 to 1, of the durations of completed calls.
func (r *loadReport) quantile(share float64) time.Duration {
	if len(r.durations) == 0 {
		return 0
	}
	slices.Sort(r.durations)
	return r.durations[int(share*float64(len(r.durations)-1))].Round(time.Millisecond)
}

// serviceTime is the time that the service takes for a call.
const serviceTime = 50 * time.Millisecond

// runLoad sends calls to random entries at a mean rate per second for about loadTime and returns the results. An entry
// writes at most batch rows per transaction.
func runLoad(rate, batch int) *loadReport {
	report := &loadReport{states: make(map[idempotency.State]int)}
	var store standin.Store
	store.Faults.Set(standin.FaultSettings{WriteLimit: storeWrites, ReadLimit: storeReads})
	rng := newRandom(1)
	ctx, cancel := context.WithCancel(context.Background())
	var running, calls errgroup.Group
	var executors []*idempotency.Executor
	for range loadEntries {
		tables := &storeLink{control: newControl(), store: &store, random: rng, group: &running, faultShare: func() float64 { return 0 }}
		c := &idempotency.Executor{
			Store:  &platform.Claims{Tables: tables},
			Limits: idempotency.Limits{WritesPerSecond: entryWrites, ReadsPerSecond: storeReads / loadEntries, MaxBatchRows: batch},
		}
		running.Go(func() error { return c.Run(ctx) })
		executors = append(executors, c)
	}
	for i := range rate * int(loadTime/time.Second) {
		time.Sleep(rng.duration(2 * time.Second / time.Duration(rate)))
		c := executors[rng.intN(loadEntries)]
		calls.Go(func() error {
			start := time.Now()
			result, err := c.Do(ctx, loadKey(i), idempotency.Digest{}, func(context.Context) (idempotency.Answer, idempotency.SendOutcome) {
				time.Sleep(serviceTime)
				return idempotency.Answer{}, idempotency.SendAnswered
			})
			report.add(result.State, time.Since(start)-serviceTime)
			return err
		})
	}
	_ = calls.Wait()
	cancel()
	_ = running.Wait()
	report.stats = store.Stats()
	return report
}

// loadKey returns the i-th idempotency key, which contains the current time.
func loadKey(i int) idempotency.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(time.Now().UnixMilli())<<16)
	id[6], id[8] = 7<<4, 1<<7
	binary.BigEndian.PutUint32(id[12:], uint32(i))
	key, _ := idempotency.ParseKey("acme", id.String())
	return key
}

// TestClaimsStayWithinTheStoresLimits checks that the store throttles no call, even if more claims arrive per second
// than the store allows writes. With batching, all claims must complete nevertheless.
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
			synctest.Test(t, func(*testing.T) { report = runLoad(test.rate, test.batch) })
			t.Logf("states %v, p50 %s, p99 %s without the service time of %s, %d transactions, %d rows, %d throttled",
				report.states, report.quantile(0.5), report.quantile(0.99), serviceTime,
				report.stats.Transactions, report.stats.Writes, report.stats.Throttled)
			if report.stats.Throttled > 0 {
				t.Errorf("got %d throttled calls of the store, want 0", report.stats.Throttled)
			}
			if test.allDone && len(report.states) != 1 {
				t.Errorf("got states %v, want all calls done", report.states)
			}
		})
	}
}
