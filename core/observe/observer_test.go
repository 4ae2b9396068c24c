package observe

import (
	"testing"

	metrics "github.com/rcrowley/go-metrics"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/timeline"
	"wisteriadyke/core/warmup"
)

// owned is the state of the endpoints that a test owns.
type owned struct {
	status []scheduler.Status
}

func (o *owned) Status() []scheduler.Status { return o.status }

func TestObserverRecordsChangesOnce(t *testing.T) {
	entry := fleet.Entry{ID: "b", Zone: "a", State: fleet.StateLive, Incarnation: 1}
	tests := map[string]struct {
		before func(*clusterstate.State, *owned)
		change func(*clusterstate.State, *owned)
		kind   timeline.Kind
		reason string
	}{
		"configuration": {
			change: func(b *clusterstate.State, _ *owned) {
				b.Configuration.Set(clusterstate.SingleKey{}, config.Configuration{Revision: 3})
			},
			kind: timeline.KindConfigurationApplied,
		},
		"drain": {
			change: func(b *clusterstate.State, _ *owned) {
				b.Zones.Set("a", config.ZoneState{Zone: "a", Revision: 1, Drained: true})
			},
			kind: timeline.KindZoneChanged, reason: reasonDrained,
		},
		"restore": {
			before: func(b *clusterstate.State, _ *owned) {
				b.Zones.Set("a", config.ZoneState{Zone: "a", Revision: 1, Drained: true})
			},
			change: func(b *clusterstate.State, _ *owned) { b.Zones.Set("a", config.ZoneState{Zone: "a", Revision: 2}) },
			kind:   timeline.KindZoneChanged, reason: reasonRestored,
		},
		"entry joins": {
			change: func(b *clusterstate.State, _ *owned) { b.Entries.Set("b", entry) },
			kind:   timeline.KindMemberChanged, reason: reasonJoined,
		},
		"entry goes": {
			before: func(b *clusterstate.State, _ *owned) { b.Entries.Set("b", entry) },
			change: func(b *clusterstate.State, _ *owned) { b.Entries.Delete("b") },
			kind:   timeline.KindMemberChanged, reason: reasonGone,
		},
		"endpoint owned": {
			change: func(_ *clusterstate.State, o *owned) { o.status = []scheduler.Status{{Endpoint: "e", Fence: 1}} },
			kind:   timeline.KindOwnershipAcquired,
		},
		"endpoint given up": {
			before: func(_ *clusterstate.State, o *owned) { o.status = []scheduler.Status{{Endpoint: "e", Fence: 1}} },
			change: func(_ *clusterstate.State, o *owned) { o.status = nil },
			kind:   timeline.KindOwnershipReleased,
		},
		"endpoint turns cold": {
			before: func(_ *clusterstate.State, o *owned) { o.status = []scheduler.Status{{Endpoint: "e", Fence: 1}} },
			change: func(_ *clusterstate.State, o *owned) {
				o.status = []scheduler.Status{{Endpoint: "e", Fence: 1, Warmth: warmup.State{Cold: true}}}
			},
			kind: timeline.KindWarmthChanged, reason: "cold",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			board := &clusterstate.State{}
			endpoints := &owned{}
			o := &Observer{State: board, Owned: endpoints, Timeline: &timeline.Recorder{Entry: "a"}, Metrics: metrics.NewRegistry()}
			if tc.before != nil {
				tc.before(board, endpoints)
			}
			o.look()
			seen := len(o.Timeline.Events(timeline.Filter{}))
			tc.change(board, endpoints)
			o.look()
			o.look()
			events := o.Timeline.Events(timeline.Filter{})[seen:]
			if len(events) != 1 || events[0].Kind != tc.kind || events[0].Reason != tc.reason {
				t.Errorf("recorded %+v, want one %s %q", events, tc.kind, tc.reason)
			}
		})
	}
}
