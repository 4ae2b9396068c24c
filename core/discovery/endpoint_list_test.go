package discovery

import (
	"slices"
	"testing"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

const (
	testReconnectGrace = 2 * time.Second
	testRemovalGrace   = 800 * time.Millisecond
)

func TestVanishedEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		// steps changes the list; at returns the time that is the given duration after the start.
		steps func(l *EndpointList, at func(time.Duration) time.Time)
		want  []fleet.EndpointID
	}{
		"removed while the registry answers": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) { l.Remove("b", at(time.Second)) },
			want:  []fleet.EndpointID{"a"},
		},
		"gone at the first answer after an outage, kept for the grace": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.MarkUnreachable()
				l.Remove("b", at(5*time.Second))
				l.MarkReachable(at(5 * time.Second))
				l.MarkReachable(at(6900 * time.Millisecond))
			},
			want: []fleet.EndpointID{"a", "b"},
		},
		"gone at the first answer after an outage, dropped behind the grace": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.MarkUnreachable()
				l.Remove("b", at(5*time.Second))
				l.MarkReachable(at(5 * time.Second))
				l.MarkReachable(at(7 * time.Second))
			},
			want: []fleet.EndpointID{"a"},
		},
		"gone soon after the return, dropped within the drain time": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.MarkUnreachable()
				l.MarkReachable(at(5 * time.Second))
				l.Remove("b", at(5500*time.Millisecond))
				l.MarkReachable(at(5500 * time.Millisecond))
				l.MarkReachable(at(6300 * time.Millisecond))
			},
			want: []fleet.EndpointID{"a"},
		},
		"back after an outage": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.MarkUnreachable()
				l.Remove("b", at(5*time.Second))
				l.MarkReachable(at(5 * time.Second))
				l.Put(fleet.Endpoint{ID: "b"})
				l.MarkReachable(at(9 * time.Second))
			},
			want: []fleet.EndpointID{"a", "b"},
		},
		"missing in the whole list that is read after an outage": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.MarkUnreachable()
				l.Replace(map[fleet.EndpointID]fleet.Endpoint{"a": {ID: "a"}}, at(5*time.Second))
				l.MarkReachable(at(5 * time.Second))
				l.MarkReachable(at(6 * time.Second))
			},
			want: []fleet.EndpointID{"a", "b"},
		},
		"missing in the whole list while the registry answers": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Replace(map[fleet.EndpointID]fleet.Endpoint{"a": {ID: "a"}}, at(5*time.Second))
			},
			want: []fleet.EndpointID{"a"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := &EndpointList{State: &clusterstate.State{}, ReconnectGrace: testReconnectGrace, RemovalGrace: testRemovalGrace}
			l.Put(fleet.Endpoint{ID: "a"})
			l.Put(fleet.Endpoint{ID: "b"})
			l.MarkReachable(start)
			tc.steps(l, start.Add)
			var got []fleet.EndpointID
			for id := range l.State.Endpoints.Snapshot().Rows {
				got = append(got, id)
			}
			slices.Sort(got)
			if !slices.Equal(got, tc.want) {
				t.Errorf("endpoints = %v, want %v", got, tc.want)
			}
		})
	}
}
