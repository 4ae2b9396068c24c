package peer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

// exchangeRecords sends the suspect records of each entry to all others.
func exchangeRecords(entries []*retry.Suspects) {
	for _, from := range entries {
		for _, to := range entries {
			if to != from {
				deaths, settled := toRecordMessages(from, time.Now())
				mergeRecords(to, deaths, false, from.Entry, time.Now())
				mergeRecords(to, settled, true, from.Entry, time.Now())
				mergeCleared(to, toClearedMessages(from, time.Now()), time.Now())
			}
		}
	}
}

// TestSuspectRecordsOfSeveralEntries guards against requests that are refused since each entry saw another endpoint die at
// the same time, or since three died that had been answering, and checks that deaths one after another count whichever
// entries saw them.
func TestSuspectRecordsOfSeveralEntries(t *testing.T) {
	tests := map[string]struct {
		// pause is the time between two deaths, and span how long the request was at each endpoint.
		pause, span time.Duration
		// rounds is the number of deaths that each entry sees, and settled the number of them with a settled answer.
		rounds, settled int
		want            retry.Status
	}{
		"one after another": {pause: 600 * time.Millisecond, span: 10 * time.Millisecond, want: retry.StatusQuarantined},
		"together":          {span: 300 * time.Millisecond, want: retry.StatusClear},
		"found in turn":     {pause: 600 * time.Millisecond, span: 2 * time.Second, want: retry.StatusClear},
		"settled":           {pause: 600 * time.Millisecond, span: 500 * time.Millisecond, settled: 1, want: retry.StatusClear},
		"settled again":     {pause: 600 * time.Millisecond, span: 500 * time.Millisecond, rounds: 2, settled: 2, want: retry.StatusQuarantined},
		"settled, then not": {pause: 600 * time.Millisecond, span: 500 * time.Millisecond, rounds: 2, settled: 1, want: retry.StatusQuarantined},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var entries []*retry.Suspects
				for i := range 3 {
					entries = append(entries, &retry.Suspects{
						Entry: fleet.EntryID(fmt.Sprint(i)), DeathLimit: retry.NoTrialDeathLimit,
					})
				}
				for i := range max(tc.rounds, 1) * len(entries) {
					time.Sleep(tc.pause)
					now := time.Now()
					s := entries[i%len(entries)]
					s.RecordAttempt(context.Background(), "f", retry.Death{Endpoint: fleet.EndpointID(fmt.Sprint("e", i)), Incarnation: 1},
						retry.Span{SentAt: now.Add(-tc.span), BrokeAt: now, Settled: i/len(entries) < tc.settled})
					exchangeRecords(entries)
				}
				for range 100 {
					time.Sleep(50 * time.Millisecond)
					exchangeRecords(entries)
				}
				for _, s := range entries {
					if got := s.Status("f"); got != tc.want {
						t.Errorf("entry %s: status %q, want %q", s.Entry, got, tc.want)
					}
				}
			})
		})
	}
}

// TestRequestAnsweredElsewhereIsCleared guards against sound requests that are refused by entries that have not answered them
// themselves between the deaths of three endpoints.
func TestRequestAnsweredElsewhereIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answering := &retry.Suspects{Entry: "answering", DeathLimit: retry.NoTrialDeathLimit}
		other := &retry.Suspects{Entry: "other", DeathLimit: retry.NoTrialDeathLimit}
		entries := []*retry.Suspects{answering, other}
		for i := range 2 * retry.NoTrialDeathLimit {
			time.Sleep(time.Second)
			now := time.Now()
			entries[i%2].RecordAttempt(context.Background(), "f", retry.Death{Endpoint: fleet.EndpointID(fmt.Sprint(i)), Incarnation: 1},
				retry.Span{SentAt: now.Add(-10 * time.Millisecond), BrokeAt: now})
			for range 10 {
				time.Sleep(50 * time.Millisecond)
				exchangeRecords(entries)
			}
			if i%2 == 1 {
				answering.MarkCleared(context.Background(), "f")
			}
			for _, s := range entries {
				if got := s.Status("f"); got != retry.StatusClear {
					t.Errorf("entry %s after death %d: status %q, want %q", s.Entry, i+1, got, retry.StatusClear)
				}
			}
		}
	})
}

// TestRequestThatKeepsCrashingIsRefused guards against a request that crashes endpoints and runs again each time that its record
// expires. Once it no longer does, it must be served again, and not be refused for another crash beside it.
func TestRequestThatKeepsCrashingIsRefused(t *testing.T) {
	const (
		settleTime, allowed = 3 * time.Second, 3
		interval, duration  = 1500 * time.Millisecond, 20 * time.Minute
	)
	synctest.Test(t, func(t *testing.T) {
		var entries []*retry.Suspects
		for i := range 3 {
			entries = append(entries, &retry.Suspects{Entry: fleet.EntryID(fmt.Sprint(i)), DeathLimit: retry.NoTrialDeathLimit})
		}
		deaths, late := 0, 0
		var settled time.Time
		run := func(s *retry.Suspects, fingerprint retry.Fingerprint) bool {
			if s.Status(fingerprint) != retry.StatusClear {
				return false
			}
			deaths++
			now := time.Now()
			s.RecordAttempt(context.Background(), fingerprint, retry.Death{Endpoint: fleet.EndpointID(fmt.Sprint(deaths)), Incarnation: 1},
				retry.Span{SentAt: now.Add(-10 * time.Millisecond), BrokeAt: now})
			return true
		}
		pause := func() {
			for range 3 {
				time.Sleep(interval / 3)
				exchangeRecords(entries)
			}
		}
		for i := range int(duration / interval) {
			ran := run(entries[i%len(entries)], "f")
			switch {
			case ran && deaths == retry.NoTrialDeathLimit:
				settled = time.Now().Add(settleTime)
			case ran && deaths > retry.NoTrialDeathLimit && time.Now().After(settled):
				late++
			}
			pause()
		}
		if late > allowed {
			t.Errorf("ran %d times later than %v after death %d, want %d at most", late, settleTime, retry.NoTrialDeathLimit, allowed)
		}
		for range retry.NoTrialDeathLimit {
			run(entries[0], "sound")
			pause()
		}
		time.Sleep(time.Minute)
		if got := entries[0].Status("sound"); got != retry.StatusClear {
			t.Fatalf("status of a request a minute after three deaths: %q, want %q", got, retry.StatusClear)
		}
		entries[0].MarkCleared(context.Background(), "sound")
		pause()
		run(entries[1], "sound")
		pause()
		for _, s := range entries {
			if got := s.Status("sound"); got != retry.StatusClear {
				t.Errorf("status after an answer and another death: %q, want %q", got, retry.StatusClear)
			}
		}
	})
}
