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
			steps: func(l *EndpointList, at func(time.Duration) time.Time) { l.Remove("b", Source{}, at(time.Second)) },
			want:  []fleet.EndpointID{"a"},
		},
		"gone at the first answer after an outage, kept for the grace": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.RecordOutage(at(5 * time.Second))
				l.Remove("b", Source{}, at(5*time.Second))
				l.DropExpired(at(5 * time.Second))
				l.DropExpired(at(6900 * time.Millisecond))
			},
			want: []fleet.EndpointID{"a", "b"},
		},
		"gone at the first answer after an outage, dropped behind the grace": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.RecordOutage(at(5 * time.Second))
				l.Remove("b", Source{}, at(5*time.Second))
				l.DropExpired(at(5 * time.Second))
				l.DropExpired(at(7 * time.Second))
			},
			want: []fleet.EndpointID{"a"},
		},
		"gone soon after the return, dropped within the drain time": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.RecordOutage(at(5 * time.Second))
				l.DropExpired(at(5 * time.Second))
				l.Remove("b", Source{}, at(5500*time.Millisecond))
				l.DropExpired(at(5500 * time.Millisecond))
				l.DropExpired(at(6300 * time.Millisecond))
			},
			want: []fleet.EndpointID{"a"},
		},
		"back after an outage": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.RecordOutage(at(5 * time.Second))
				l.Remove("b", Source{}, at(5*time.Second))
				l.DropExpired(at(5 * time.Second))
				l.Put(fleet.Endpoint{ID: "b"}, Source{}, at(5*time.Second))
				l.DropExpired(at(9 * time.Second))
			},
			want: []fleet.EndpointID{"a", "b"},
		},
		"missing in the whole list that is read after an outage": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.RecordOutage(at(5 * time.Second))
				l.Replace(map[fleet.EndpointID]fleet.Endpoint{"a": {ID: "a"}}, Source{}, at(5*time.Second))
				l.DropExpired(at(5 * time.Second))
				l.DropExpired(at(6 * time.Second))
			},
			want: []fleet.EndpointID{"a", "b"},
		},
		"missing in the whole list while the registry answers": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Replace(map[fleet.EndpointID]fleet.Endpoint{"a": {ID: "a"}}, Source{}, at(5*time.Second))
			},
			want: []fleet.EndpointID{"a"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := &EndpointList{State: &clusterstate.State{}, ReconnectGrace: testReconnectGrace, RemovalGrace: testRemovalGrace}
			l.Put(fleet.Endpoint{ID: "a"}, Source{}, start)
			l.Put(fleet.Endpoint{ID: "b"}, Source{}, start)
			l.DropExpired(start)
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

// TestDepartures checks that an incarnation that leaves or was removed does not come back, and that a later one does.
func TestDepartures(t *testing.T) {
	const lapse = 5 * time.Second
	start := time.Unix(1000, 0)
	live := func(incarnation fleet.Incarnation) fleet.Endpoint {
		return fleet.Endpoint{ID: "a", State: fleet.StateLive, Incarnation: incarnation}
	}
	listed := func(endpoints ...fleet.Endpoint) map[fleet.EndpointID]fleet.Endpoint {
		rows := make(map[fleet.EndpointID]fleet.Endpoint)
		for _, endpoint := range endpoints {
			rows[endpoint.ID] = endpoint
		}
		return rows
	}
	leaving := live(5)
	leaving.State = fleet.StateLeaving
	tests := map[string]struct {
		steps func(l *EndpointList, at func(time.Duration) time.Time)
		// want is the state of the endpoint after the steps; "" means that it is not listed.
		want fleet.State
	}{
		"announced": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) { l.MarkLeaving("a", 5, true, at(0)) },
			want:  fleet.StateLeaving,
		},
		"announced, then listed as live": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.MarkLeaving("a", 5, false, at(0))
				l.Put(live(5), Source{}, at(time.Second))
				l.Replace(listed(live(5)), Source{}, at(2*time.Second))
			},
			want: fleet.StateLeaving,
		},
		"announced by an earlier incarnation": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) { l.MarkLeaving("a", 4, true, at(0)) },
			want:  fleet.StateLive,
		},
		"announced, then a later incarnation": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.MarkLeaving("a", 5, true, at(0))
				l.Put(live(6), Source{}, at(time.Second))
			},
			want: fleet.StateLive,
		},
		"listed as leaving, then as live": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Put(leaving, Source{}, at(0))
				l.Put(live(5), Source{}, at(time.Second))
			},
			want: fleet.StateLeaving,
		},
		"leaving, then live in a restored registry": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Put(leaving, Source{}, at(0))
				l.Restore(listed(live(5)), Source{}, at(time.Second))
				l.DropExpired(at(time.Minute))
			},
			want: fleet.StateLeaving,
		},
		"removed, then in a restored registry": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Remove("a", Source{}, at(0))
				l.Restore(listed(live(5)), Source{}, at(time.Second))
				l.DropExpired(at(time.Second + lapse - 1))
			},
		},
		"removed, restored, removed again": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Remove("a", Source{}, at(0))
				l.Restore(listed(live(5)), Source{}, at(time.Second))
				l.Remove("a", Source{}, at(4*time.Second))
				l.DropExpired(at(time.Second + lapse))
			},
		},
		"removed, restored, not removed again": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Remove("a", Source{}, at(0))
				l.Restore(listed(live(5)), Source{}, at(time.Second))
				l.DropExpired(at(time.Second + lapse))
			},
			want: fleet.StateLive,
		},
		"removed, restored, written again": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Remove("a", Source{}, at(0))
				l.Restore(listed(live(5)), Source{}, at(time.Second))
				l.Put(live(5), Source{}, at(2*time.Second))
			},
			want: fleet.StateLive,
		},
		"restored twice": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Remove("a", Source{}, at(0))
				l.Restore(listed(live(5)), Source{}, at(time.Second))
				l.Restore(listed(live(5)), Source{}, at(4*time.Second))
				l.DropExpired(at(time.Second + lapse))
			},
		},
		"never known, then in a restored registry": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Remove("a", Source{}, at(0))
				l.departures = departures{}
				l.Restore(listed(live(5)), Source{}, at(time.Second))
				l.DropExpired(at(time.Second + lapse - 1))
			},
		},
		"later incarnation in a restored registry": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Remove("a", Source{}, at(0))
				l.Restore(listed(live(6)), Source{}, at(time.Second))
			},
			want: fleet.StateLive,
		},
		"missing in a restored registry, within the grace": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Restore(listed(), Source{}, at(time.Second))
				l.DropExpired(at(time.Second + testReconnectGrace - 1))
			},
			want: fleet.StateLive,
		},
		"missing in a restored registry, after the grace": {
			steps: func(l *EndpointList, at func(time.Duration) time.Time) {
				l.Restore(listed(), Source{}, at(time.Second))
				l.DropExpired(at(time.Second + testReconnectGrace))
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := &EndpointList{
				State: &clusterstate.State{}, ReconnectGrace: testReconnectGrace, RemovalGrace: testRemovalGrace, LapseTime: lapse,
			}
			l.Put(live(5), Source{}, start)
			l.DropExpired(start)
			tc.steps(l, start.Add)
			got, _ := l.State.Endpoints.Get("a")
			if got.State != tc.want {
				t.Errorf("state = %q, want %q", got.State, tc.want)
			}
		})
	}
}

// TestAnnouncementsArePassedOnBriefly checks that other entries are told of announcements to this entry only, and for
// announcementTTL.
func TestAnnouncementsArePassedOnBriefly(t *testing.T) {
	start := time.Unix(1000, 0)
	l := &EndpointList{State: &clusterstate.State{}}
	l.MarkLeaving("a", 1, true, start)
	l.MarkLeaving("b", 2, false, start)
	if got := l.Announced(start.Add(announcementTTL)); len(got) != 1 || got["a"] != 1 {
		t.Errorf("announced = %v, want only incarnation 1 of a", got)
	}
	if got := l.Announced(start.Add(announcementTTL + 1)); len(got) != 0 {
		t.Errorf("announced = %v after announcementTTL, want none", got)
	}
}
