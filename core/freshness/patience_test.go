package freshness

import (
	"testing"
	"time"
)

func TestPatience(t *testing.T) {
	tests := map[string]struct {
		witness   bool
		age       time.Duration
		want      time.Duration
		exhausted bool
	}{
		"witness":                     {witness: true, age: time.Second, want: shortWait},
		"witness without the store":   {witness: true, age: time.Minute, want: shortWait, exhausted: true},
		"others while witnesses tell": {age: 1500 * time.Millisecond, want: longWait},
		"others without witnesses":    {age: 2500 * time.Millisecond, want: shortWait, exhausted: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var now time.Duration
			e := &Tracker{Clock: func() time.Duration { return now }}
			e.Confirm(e.Now())
			now = tc.age
			p := &PollPolicy{Tracker: e, HasDependents: func() bool { return tc.witness }}
			if got := p.MaxWait(); got != tc.want {
				t.Errorf("wait = %v, want %v", got, tc.want)
			}
			if got, short := p.RetryDelay(), tc.want == shortWait; (got == shortRetry) != short {
				t.Errorf("retry = %v while the wait is %v", got, tc.want)
			}
			if got := p.Stale(); got != tc.exhausted {
				t.Errorf("exhausted = %t, want %t", got, tc.exhausted)
			}
		})
	}
}
