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
	// Attempts that broke at the same moment count as one failure.
	d.RecordFailure(endpoint, start.Add(time.Millisecond))
	if d.Usable(endpoint, start.Add(firstPause-1)) || !d.Usable(endpoint, start.Add(firstPause)) {
		t.Error("the first pause is not kept to")
	}
	d.RecordFailure(endpoint, start.Add(firstPause))
	if d.Usable(endpoint, start.Add(2*firstPause)) {
		t.Error("the second pause is not longer")
	}
	if reborn := (fleet.Endpoint{ID: "i-1", Incarnation: 2}); !d.Usable(reborn, start.Add(2*firstPause)) {
		t.Error("a new life is held to the failures of the old one")
	}
	d.RecordSuccess(endpoint)
	if !d.Usable(endpoint, start.Add(2*firstPause)) {
		t.Error("unusable after an answer")
	}
}
