package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// writeAll writes the rows of n keys concurrently and returns the errors by key number.
func writeAll(t *testing.T, store *fakeStore, limits Limits, n int) map[int]error {
	t.Helper()
	b := newBatcher(store, limits, newCounters(nil))
	ctx, cancel := context.WithCancel(t.Context())
	var running, writing errgroup.Group
	running.Go(func() error { return b.run(ctx) })
	failures := make([]error, n)
	for i := range n {
		writing.Go(func() error {
			_, failures[i] = b.write(ctx, Write{Record: Record{Key: newKey(t, i)}}, false)
			return nil
		})
	}
	_ = writing.Wait()
	cancel()
	_ = running.Wait()
	byKey := make(map[int]error)
	for i, err := range failures {
		if err != nil {
			byKey[i] = err
		}
	}
	return byKey
}

func TestBatches(t *testing.T) {
	rejectKey3 := func(_ int, writes []Write) writeFault {
		for _, w := range writes {
			if w.Record.Key.Key[35] == '3' {
				return writeFault{err: ErrRejected, dropped: true}
			}
		}
		return writeFault{delay: 10 * time.Millisecond}
	}
	delayed := func(int, []Write) writeFault { return writeFault{delay: 10 * time.Millisecond} }
	tests := map[string]struct {
		claimed       []int
		hideConflicts bool
		faults        func(int, []Write) writeFault
		want          error
		transactions  int
	}{
		"no conflict":        {faults: delayed, transactions: 2},
		"conflict":           {faults: delayed, claimed: []int{3}, want: ErrConflict, transactions: 3},
		"conflict, nameless": {faults: delayed, claimed: []int{3}, hideConflicts: true, want: ErrConflict, transactions: 2 + 9},
		"poisonous row":      {faults: rejectKey3, want: ErrRejected, transactions: 2 + 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{}
				for _, n := range test.claimed {
					if _, err := store.apply([]Write{{Record: Record{Key: newKey(t, n)}}}); err != nil {
						t.Fatal(err)
					}
				}
				store.faults, store.hideConflicts = test.faults, test.hideConflicts
				failures := writeAll(t, store, Limits{MaxConcurrent: 1}, 10)
				if test.want == nil && len(failures) > 0 || test.want != nil && (len(failures) != 1 || !errors.Is(failures[3], test.want)) {
					t.Errorf("failures = %v, want only %v for key 3", failures, test.want)
				}
				if got := len(store.transactions); got > test.transactions {
					t.Errorf("%d transactions (%v), want at most %d", got, store.transactions, test.transactions)
				}
			})
		})
	}
}

// TestBudget writes 300 rows with a limit of 10 transactions per second. All must be written within 2 s, in batches,
// without exceeding the limit.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		start := time.Now()
		failures := writeAll(t, store, Limits{WritesPerSecond: 10, MaxBatchRows: 20, MaxQueuedClaims: 1000}, 300)
		if len(failures) > 0 {
			t.Errorf("failures = %v, want none", failures)
		}
		elapsed := time.Since(start)
		if maxTransactions := 1 + 10*elapsed.Seconds(); float64(len(store.transactions)) > maxTransactions+1 {
			t.Errorf("%d transactions in %s, want at most 10 per second", len(store.transactions), elapsed)
		}
		if elapsed > 2*time.Second {
			t.Errorf("300 rows took %s, want at most 2s", elapsed)
		}
	})
}

func TestFullQueueRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		failures := writeAll(t, store, Limits{WritesPerSecond: 1, MaxBatchRows: 1, MaxQueuedClaims: 2}, 10)
		if len(failures) == 0 {
			t.Error("full queue refused no write")
		}
		for _, err := range failures {
			if !errors.Is(err, ErrUnavailable) {
				t.Errorf("error = %v, want ErrUnavailable", err)
			}
		}
	})
}

// TestUrgentWritesGoFirst queues claims and then an urgent outcome, which must be written first.
func TestUrgentWritesGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		b := newBatcher(store, Limits{WritesPerSecond: 1, MaxBatchRows: 1}, newCounters(nil))
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return b.run(ctx) })
		for i := range 5 {
			group.Go(func() error {
				_, err := b.write(ctx, Write{Record: Record{Key: newKey(t, i)}}, false)
				return err
			})
		}
		synctest.Wait()
		start := time.Now()
		if _, err := b.write(ctx, Write{Record: Record{Key: newKey(t, 9)}}, true); err != nil {
			t.Error(err)
		}
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("outcome took %s, want at most 1s", elapsed)
		}
		time.Sleep(10 * time.Second)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}
