package boottime

import (
	"testing"
	"time"
)

func TestNowGoesOn(t *testing.T) {
	first := Now()
	time.Sleep(time.Millisecond)
	if passed := Now() - first; passed < time.Millisecond || passed > time.Minute {
		t.Errorf("clock went on by %v in a millisecond", passed)
	}
}
