package idempotency

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		service *service
		first   State
		second  State
		runs    int
	}{
		"answered": {
			service: &service{answer: Answer{Body: []byte("filed")}, outcome: SendAnswered},
			first:   StateDone, second: StateDone, runs: 1,
		},
		"failed": {
			service: &service{answer: Answer{Body: []byte("no"), Failed: true}, outcome: SendAnswered},
			first:   StateFailed, second: StateFailed, runs: 1,
		},
		"not sent": {service: &service{outcome: SendNotSent}, first: StateNotRun, second: StateNotRun, runs: 2},
		"no answer": {
			service: &service{outcome: SendUnknown}, first: StateOutcomeUnknown, second: StateOutcomeUnknown, runs: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
				store := &fakeStore{}
				one, two := run(&Executor{Store: store}), run(&Executor{Store: store})
				key := newKey(t, 1)
				first := do(t, one, key, test.service)
				second := do(t, two, key, test.service)
				if first.State != test.first || second.State != test.second {
					t.Errorf("states %s and %s, want %s and %s", first.State, second.State, test.first, test.second)
				}
				if string(second.Answer.Body) != string(test.service.answer.Body) {
					t.Errorf("repeat got %q", second.Answer.Body)
				}
				if test.service.runs != test.runs {
					t.Errorf("sent %d times, want %d", test.service.runs, test.runs)
				}
				if first.EarlierUnknown {
					t.Error("earlier requests are said to be unknown")
				}
			})
		})
	}
}

// TestStaleClaimIsNotTakenOver lets a holder pause for an hour after it has claimed.
func TestStaleClaimIsNotTakenOver(t *testing.T) {
	inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
		store := &fakeStore{}
		one, two := run(&Executor{Store: store}), run(&Executor{Store: store})
		key := newKey(t, 1)
		paused, other := answering(), answering()
		paused.pause = time.Hour
		var group errgroup.Group
		group.Go(func() error {
			do(t, one, key, paused)
			return nil
		})
		time.Sleep(time.Second)
		if result := do(t, two, key, other); result.State != StateInProgress || result.RetryAfter <= 0 {
			t.Errorf("before the deadline: %+v", result)
		}
		time.Sleep(30 * time.Minute)
		if result := do(t, two, key, other); result.State != StateOutcomeUnknown {
			t.Errorf("after the deadline: %+v", result)
		}
		_ = group.Wait()
		time.Sleep(time.Second)
		if result := do(t, two, key, other); result.State != StateDone || other.runs != 0 {
			t.Errorf("after the answer: %+v, %d runs by the other", result, other.runs)
		}
	})
}

// TestLostAnswerOfClaim loses the answers of the first transactions in several ways.
func TestLostAnswerOfClaim(t *testing.T) {
	tests := map[string]fate{
		"after the effect": {err: ErrUnknownOutcome},
		"request lost":     {err: ErrUnknownOutcome, lost: true},
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
				store := &fakeStore{fates: func(n int, _ []Write) fate {
					if n == 0 {
						return first
					}
					return fate{}
				}}
				s := answering()
				result := do(t, run(&Executor{Store: store}), newKey(t, 1), s)
				if result.State != StateDone || s.runs != 1 {
					t.Errorf("%+v after %d runs", result, s.runs)
				}
			})
		})
	}
}

// TestLateClaimIsBarred lets a claim take effect long after its caller was refused.
func TestLateClaimIsBarred(t *testing.T) {
	inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
		key := newKey(t, 1)
		store := &fakeStore{}
		store.fates = func(n int, _ []Write) fate {
			if n < 8 {
				return fate{err: ErrUnknownOutcome, lost: true}
			}
			return fate{}
		}
		c := run(&Executor{Store: store, ClaimTimeout: time.Second})
		refusedFirst := answering()
		if result := do(t, c, key, refusedFirst); result.State != StateNotRun {
			t.Errorf("first request: %+v", result)
		}
		time.Sleep(time.Minute)
		late := Write{Record: Record{Key: key, Token: "late", State: StateDispatching}}
		if _, err := store.apply([]Write{late}); !errors.Is(err, ErrConflict) {
			t.Errorf("late claim: %v", err)
		}
		again := answering()
		if result := do(t, c, key, again); result.State != StateDone || refusedFirst.runs != 0 || again.runs != 1 {
			t.Errorf("repeat: %+v after %d and %d runs", result, refusedFirst.runs, again.runs)
		}
	})
}

func TestOutageRefusesAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
		store := &fakeStore{fates: func(int, []Write) fate { return fate{err: ErrUnavailable, lost: true} }}
		s := answering()
		began := time.Now()
		result := do(t, run(&Executor{Store: store}), newKey(t, 1), s)
		if result.State != StateNotRun || !result.EarlierUnknown || result.RetryAfter <= 0 || s.runs != 0 {
			t.Errorf("%+v after %d runs", result, s.runs)
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("refusal took %s", took)
		}
	})
}

// TestThrottledClaimWaits lets the store limit the rate for a while, which is no outage.
func TestThrottledClaimWaits(t *testing.T) {
	inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
		store := &fakeStore{fates: func(n int, _ []Write) fate {
			if n < 3 {
				return fate{err: ErrThrottled, lost: true}
			}
			return fate{}
		}}
		s := answering()
		result := do(t, run(&Executor{Store: store}), newKey(t, 1), s)
		if result.State != StateDone || s.runs != 1 {
			t.Errorf("%+v after %d runs", result, s.runs)
		}
	})
}

