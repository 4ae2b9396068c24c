package outlier

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

func TestDetector(t *testing.T) {
	start := time.Unix(1000, 0)
	endpoint := fleet.Endpoint{ID: "i-1", Incarnation: 1}
	var d Detector
	if !d.Usable(endpoint, start) {
		t.Error("unusable before any failure")
	}
	d.RecordFailure(endpoint, start)
	// Attempts that broke at the same time count as one failure.
	d.RecordFailure(endpoint, start.Add(time.Millisecond))
	if d.Usable(endpoint, start.Add(initialBackoff-1)) || !d.Usable(endpoint, start.Add(initialBackoff)) {
		t.Error("the first back-off does not last for initialBackoff")
	}
	d.RecordFailure(endpoint, start.Add(initialBackoff))
	if d.Usable(endpoint, start.Add(2*initialBackoff)) {
		t.Error("the second back-off is not longer")
	}
	if restarted := (fleet.Endpoint{ID: "i-1", Incarnation: 2}); !d.Usable(restarted, start.Add(2*initialBackoff)) {
		t.Error("unusable in a new incarnation after failures of the old one")
	}
	d.RecordSuccess(endpoint)
	if !d.Usable(endpoint, start.Add(2*initialBackoff)) {
		t.Error("unusable after an answer")
	}
}
