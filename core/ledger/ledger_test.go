package ledger

import (
	"fmt"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time the given number of seconds after start.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// key returns the key of the given generation of the only reservation.
func key(generation fleet.Generation) Key {
	return Key{Reservation: "request", Generation: generation}
}

// grant reserves 100 tokens for the attempt of a generation, whose prefill time limit is 60 seconds.
func grant(l *Ledger, generation fleet.Generation) {
	l.Grant(start, Reservation{
		Key: key(generation), Attempt: attemptID(generation), Prompt: 90, Output: 10, ReadBy: at(60)})
}

// attemptID returns the id of the attempt of a generation.
func attemptID(generation fleet.Generation) fleet.AttemptID {
	return fleet.AttemptID(fmt.Sprint("request.", generation))
}

// listing returns a listing of the attempts of the given generations.
func listing(generations ...fleet.Generation) Listing {
	l := Listing{Incarnation: 1}
	for _, g := range generations {
		l.Attempts = append(l.Attempts, Attempt{ID: attemptID(g), Key: key(g), Memory: 100})
	}
	return l
}

// TestMemory asserts how much memory is used after a sequence of operations.
func TestMemory(t *testing.T) {
	tests := map[string]struct {
		steps func(l *Ledger)
		want  fleet.Tokens
	}{
		"granted": {steps: func(l *Ledger) { grant(l, 1) }, want: 100},
		"released": {
			steps: func(l *Ledger) { grant(l, 1); l.Release(start, key(1), true) },
		},
		"late release of an older generation": {
			steps: func(l *Ledger) {
				grant(l, 1)
				grant(l, 2)
				l.Release(start, key(1), true)
				l.Release(start, key(1), true)
			},
			want: 100,
		},
		"release of an unknown generation": {
			steps: func(l *Ledger) { grant(l, 1); l.Release(start, key(7), true) },
			want:  100,
		},
		"a broken stream holds its memory": {
			steps: func(l *Ledger) { grant(l, 1); l.Release(start, key(1), false) },
			want:  100,
		},
		"a lapsed lease holds its memory": {
			steps: func(l *Ledger) { grant(l, 1); l.Expire(at(20)) },
			want:  100,
		},
		"held memory is free once a listing does not show it": {
			steps: func(l *Ledger) { grant(l, 1); l.Expire(at(20)); l.Reconcile(at(22), at(21), listing()) },
		},
		"a listing from before does not free held memory": {
			steps: func(l *Ledger) { grant(l, 1); l.Expire(at(20)); l.Reconcile(at(21), at(19), listing()) },
			want:  100,
		},
		"held memory is free once a cancel is confirmed": {
			steps: func(l *Ledger) { grant(l, 1); l.Expire(at(20)); l.ConfirmFreed(at(21), attemptID(1)) },
		},
		"a cancel does not free memory in force": {
			steps: func(l *Ledger) { grant(l, 1); l.ConfirmFreed(at(1), attemptID(1)) },
			want:  100,
		},
		"an empty listing does not free memory in force": {
			steps: func(l *Ledger) { grant(l, 1); l.Reconcile(at(2), at(1), listing()) },
			want:  100,
		},
		"unexplained memory counts": {
			steps: func(l *Ledger) { l.Reconcile(at(1), at(1), listing(9)) },
			want:  100,
		},
		"unexplained memory that is gone is free": {
			steps: func(l *Ledger) {
				l.Reconcile(at(1), at(1), listing(9, 8))
				l.Reconcile(at(2), at(2), listing(8))
			},
			want: 100,
		},
		"a suddenly empty listing is not believed": {
			steps: func(l *Ledger) { l.Reconcile(at(1), at(1), listing(9)); l.Reconcile(at(2), at(2), listing()) },
			want:  100,
		},
		"a suddenly empty listing is believed in the end": {
			steps: func(l *Ledger) {
				l.Reconcile(at(1), at(1), listing(9))
				for n := range l.Settings.MaxSkippedListings + 1 {
					l.Reconcile(at(float64(2+n)), at(float64(2+n)), listing())
				}
			},
		},
		"a release after the listing was asked for explains it": {
			steps: func(l *Ledger) {
				grant(l, 1)
				l.Release(at(2), key(1), true)
				l.Reconcile(at(3), at(1), listing(1))
			},
		},
		"another life of the endpoint has lost what ran in the former": {
			steps: func(l *Ledger) {
				l.SetIncarnation(start, 1)
				grant(l, 1)
				grant(l, 2)
				l.Renew(at(1), Progress{Key: key(1), Incarnation: 1})
				l.SetIncarnation(at(2), 2)
			},
			want: 100,
		},
		"a former owner's reading is adopted by its progress": {
			steps: func(l *Ledger) {
				l.PrefillBound = func(fleet.Tokens) time.Duration { return time.Minute }
				l.Renew(at(1), Progress{Key: key(9)})
				l.Reconcile(at(2), at(2), listing(9))
				l.Renew(at(6), Progress{Key: key(9)})
				l.Expire(at(12))
				l.ConfirmFreed(at(13), attemptID(9))
			},
			want: 100,
		},
		"a former owner's attempt is adopted by its progress": {
			steps: func(l *Ledger) {
				l.Reconcile(at(1), at(1), listing(9))
				l.Renew(at(2), Progress{Key: key(9), Started: true, Position: 1})
				l.Release(at(3), key(9), true)
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := New(DefaultSettings())
			tc.steps(l)
			if l.Used() != tc.want {
				t.Errorf("got %d tokens used, want %d", l.Used(), tc.want)
			}
		})
	}
}

// TestLease asserts that only progress renews a lease.
func TestLease(t *testing.T) {
	tests := map[string]struct {
		progress []Progress
		held     bool
	}{
		"a reading goes on": {progress: []Progress{{}, {}}},
		"tokens come":       {progress: []Progress{{Started: true, Position: 1}, {Started: true, Position: 2}}},
		"an answer that stands still": {
			progress: []Progress{{Started: true, Position: 1}, {Started: true, Position: 1}}, held: true},
		"progress of another generation": {progress: []Progress{{Key: key(7)}, {Key: key(7)}}, held: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := New(DefaultSettings())
			grant(l, 1)
			for n, p := range tc.progress {
				if p.Key == (Key{}) {
					p.Key = key(1)
				}
				l.Renew(at(float64(4*n+3)), p)
			}
			l.Expire(at(12))
			if held := l.HeldAndStray() > 0; held != tc.held {
				t.Errorf("got held %t, want %t", held, tc.held)
			}
		})
	}
}

