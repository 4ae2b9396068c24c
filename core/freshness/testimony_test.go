package freshness

import (
	"testing"
	"time"
)

func TestTestimony(t *testing.T) {
	tests := map[string]struct {
		version int64
		age     time.Duration
		want    time.Duration
	}{
		"same version":       {version: 4, age: 300 * time.Millisecond, want: 800 * time.Millisecond},
		"newer version":      {version: 5, age: 0, want: 6 * time.Second},
		"older version":      {version: 3, age: 0, want: 6 * time.Second},
		"no version":         {version: 0, age: 0, want: 6 * time.Second},
		"older than our own": {version: 4, age: time.Hour, want: 6 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := 4 * time.Second
			e := &Tracker{Clock: func() time.Duration { return now }}
			e.Confirm(e.Now())
			testimony := &PeerExchange{Tracker: e, Version: func() int64 { return 4 }}
			now = 9500 * time.Millisecond
			asked := testimony.Now()
			now = 10 * time.Second
			testimony.Apply(asked, tc.version, tc.age)
			if age, _ := e.Age(); age != tc.want {
				t.Errorf("age = %v, want %v", age, tc.want)
			}
		})
	}
}
