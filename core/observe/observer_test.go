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

// fakeOwned is an OwnedEndpoints with a settable state.
type fakeOwned struct {
	status []scheduler.Status
}

func (o *fakeOwned) Status() []scheduler.Status { return o.status }

func TestObserverRecordsChangesOnce(t *testing.T) {
	entry := fleet.Entry{ID: "b", Zone: "a", State: fleet.StateLive, Incarnation: 1}
	tests := map[string]struct {
		before func(*clusterstate.State, *fakeOwned)
		change func(*clusterstate.State, *fakeOwned)
		kind   timeline.Kind
		reason string
	}{
		"configuration": {
			change: func(b *clusterstate.State, _ *fakeOwned) {
				b.Configuration.Set(clusterstate.SingleKey{}, config.Configuration{Revision: 3})
			},
			kind: timeline.KindConfigurationApplied,
		},
		"drain": {
			change: func(b *clusterstate.State, _ *fakeOwned) {
				b.Zones.Set("a", config.ZoneState{Zone: "a", Revision: 1, Drained: true})
			},
			kind: timeline.KindZoneChanged, reason: reasonDrained,
		},
		"restore": {
			before: func(b *clusterstate.State, _ *fakeOwned) {
				b.Zones.Set("a", config.ZoneState{Zone: "a", Revision: 1, Drained: true})
			},
			change: func(b *clusterstate.State, _ *fakeOwned) { b.Zones.Set("a", config.ZoneState{Zone: "a", Revision: 2}) },
			kind:   timeline.KindZoneChanged, reason: reasonRestored,
		},
		"entry joins": {
			change: func(b *clusterstate.State, _ *fakeOwned) { b.Entries.Set("b", entry) },
			kind:   timeline.KindMemberChanged, reason: reasonJoined,
		},
		"entry goes": {
			before: func(b *clusterstate.State, _ *fakeOwned) { b.Entries.Set("b", entry) },
			change: func(b *clusterstate.State, _ *fakeOwned) { b.Entries.Delete("b") },
			kind:   timeline.KindMemberChanged, reason: reasonGone,
		},
		"endpoint owned": {
			change: func(_ *clusterstate.State, o *fakeOwned) { o.status = []scheduler.Status{{Endpoint: "e", Fence: 1}} },
			kind:   timeline.KindOwnershipAcquired,
		},
		"endpoint given up": {
			before: func(_ *clusterstate.State, o *fakeOwned) { o.status = []scheduler.Status{{Endpoint: "e", Fence: 1}} },
			change: func(_ *clusterstate.State, o *fakeOwned) { o.status = nil },
			kind:   timeline.KindOwnershipReleased,
		},
		"endpoint turns cold": {
			before: func(_ *clusterstate.State, o *fakeOwned) { o.status = []scheduler.Status{{Endpoint: "e", Fence: 1}} },
			change: func(_ *clusterstate.State, o *fakeOwned) {
				o.status = []scheduler.Status{{Endpoint: "e", Fence: 1, Warmth: warmup.State{Cold: true}}}
			},
			kind: timeline.KindWarmthChanged, reason: "cold",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			state := &clusterstate.State{}
			endpoints := &fakeOwned{}
			o := &Observer{State: state, Owned: endpoints, Timeline: &timeline.Recorder{Entry: "a"}, Metrics: metrics.NewRegistry()}
			if tc.before != nil {
				tc.before(state, endpoints)
			}
			o.poll()
			seen := len(o.Timeline.Events(timeline.Filter{}))
			tc.change(state, endpoints)
			o.poll()
			o.poll()
			events := o.Timeline.Events(timeline.Filter{})[seen:]
			if len(events) != 1 || events[0].Kind != tc.kind || events[0].Reason != tc.reason {
				t.Errorf("recorded %+v, want one event of kind %s with reason %q", events, tc.kind, tc.reason)
			}
		})
	}
}
