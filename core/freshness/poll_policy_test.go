package freshness

import (
	"testing"
	"time"
)

func TestPatience(t *testing.T) {
	tests := map[string]struct {
		hasDependents bool
		age           time.Duration
		wantWait      time.Duration
		stale         bool
	}{
		"witness":                     {hasDependents: true, age: time.Second, wantWait: shortWait},
		"witness without the store":   {hasDependents: true, age: time.Minute, wantWait: shortWait, stale: true},
		"others while witnesses tell": {age: 1500 * time.Millisecond, wantWait: longWait},
		"others without witnesses":    {age: 2500 * time.Millisecond, wantWait: shortWait, stale: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var now time.Duration
			tracker := &Tracker{Clock: func() time.Duration { return now }}
			tracker.Confirm(tracker.Now())
			now = tc.age
			policy := &PollPolicy{Tracker: tracker, HasDependents: func() bool { return tc.hasDependents }}
			if got := policy.MaxWait(); got != tc.wantWait {
				t.Errorf("maximum wait = %v, want %v", got, tc.wantWait)
			}
			if got, short := policy.RetryDelay(), tc.wantWait == shortWait; (got == shortRetryDelay) != short {
				t.Errorf("retry delay = %v with a maximum wait of %v", got, tc.wantWait)
			}
			if got := policy.Stale(); got != tc.stale {
				t.Errorf("stale = %t, want %t", got, tc.stale)
			}
		})
	}
}
