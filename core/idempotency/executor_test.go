package idempotency

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		service *fakeService
		first   State
		second  State
		runs    int
	}{
		"answered": {
			service: &fakeService{answer: Answer{Body: []byte("filed")}, outcome: SendAnswered},
			first:   StateDone, second: StateDone, runs: 1,
		},
		"failed": {
			service: &fakeService{answer: Answer{Body: []byte("no"), Failed: true}, outcome: SendAnswered},
			first:   StateFailed, second: StateFailed, runs: 1,
		},
		"not sent": {service: &fakeService{outcome: SendNotSent}, first: StateNotRun, second: StateNotRun, runs: 2},
		"no answer": {
			service: &fakeService{outcome: SendUnknown}, first: StateOutcomeUnknown, second: StateOutcomeUnknown, runs: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
				store := &fakeStore{}
				one, two := run(&Executor{Store: store}), run(&Executor{Store: store})
				key := newKey(t, 1)
				first := execute(t, one, key, test.service)
				second := execute(t, two, key, test.service)
				if first.State != test.first || second.State != test.second {
					t.Errorf("states %s and %s, want %s and %s", first.State, second.State, test.first, test.second)
				}
				if string(second.Answer.Body) != string(test.service.answer.Body) {
					t.Errorf("repeated request got answer %q", second.Answer.Body)
				}
				if test.service.runs != test.runs {
					t.Errorf("call ran %d times, want %d", test.service.runs, test.runs)
				}
				if first.EarlierUnknown {
					t.Error("EarlierUnknown = true, want false")
				}
			})
		})
	}
}

// TestStaleClaimIsNotTakenOver pauses the holder of a claim for an hour between claiming and
// answering. Other requests must not run the call meanwhile.
func TestStaleClaimIsNotTakenOver(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
		store := &fakeStore{}
		one, two := run(&Executor{Store: store}), run(&Executor{Store: store})
		key := newKey(t, 1)
		paused, other := answeringService(), answeringService()
		paused.pause = time.Hour
		var group errgroup.Group
		group.Go(func() error {
			execute(t, one, key, paused)
			return nil
		})
		time.Sleep(time.Second)
		if result := execute(t, two, key, other); result.State != StateInProgress || result.RetryAfter <= 0 {
			t.Errorf("before the deadline: result = %+v, want StateInProgress", result)
		}
		time.Sleep(30 * time.Minute)
		if result := execute(t, two, key, other); result.State != StateOutcomeUnknown {
			t.Errorf("after the deadline: result = %+v, want StateOutcomeUnknown", result)
		}
		_ = group.Wait()
		time.Sleep(time.Second)
		if result := execute(t, two, key, other); result.State != StateDone || other.runs != 0 {
			t.Errorf("after the answer: result = %+v, second request ran %d times; want StateDone and 0", result, other.runs)
		}
	})
}

// TestLostAnswerOfClaim makes the first transaction end with an unknown outcome, once after it was applied and once
// without being applied. The call must be run once and answered.
func TestLostAnswerOfClaim(t *testing.T) {
	tests := map[string]writeFault{
		"after the effect": {err: ErrUnknownOutcome},
		"request lost":     {err: ErrUnknownOutcome, dropped: true},
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
				store := &fakeStore{faults: func(n int, _ []Write) writeFault {
					if n == 0 {
						return first
					}
					return writeFault{}
				}}
				s := answeringService()
				result := execute(t, run(&Executor{Store: store}), newKey(t, 1), s)
				if result.State != StateDone || s.runs != 1 {
					t.Errorf("result = %+v after %d runs, want StateDone after 1", result, s.runs)
				}
			})
		})
	}
}

