package outlier

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// TestContradictedWitness guards against a faulty entry that keeps its zone from a sound endpoint again and again: a
// witness that another entry contradicted must not be enough alone when the contradiction has expired.
func TestContradictedWitness(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	report := func(after time.Duration, reached bool) PathReport {
		r := PathReport{Endpoint: "b1", Incarnation: 2, Zone: "a", Witness: "e2", At: start.Add(after), Corroborated: !reached}
		r.Reached = reached
		return r
	}
	contradiction := report(100*ms, true)
	contradiction.Witness = "e3"
	second := report(1800*ms, false)
	second.Witness = "e1"
	tests := map[string]struct {
		reports []PathReport
		want    bool
	}{
		"contradicted":                   {reports: []PathReport{report(1700*ms, false)}},
		"a second witness":               {reports: []PathReport{report(1700*ms, false), second}, want: true},
		"the witness reached it since":   {reports: []PathReport{report(200*ms, true), report(1800*ms, false)}, want: true},
		"the contradiction is long past": {reports: []PathReport{report(100*ms+doubtTime, false)}, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPathTable("e9")
			var now time.Time
			for _, r := range append([]PathReport{report(0, false), contradiction}, tc.reports...) {
				now = r.At
				p.dropExpired(now)
				p.Merge([]PathReport{r}, now)
			}
			if got := p.Lost(p.endpoint("b1"), "a", now); got != tc.want {
				t.Errorf("lost = %v, want %v", got, tc.want)
			}
		})
	}
}

// TestSuspicionOfSoundEndpoints guards against endpoints that become suspect again although they were reached, and against
// one lost endpoint that keeps the others of its zone suspect after the zone has recovered.
func TestSuspicionOfSoundEndpoints(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	report := func(id fleet.EndpointID, after time.Duration, reached bool) PathReport {
		return PathReport{
			Endpoint: id, Incarnation: 2, Zone: "a", Witness: "e2", At: start.Add(after), Corroborated: !reached, Reached: reached,
		}
	}
	tests := map[string]struct {
		reports []PathReport
		at      time.Duration
		want    bool
	}{
		"still partitioned": {
			reports: []PathReport{report("b1", 1000*ms, false), report("b2", 1001*ms, false), report("b3", 1002*ms, false)},
			at:      2 * time.Second, want: true,
		},
		"reached, the zone is still partitioned": {
			reports: []PathReport{
				report("b7", 100*ms, true), report("b1", 1000*ms, false), report("b2", 1001*ms, false), report("b3", 1002*ms, false),
			},
			at: 2 * time.Second,
		},
		"one endpoint is still lost": {
			reports: []PathReport{report("b2", 500*ms, true), report("b3", 501*ms, true), report("b1", 1000*ms, false)},
			at:      1600 * ms,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPathTable("e9")
			lost := []PathReport{report("b1", 0, false), report("b2", ms, false), report("b3", 2*ms, false)}
			for _, r := range append(lost, tc.reports...) {
				p.dropExpired(r.At)
				p.Merge([]PathReport{r}, r.At)
			}
			now := start.Add(tc.at)
			p.dropExpired(now)
			if got := p.suspect(p.endpoint("b7"), "a", now); got != tc.want {
				t.Errorf("suspect = %v, want %v", got, tc.want)
			}
		})
	}
}
