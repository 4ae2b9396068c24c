package platform

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"wisteriadyke/core/fleet"
)

func TestSightings(t *testing.T) {
	live := Instance{ID: "e1", State: fleet.StateLive}
	leaving := Instance{ID: "e1", State: fleet.StateLeaving}
	other := Instance{ID: "e2", State: fleet.StateLive}
	tests := map[string]struct {
		polls [][]Instance
		want  []fleet.State
	}{
		"leaving counts at once":            {polls: [][]Instance{{live}, {leaving}}, want: []fleet.State{"live", "leaving"}},
		"old copies of the list bring back": {polls: [][]Instance{{leaving}, {live}, {live}}, want: []fleet.State{"leaving", "leaving", "leaving"}},
		"live again after three":            {polls: [][]Instance{{leaving}, {live}, {live}, {live}}, want: []fleet.State{"leaving", "leaving", "leaving", "live"}},
		"leaving starts the count again": {
			polls: [][]Instance{{leaving}, {live}, {live}, {leaving}, {live}, {live}},
			want:  []fleet.State{"leaving", "leaving", "leaving", "leaving", "leaving", "leaving"},
		},
		"gone after three":         {polls: [][]Instance{{live}, {other}, {other}, {other}}, want: []fleet.State{"live", "live", "live", ""}},
		"seen again in between":    {polls: [][]Instance{{live}, {other}, {other}, {live}, {other}, {other}}, want: []fleet.State{"live", "live", "live", "live", "live", "live"}},
		"an empty list is no list": {polls: [][]Instance{{live}, {}, {}, {}, {}}, want: []fleet.State{"live", "live", "live", "live", "live"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s instanceFilter
			var got []fleet.State
			for _, poll := range tc.polls {
				var state fleet.State
				for _, instance := range s.observe(poll) {
					if instance.ID == "e1" {
						state = instance.State
					}
				}
				got = append(got, state)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("states differ (-want +got):\n%s", diff)
			}
		})
	}
}
