package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// writeAll writes the rows of n keys at once and returns their errors.
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
	poison := func(_ int, writes []Write) fate {
		for _, w := range writes {
			if w.Record.Key.Key[35] == '3' {
				return fate{err: ErrRejected, lost: true}
			}
		}
		return fate{delay: 10 * time.Millisecond}
	}
	slow := func(int, []Write) fate { return fate{delay: 10 * time.Millisecond} }
	tests := map[string]struct {
		taken        []int
		nameless     bool
		fates        func(int, []Write) fate
		want         error
		transactions int
	}{
		"no conflict":        {fates: slow, transactions: 2},
		"conflict":           {fates: slow, taken: []int{3}, want: ErrConflict, transactions: 3},
		"conflict, nameless": {fates: slow, taken: []int{3}, nameless: true, want: ErrConflict, transactions: 2 + 9},
		"poisonous row":      {fates: poison, want: ErrRejected, transactions: 2 + 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{}
				for _, n := range test.taken {
					if _, err := store.apply([]Write{{Record: Record{Key: newKey(t, n)}}}); err != nil {
						t.Fatal(err)
					}
				}
				store.fates, store.nameless = test.fates, test.nameless
				failures := writeAll(t, store, Limits{MaxConcurrent: 1}, 10)
				if test.want == nil && len(failures) > 0 || test.want != nil && (len(failures) != 1 || !errors.Is(failures[3], test.want)) {
					t.Errorf("failures %v, want %v for key 3 alone", failures, test.want)
				}
				if got := len(store.transactions); got > test.transactions {
					t.Errorf("%d transactions %v, want %d at most", got, store.transactions, test.transactions)
				}
			})
		})
	}
}

// TestBudget writes more rows than the store takes transactions.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		began := time.Now()
		failures := writeAll(t, store, Limits{WritesPerSecond: 10, MaxBatchRows: 20, MaxQueuedClaims: 1000}, 300)
		if len(failures) > 0 {
			t.Errorf("failures %v", failures)
		}
		took := time.Since(began)
		if most := 1 + 10*took.Seconds(); float64(len(store.transactions)) > most+1 {
			t.Errorf("%d transactions in %s", len(store.transactions), took)
		}
		if took > 2*time.Second {
			t.Errorf("300 rows took %s", took)
		}
	})
}

func TestFullQueueRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		failures := writeAll(t, store, Limits{WritesPerSecond: 1, MaxBatchRows: 1, MaxQueuedClaims: 2}, 10)
		if len(failures) == 0 {
			t.Error("no write was refused")
		}
		for _, err := range failures {
			if !errors.Is(err, ErrUnavailable) {
				t.Errorf("refusal %v", err)
			}
		}
	})
}

// TestUrgentWritesGoFirst queues claims before an outcome.
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
		began := time.Now()
		if _, err := b.write(ctx, Write{Record: Record{Key: newKey(t, 9)}}, true); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("outcome waited %s", took)
		}
		time.Sleep(10 * time.Second)
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}