// TestReadingBound asserts that a prefill without a token does not renew its lease indefinitely.
func TestReadingBound(t *testing.T) {
	l := New(DefaultSettings())
	grant(l, 1)
	for n := range 100 {
		l.Expire(at(float64(n)))
		l.Renew(at(float64(n)), Progress{Key: key(1)})
	}
	if l.HeldAndStray() != 100 {
		t.Errorf("got %d tokens held, want 100", l.HeldAndStray())
	}
}

// TestReclaim asserts the index of the listing after which stray memory is reclaimed, or -1 if it never is.
func TestReclaim(t *testing.T) {
	const failed = 0
	tests := map[string]struct {
		resumeAt time.Time
		listings []fleet.Generation
		want     int
	}{
		"one listing":                         {listings: []fleet.Generation{9}, want: -1},
		"two listings past the grace":         {listings: []fleet.Generation{9, 9, 9}, want: 2},
		"the generation changes":              {listings: []fleet.Generation{9, 10, 9, 10}, want: -1},
		"a failed listing skips a round":      {listings: []fleet.Generation{9, failed, 9}, want: 2},
		"too many failed listings begin anew": {listings: []fleet.Generation{9, 9, failed, failed, failed, 9, 9}, want: 6},
		"the former owner's grants may last":  {resumeAt: at(4), listings: []fleet.Generation{9, 9, 9, 9, 9, 9}, want: 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := New(DefaultSettings())
			l.SuspendReclaim(tc.resumeAt)
			got := -1
			for n, generation := range tc.listings {
				now := at(float64(n))
				if generation == failed {
					l.RecordListingFailure()
					continue
				}
				shown := listing(generation)
				shown.Attempts[0].ID = "attempt"
				if r := l.Reconcile(now, now, shown); len(r.Attempts) > 0 && got < 0 {
					got = n
				}
			}
			if got != tc.want {
				t.Errorf("got reclaim at listing %d, want %d", got, tc.want)
			}
		})
	}
}
