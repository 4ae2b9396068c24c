package freshness

import (
	"testing"
	"time"
)

func TestTestimony(t *testing.T) {
	tests := map[string]struct {
		version int64
		age     time.Duration
		wantAge time.Duration
	}{
		"same version":       {version: 4, age: 300 * time.Millisecond, wantAge: 800 * time.Millisecond},
		"newer version":      {version: 5, age: 0, wantAge: 6 * time.Second},
		"older version":      {version: 3, age: 0, wantAge: 6 * time.Second},
		"no version":         {version: 0, age: 0, wantAge: 6 * time.Second},
		"older than our own": {version: 4, age: time.Hour, wantAge: 6 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := 4 * time.Second
			tracker := &Tracker{Clock: func() time.Duration { return now }}
			tracker.Confirm(tracker.Now())
			exchange := &PeerExchange{Tracker: tracker, Version: func() int64 { return 4 }}
			now = 9500 * time.Millisecond
			asked := exchange.Now()
			now = 10 * time.Second
			exchange.Apply(asked, tc.version, tc.age)
			if age, _ := tracker.Age(); age != tc.wantAge {
				t.Errorf("age = %v, want %v", age, tc.wantAge)
			}
		})
	}
}