func TestWrongRequests(t *testing.T) {
	inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
		c := run(&Executor{Store: &fakeStore{}})
		s := answering()
		key := newKey(t, 1)
		do(t, c, key, s)
		if result, err := c.Do(t.Context(), key, Digest{2}, s.send); !errors.Is(err, ErrBodyMismatch) || !result.EarlierUnknown {
			t.Errorf("other body: %+v, %v", result, err)
		}
		future := key
		future.CreatedAt = time.Now().Add(2 * time.Minute)
		if _, err := c.Do(t.Context(), future, Digest{1}, s.send); !errors.Is(err, ErrKeyFromFuture) {
			t.Errorf("future key: %v", err)
		}
		time.Sleep(25 * time.Hour)
		if result, err := c.Do(t.Context(), key, Digest{1}, s.send); !errors.Is(err, ErrKeyExpired) || !result.EarlierUnknown {
			t.Errorf("old key: %+v, %v", result, err)
		}
		if s.runs != 1 {
			t.Errorf("%d runs", s.runs)
		}
	})
}

// TestForgottenRecordIsNotClaimedAgain holds a repeat's claim back until the record of the first
// request has been forgotten, as a frozen entry would.
func TestForgottenRecordIsNotClaimedAgain(t *testing.T) {
	tests := map[string]struct {
		claimTimeout time.Duration
		fates        func(n int) fate
	}{
		"claim confirmed": {
			claimTimeout: 2 * time.Hour,
			fates:        func(n int) fate { return []fate{{delay: time.Hour}, {}}[min(n, 1)] },
		},
		"answer lost": {
			claimTimeout: 2 * time.Hour,
			fates:        func(n int) fate { return []fate{{delay: time.Hour, err: ErrUnknownOutcome}, {}}[min(n, 1)] },
		},
		"claim given up": {
			claimTimeout: time.Second,
			fates: func(n int) fate {
				return []fate{{delay: 2 * time.Second, err: ErrUnknownOutcome, lost: true}, {delay: time.Hour}, {}}[min(n, 2)]
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
				store := &fakeStore{}
				c := &Executor{
					Store:         store,
					Retention:     time.Minute,
					ClaimTimeout:  test.claimTimeout,
					RecordTimeout: 2 * time.Hour,
					CallTimeout:   3 * time.Hour,
				}
				run(c)
				key, s := newKey(t, 1), answering()
				do(t, c, key, s)
				first := len(store.transactions)
				store.fates = func(n int, _ []Write) fate { return test.fates(n - first) }
				var group errgroup.Group
				group.Go(func() error {
					time.Sleep(30 * time.Minute)
					store.forget(key)
					return nil
				})
				result, err := c.Do(t.Context(), key, Digest{1}, s.send)
				_ = group.Wait()
				if s.runs != 1 {
					t.Errorf("%d runs", s.runs)
				}
				if result.State != StateNotRun || !result.EarlierUnknown {
					t.Errorf("%+v, %v", result, err)
				}
			})
		})
	}
}

// TestRepeatDuringSettlement repeats a request that wasn't sent while the answer to its record's
// write is lost and another entry has run the call.
func TestRepeatDuringSettlement(t *testing.T) {
	inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
		settlements := 0
		store := &fakeStore{fates: func(_ int, writes []Write) fate {
			if writes[0].Record.State != StateNotRun {
				return fate{}
			}
			settlements++
			return []fate{{err: ErrUnknownOutcome}, {delay: time.Minute}}[min(settlements-1, 1)]
		}}
		key, s := newKey(t, 1), answering()
		one := run(&Executor{Store: store, RecordTimeout: time.Millisecond})
		two := run(&Executor{Store: store})
		if result := do(t, one, key, &service{outcome: SendNotSent}); result.State != StateNotRun {
			t.Errorf("first request: %+v", result)
		}
		if result := do(t, two, key, s); result.State != StateDone {
			t.Errorf("request at the other entry: %+v", result)
		}
		result := do(t, one, key, s)
		if result.State != StateNotRun || !result.EarlierUnknown || s.runs != 1 {
			t.Errorf("repeat is told %+v after %d runs", result, s.runs)
		}
	})
}

// TestShutdownRecordsOutcomes ends Run while the store is down and an outcome isn't recorded.
func TestShutdownRecordsOutcomes(t *testing.T) {
	store := &fakeStore{}
	var key Key
	inBubble(t, func(t *testing.T, run func(*Executor) *Executor) {
		key = newKey(t, 1)
		began := time.Now()
		store.fates = func(n int, _ []Write) fate {
			if n > 0 && time.Since(began) < 5*time.Second {
				return fate{err: ErrUnavailable, lost: true}
			}
			return fate{}
		}
		if result := do(t, run(&Executor{Store: store}), key, answering()); result.State != StateDone {
			t.Errorf("%+v", result)
		}
		if state := store.row(key).Record.State; state != StateDispatching {
			t.Errorf("record is %s during the outage", state)
		}
	})
	if state := store.row(key).Record.State; state != StateDone {
		t.Errorf("record is %s after the shutdown", state)
	}
}