// TestLateClaimIsBarred makes the claim writes of a request end with unknown outcomes, so that the request is refused,
// and then applies a claim write late. The late write must conflict, and a retry must run the call once.
func TestLateClaimIsBarred(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
		key := newKey(t, 1)
		store := &fakeStore{}
		store.faults = func(n int, _ []Write) writeFault {
			if n < 8 {
				return writeFault{err: ErrUnknownOutcome, dropped: true}
			}
			return writeFault{}
		}
		e := run(&Executor{Store: store, ClaimTimeout: time.Second})
		refused := answeringService()
		if result := execute(t, e, key, refused); result.State != StateNotRun {
			t.Errorf("first request: result = %+v, want StateNotRun", result)
		}
		time.Sleep(time.Minute)
		late := Write{Record: Record{Key: key, Token: "late", State: StateDispatching}}
		if _, err := store.apply([]Write{late}); !errors.Is(err, ErrConflict) {
			t.Errorf("late claim: error = %v, want ErrConflict", err)
		}
		again := answeringService()
		if result := execute(t, e, key, again); result.State != StateDone || refused.runs != 0 || again.runs != 1 {
			t.Errorf("repeated request: result = %+v after %d and %d runs, want StateDone after 0 and 1",
				result, refused.runs, again.runs)
		}
	})
}

func TestOutageRefusesAtOnce(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
		store := &fakeStore{faults: func(int, []Write) writeFault { return writeFault{err: ErrUnavailable, dropped: true} }}
		s := answeringService()
		start := time.Now()
		result := execute(t, run(&Executor{Store: store}), newKey(t, 1), s)
		if result.State != StateNotRun || !result.EarlierUnknown || result.RetryAfter <= 0 || s.runs != 0 {
			t.Errorf("result = %+v after %d runs, want a retryable StateNotRun after 0", result, s.runs)
		}
		if elapsed := time.Since(start); elapsed > 0 {
			t.Errorf("refusal took %s, want 0s", elapsed)
		}
	})
}

// TestThrottledClaimWaits throttles the first writes. Unlike an outage, this must not fail the
// claim.
func TestThrottledClaimWaits(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
		store := &fakeStore{faults: func(n int, _ []Write) writeFault {
			if n < 3 {
				return writeFault{err: ErrThrottled, dropped: true}
			}
			return writeFault{}
		}}
		s := answeringService()
		result := execute(t, run(&Executor{Store: store}), newKey(t, 1), s)
		if result.State != StateDone || s.runs != 1 {
			t.Errorf("result = %+v after %d runs, want StateDone after 1", result, s.runs)
		}
	})
}

func TestWrongRequests(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
		e := run(&Executor{Store: &fakeStore{}})
		s := answeringService()
		key := newKey(t, 1)
		execute(t, e, key, s)
		if result, err := e.Do(t.Context(), key, Digest{2}, s.send); !errors.Is(err, ErrBodyMismatch) || !result.EarlierUnknown {
			t.Errorf("other body: result = %+v, error = %v, want ErrBodyMismatch", result, err)
		}
		future := key
		future.CreatedAt = time.Now().Add(2 * time.Minute)
		if _, err := e.Do(t.Context(), future, Digest{1}, s.send); !errors.Is(err, ErrKeyFromFuture) {
			t.Errorf("future key: error = %v, want ErrKeyFromFuture", err)
		}
		time.Sleep(25 * time.Hour)
		if result, err := e.Do(t.Context(), key, Digest{1}, s.send); !errors.Is(err, ErrKeyExpired) || !result.EarlierUnknown {
			t.Errorf("old key: result = %+v, error = %v, want ErrKeyExpired", result, err)
		}
		if s.runs != 1 {
			t.Errorf("call ran %d times, want 1", s.runs)
		}
	})
}

