package freshness

import (
	"testing"
	"time"
)

func TestEvidence(t *testing.T) {
	var now time.Duration
	tracker := &Tracker{Clock: func() time.Duration { return now }}
	if tracker.Within(time.Hour) {
		t.Error("fresh before any confirmation")
	}
	asked := tracker.Now()
	now = 3 * time.Second
	tracker.Confirm(asked)
	if tracker.Within(2*time.Second) || !tracker.Within(3*time.Second) {
		t.Error("the age does not count from the request")
	}
	// A late answer must not increase the age.
	now = 5 * time.Second
	tracker.Confirm(4 * time.Second)
	tracker.Confirm(1 * time.Second)
	if age, known := tracker.Age(); !known || age != time.Second {
		t.Errorf("age = %v, %t; want 1s, true", age, known)
	}
}
