package boottime

import (
	"testing"
	"time"
)

func TestNowGoesOn(t *testing.T) {
	start := Now()
	time.Sleep(time.Millisecond)
	if elapsed := Now() - start; elapsed < time.Millisecond || elapsed > time.Minute {
		t.Errorf("clock advanced by %v during a sleep of 1ms, want between 1ms and 1m", elapsed)
	}
}