// TestForgottenRecordIsNotClaimedAgain delays the claim of a repeated request until the record of
// the first request has been deleted, as happens if an entry is paused. The call must not run
// again.
func TestForgottenRecordIsNotClaimedAgain(t *testing.T) {
	tests := map[string]struct {
		claimTimeout time.Duration
		faults       func(n int) writeFault
	}{
		"claim confirmed": {
			claimTimeout: 2 * time.Hour,
			faults:       func(n int) writeFault { return []writeFault{{delay: time.Hour}, {}}[min(n, 1)] },
		},
		"answer lost": {
			claimTimeout: 2 * time.Hour,
			faults: func(n int) writeFault {
				return []writeFault{{delay: time.Hour, err: ErrUnknownOutcome}, {}}[min(n, 1)]
			},
		},
		"claim given up": {
			claimTimeout: time.Second,
			faults: func(n int) writeFault {
				return []writeFault{
					{delay: 2 * time.Second, err: ErrUnknownOutcome, dropped: true}, {delay: time.Hour}, {},
				}[min(n, 2)]
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
				store := &fakeStore{}
				e := &Executor{
					Store:         store,
					Retention:     time.Minute,
					ClaimTimeout:  test.claimTimeout,
					RecordTimeout: 2 * time.Hour,
					CallTimeout:   3 * time.Hour,
				}
				run(e)
				key, s := newKey(t, 1), answeringService()
				execute(t, e, key, s)
				first := len(store.transactions)
				store.faults = func(n int, _ []Write) writeFault { return test.faults(n - first) }
				var group errgroup.Group
				group.Go(func() error {
					time.Sleep(30 * time.Minute)
					store.deleteRow(key)
					return nil
				})
				result, err := e.Do(t.Context(), key, Digest{1}, s.send)
				_ = group.Wait()
				if s.runs != 1 {
					t.Errorf("call ran %d times, want 1", s.runs)
				}
				if result.State != StateNotRun || !result.EarlierUnknown {
					t.Errorf("result = %+v, error = %v, want StateNotRun with EarlierUnknown", result, err)
				}
			})
		})
	}
}

// TestRepeatDuringSettlement guards against a call that runs twice. Entry one cannot send a call and records
// StateNotRun, but the write is not confirmed yet. Entry two reads the record and runs the call. A repeat of the
// request at entry one must then not run it again.
func TestRepeatDuringSettlement(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
		outcomeWrites := 0
		store := &fakeStore{faults: func(_ int, writes []Write) writeFault {
			if writes[0].Record.State != StateNotRun {
				return writeFault{}
			}
			outcomeWrites++
			return []writeFault{{err: ErrUnknownOutcome}, {delay: time.Minute}}[min(outcomeWrites-1, 1)]
		}}
		key, s := newKey(t, 1), answeringService()
		one := run(&Executor{Store: store, RecordTimeout: time.Millisecond})
		two := run(&Executor{Store: store})
		if result := execute(t, one, key, &fakeService{outcome: SendNotSent}); result.State != StateNotRun {
			t.Errorf("first request: result = %+v, want StateNotRun", result)
		}
		if result := execute(t, two, key, s); result.State != StateDone {
			t.Errorf("request at the other entry: result = %+v, want StateDone", result)
		}
		result := execute(t, one, key, s)
		if result.State != StateNotRun || !result.EarlierUnknown || s.runs != 1 {
			t.Errorf("repeated request: result = %+v after %d runs, want StateNotRun with EarlierUnknown after 1",
				result, s.runs)
		}
	})
}

// TestShutdownRecordsOutcomes ends Run's context during an outage of the store, with an outcome
// that is not recorded yet. Run must record it before it returns.
func TestShutdownRecordsOutcomes(t *testing.T) {
	store := &fakeStore{}
	var key Key
	runInVirtualTime(t, func(t *testing.T, run func(*Executor) *Executor) {
		key = newKey(t, 1)
		start := time.Now()
		store.faults = func(n int, _ []Write) writeFault {
			if n > 0 && time.Since(start) < 5*time.Second {
				return writeFault{err: ErrUnavailable, dropped: true}
			}
			return writeFault{}
		}
		if result := execute(t, run(&Executor{Store: store}), key, answeringService()); result.State != StateDone {
			t.Errorf("result = %+v, want StateDone", result)
		}
		if state := store.row(key).Record.State; state != StateDispatching {
			t.Errorf("record is in state %s during the outage, want dispatching", state)
		}
	})
	if state := store.row(key).Record.State; state != StateDone {
		t.Errorf("record is in state %s after the shutdown, want done", state)
	}
}
