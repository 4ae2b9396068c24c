package discovery

import (
	"slices"
	"testing"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

const (
	testGrace     = 2 * time.Second
	testLateGrace = 800 * time.Millisecond
)

func TestVanishedEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		// steps run in order, each at a time after the start.
		steps func(r *EndpointList, at func(time.Duration) time.Time)
		want  []fleet.EndpointID
	}{
		"removed while the registry answers": {
			steps: func(r *EndpointList, at func(time.Duration) time.Time) { r.Remove("b", at(time.Second)) },
			want:  []fleet.EndpointID{"a"},
		},
		"gone at the first answer after an outage, kept for the grace": {
			steps: func(r *EndpointList, at func(time.Duration) time.Time) {
				r.MarkUnreachable()
				r.Remove("b", at(5*time.Second))
				r.MarkReachable(at(5 * time.Second))
				r.MarkReachable(at(6900 * time.Millisecond))
			},
			want: []fleet.EndpointID{"a", "b"},
		},
		"gone at the first answer after an outage, dropped behind the grace": {
			steps: func(r *EndpointList, at func(time.Duration) time.Time) {
				r.MarkUnreachable()
				r.Remove("b", at(5*time.Second))
				r.MarkReachable(at(5 * time.Second))
				r.MarkReachable(at(7 * time.Second))
			},
			want: []fleet.EndpointID{"a"},
		},
		"gone soon after the return, dropped within the drain time": {
			steps: func(r *EndpointList, at func(time.Duration) time.Time) {
				r.MarkUnreachable()
				r.MarkReachable(at(5 * time.Second))
				r.Remove("b", at(5500*time.Millisecond))
				r.MarkReachable(at(5500 * time.Millisecond))
				r.MarkReachable(at(6300 * time.Millisecond))
			},
			want: []fleet.EndpointID{"a"},
		},
		"back after an outage": {
			steps: func(r *EndpointList, at func(time.Duration) time.Time) {
				r.MarkUnreachable()
				r.Remove("b", at(5*time.Second))
				r.MarkReachable(at(5 * time.Second))
				r.Put(fleet.Endpoint{ID: "b"})
				r.MarkReachable(at(9 * time.Second))
			},
			want: []fleet.EndpointID{"a", "b"},
		},
		"missing in the whole list that is read after an outage": {
			steps: func(r *EndpointList, at func(time.Duration) time.Time) {
				r.MarkUnreachable()
				r.Replace(map[fleet.EndpointID]fleet.Endpoint{"a": {ID: "a"}}, at(5*time.Second))
				r.MarkReachable(at(5 * time.Second))
				r.MarkReachable(at(6 * time.Second))
			},
			want: []fleet.EndpointID{"a", "b"},
		},
		"missing in the whole list while the registry answers": {
			steps: func(r *EndpointList, at func(time.Duration) time.Time) {
				r.Replace(map[fleet.EndpointID]fleet.Endpoint{"a": {ID: "a"}}, at(5*time.Second))
			},
			want: []fleet.EndpointID{"a"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := &EndpointList{State: &clusterstate.State{}, ReconnectGrace: testGrace, RemovalGrace: testLateGrace}
			r.Put(fleet.Endpoint{ID: "a"})
			r.Put(fleet.Endpoint{ID: "b"})
			r.MarkReachable(start)
			tc.steps(r, start.Add)
			var got []fleet.EndpointID
			for id := range r.State.Endpoints.Snapshot().Rows {
				got = append(got, id)
			}
			slices.Sort(got)
			if !slices.Equal(got, tc.want) {
				t.Errorf("endpoints = %v, want %v", got, tc.want)
			}
		})
	}
}
