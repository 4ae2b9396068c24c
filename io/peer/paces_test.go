package peer

import (
	"testing"
	"time"

	"wisteriadyke/core/cost"
)

// TestEndpointPaces guards against paces that are lost or aged on the way, and against reports without a bound.
func TestEndpointPaces(t *testing.T) {
	now := time.Now()
	want := cost.PaceSample{Endpoint: "i-1", Incarnation: 7, Pace: 4.5, Samples: 1, At: now.Add(-time.Second)}
	got := fromEndpointPaces(toEndpointPaces([]cost.PaceSample{want}, now), now.Add(time.Minute))
	want.At = want.At.Add(time.Minute)
	if len(got) != 1 || got[0] != want {
		t.Errorf("paces = %v, want %v", got, want)
	}
	if many := fromEndpointPaces(toEndpointPaces(make([]cost.PaceSample, 40), now), now); len(many) > cost.MaxReported {
		t.Errorf("%d paces of one report, want at most %d", len(many), cost.MaxReported)
	}
}
