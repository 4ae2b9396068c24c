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

// TestPause checks that a pause lasts at least as long as asked and little longer, whatever other answers say, and that
// it binds one incarnation only.
func TestPause(t *testing.T) {
	const asked = 2 * time.Second
	start := time.Unix(1000, 0)
	endpoint := fleet.Endpoint{ID: "i-1", Incarnation: 1}
	var d Detector
	until := d.RecordPause(endpoint.ID, endpoint.Incarnation, asked, start)
	d.RecordSuccess(endpoint)
	d.RecordPause(endpoint.ID, endpoint.Incarnation, asked/2, start.Add(time.Millisecond))
	if d.Usable(endpoint, start.Add(asked)) {
		t.Error("usable within the pause after a success and a shorter pause")
	}
	if !d.Usable(endpoint, until) || until.After(start.Add(asked+maxPauseSpread)) {
		t.Errorf("the pause ends after %v, want at most %v", until.Sub(start), asked+maxPauseSpread)
	}
	if restarted := (fleet.Endpoint{ID: "i-1", Incarnation: 2}); !d.Usable(restarted, start) {
		t.Error("unusable in a new incarnation within the pause of the old one")
	}
	// A late answer of the old incarnation must not hide the pause of the new one.
	d.RecordPause(endpoint.ID, 2, asked, start)
	d.RecordPause(endpoint.ID, 1, time.Minute, start)
	if restarted := (fleet.Endpoint{ID: "i-1", Incarnation: 2}); d.Usable(restarted, start) || !d.Usable(restarted, start.Add(asked+maxPauseSpread)) {
		t.Error("the pause of the new incarnation is not its own")
	}
}
