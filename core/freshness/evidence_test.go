package freshness

import (
	"testing"
	"time"
)

func TestEvidence(t *testing.T) {
	var now time.Duration
	e := &Tracker{Clock: func() time.Duration { return now }}
	if e.Within(time.Hour) {
		t.Error("fresh before any answer")
	}
	asked := e.Now()
	now = 3 * time.Second
	e.Confirm(asked)
	if e.Within(2*time.Second) || !e.Within(3*time.Second) {
		t.Error("the age does not count from the question")
	}
	// An answer that comes late must not make the evidence older.
	now = 5 * time.Second
	e.Confirm(4 * time.Second)
	e.Confirm(1 * time.Second)
	if age, known := e.Age(); !known || age != time.Second {
		t.Errorf("age = %v, %t; want 1s", age, known)
	}
}
