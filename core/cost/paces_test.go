package cost

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// endpoint is the measured endpoint.
var endpoint = fleet.Endpoint{ID: "i-1", Incarnation: 2}

// TestPaces guards against endpoints that take several times the published time and are used like others, and against
// endpoints that are avoided without being slow.
func TestPaces(t *testing.T) {
	start := time.Now()
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	slow := []PaceSample{{Pace: 5, At: second(0)}, {Pace: 6, At: second(0.5)}, {Pace: 5, At: second(1)}}
	tests := map[string]struct {
		samples  []PaceSample
		at       float64
		wantSlow bool
	}{
		"slow":                        {samples: slow, at: 1, wantSlow: true},
		"too few samples":             {samples: slow[:2], at: 1},
		"old samples":                 {samples: slow, at: 12},
		"one first token was delayed": {samples: []PaceSample{{Pace: 1}, {Pace: 7}, {Pace: 1}, {Pace: 1}}, at: 1},
		"parts beside a slow endpoint": {
			samples: []PaceSample{{Pace: 5}, {Pace: 1}, {Pace: 6}, {Pace: 5}, {Pace: 1.1}, {Pace: 4}}, at: 1,
		},
		"recovers by trials": {
			samples: append(slow[:3:3], PaceSample{Pace: 1, At: second(3)}, PaceSample{Pace: 1, At: second(5)}), at: 5,
		},
		"stays slow in trials": {
			samples: append(slow[:3:3], PaceSample{Pace: 5, At: second(5)}, PaceSample{Pace: 5, At: second(9)}),
			at:      9, wantSlow: true,
		},
		"one sample reported three times": {samples: []PaceSample{slow[0], slow[0], slow[0]}, at: 1},
		"replaced":                        {samples: append(slow[:3:3], PaceSample{Pace: 1, Incarnation: 3, At: second(1)}), at: 1},
		"late reports of the one before": {
			samples: []PaceSample{
				{Pace: 5, Incarnation: 1}, {Pace: 6, Incarnation: 1}, {Pace: 7, Incarnation: 1},
			},
			at: 1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var p Paces
			for i, s := range tc.samples {
				s.Endpoint = endpoint.ID
				if s.Incarnation == 0 {
					s.Incarnation = endpoint.Incarnation
				}
				if s.At.IsZero() {
					s.At = second(float64(i) / 10)
				}
				p.Merge(s)
			}
			e := p.Estimate(endpoint, second(tc.at))
			if (e.Pace > 1) != tc.wantSlow {
				t.Errorf("pace = %.2f with %d samples, want slow: %t", e.Pace, e.Samples, tc.wantSlow)
			}
		})
	}
}

// TestSlowEndpointIsTriedAgain guards against an endpoint that is avoided for ever: it gets a request every 2 s.
func TestSlowEndpointIsTriedAgain(t *testing.T) {
	now := time.Now()
	var p Paces
	for range 4 {
		now = now.Add(200 * time.Millisecond)
		p.Record(PaceSample{Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Pace: 5, At: now})
	}
	p.MarkTried(endpoint.ID, now)
	if p.Estimate(endpoint, now.Add(1900*time.Millisecond)).TrialDue {
		t.Error("tried again after 1.9 s")
	}
	if !p.Estimate(endpoint, now.Add(2*time.Second)).TrialDue {
		t.Error("not tried again after 2 s")
	}
}

// TestBusyPoolIsNotSlow guards against a pool whose endpoints all count as slow, since all are busier than predicted.
func TestBusyPoolIsNotSlow(t *testing.T) {
	now := time.Now()
	var p Paces
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		id := fleet.EndpointID(rune('a' + i%20))
		p.Record(PaceSample{Endpoint: id, Incarnation: 1, Pace: 2.2, At: now})
	}
	if slow := p.Slow(); slow > 0 {
		t.Errorf("%d of 20 endpoints count as slow", slow)
	}
}

// TestReportsAreBounded guards against reports that grow with the number of endpoints.
func TestReportsAreBounded(t *testing.T) {
	now := time.Now()
	var p Paces
	for range 100 {
		p.Record(PaceSample{Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Pace: 2, At: now})
	}
	if n := len(p.Own(now)); n > MaxReported {
		t.Errorf("%d samples in a report, want at most %d", n, MaxReported)
	}
	if n := len(p.Own(now.Add(2 * time.Second))); n != 0 {
		t.Errorf("%d samples reported after 2 s, want none", n)
	}
}
