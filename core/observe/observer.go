// Package observe records the changes that one entry sees in its time line.
package observe

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/timeline"
)

// PollInterval is the time between two looks at the blackboard.
const PollInterval = 250 * time.Millisecond

// The reasons of events about entries, endpoints and availability zones.
const (
	reasonJoined   = "joined"
	reasonGone     = "gone"
	reasonDrained  = "drained"
	reasonRestored = "restored"
)

// OwnedEndpoints tells the state of the endpoints that this entry owns; *scheduler.Pool does.
type OwnedEndpoints interface {
	// Status returns the state of every owned endpoint.
	Status() []scheduler.Status
}

// Observer records changes of the configuration, availability zones, entries and ownership. It reads the blackboard and
// writes none of its tables.
type Observer struct {
	// State is watched.
	State *clusterstate.State
	// Owned is watched.
	Owned OwnedEndpoints
	// Timeline takes the events.
	Timeline *timeline.Recorder
	// Metrics takes the gauges.
	Metrics metrics.Registry

	revision uint64
	zones    map[fleet.Zone]config.ZoneState
	entries  map[fleet.EntryID]fleet.Entry
	owned    map[fleet.EndpointID]scheduler.Status
}

// Run records until ctx ends; it returns no error.
func (o *Observer) Run(ctx context.Context) error {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		o.look()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// look records what has changed since the last look.
func (o *Observer) look() {
	o.lookAtConfiguration()
	o.lookAtZones()
	o.lookAtEntries()
	o.lookAtOwned()
	o.measure()
}

// measure sets the gauges of what this entry owns and knows.
func (o *Observer) measure() {
	var running, queue, cold, used int64
	for _, status := range o.owned {
		running += int64(status.Running)
		queue += int64(status.Queue)
		used += int64(status.Used)
		if status.Warmth.Cold {
			cold++
		}
	}
	o.gauge("scheduler.endpoints", int64(len(o.owned)))
	o.gauge("scheduler.running", running)
	o.gauge("scheduler.queue", queue)
	o.gauge("scheduler.used_tokens", used)
	o.gauge("scheduler.cold_endpoints", cold)
	o.gauge("membership.entries", int64(len(o.entries)))
	o.gauge("configuration.revision", int64(o.revision))
}

// gauge sets one gauge.
func (o *Observer) gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, o.Metrics).Update(value)
}

// lookAtConfiguration records a new revision.
func (o *Observer) lookAtConfiguration() {
	configuration, _ := o.State.Configuration.Get(clusterstate.SingleKey{})
	if configuration.Revision == o.revision {
		return
	}
	o.revision = configuration.Revision
	o.Timeline.Record(timeline.Event{Kind: timeline.KindConfigurationApplied, Revision: configuration.Revision})
}

// lookAtZones records drained and restored zones.
func (o *Observer) lookAtZones() {
	rows := o.State.Zones.Snapshot().Rows
	for name, state := range rows {
		if state.Revision == o.zones[name].Revision {
			continue
		}
		reason := reasonRestored
		if state.Drained {
			reason = reasonDrained
		}
		o.Timeline.Record(timeline.Event{Kind: timeline.KindZoneChanged, Zone: name, Reason: reason, Revision: state.Revision})
	}
	o.zones = rows
}

// lookAtEntries records entries that came, went or changed their state.
func (o *Observer) lookAtEntries() {
	rows := o.State.Entries.Snapshot().Rows
	for id, entry := range rows {
		old, known := o.entries[id]
		switch {
		case !known || old.Incarnation != entry.Incarnation:
			o.member(entry, reasonJoined)
		case old.State != entry.State:
			o.member(entry, string(entry.State))
		}
	}
	for id, entry := range o.entries {
		if _, still := rows[id]; !still {
			o.member(entry, reasonGone)
		}
	}
	o.entries = rows
}

// member records what became of an entry.
func (o *Observer) member(entry fleet.Entry, reason string) {
	o.Timeline.Record(timeline.Event{Kind: timeline.KindMemberChanged, Peer: entry.ID, Zone: entry.Zone, Reason: reason})
}

// lookAtOwned records endpoints that this entry owns from now on or no more, and those that turned cold or warm.
func (o *Observer) lookAtOwned() {
	now := make(map[fleet.EndpointID]scheduler.Status)
	for _, status := range o.Owned.Status() {
		now[status.Endpoint] = status
		old, known := o.owned[status.Endpoint]
		if !known || old.Fence != status.Fence {
			o.Timeline.Record(timeline.Event{Kind: timeline.KindOwnershipAcquired, Endpoint: status.Endpoint, Revision: uint64(status.Fence)})
		}
		if known && old.Warmth.Cold != status.Warmth.Cold {
			o.Timeline.Record(timeline.Event{Kind: timeline.KindWarmthChanged, Endpoint: status.Endpoint, Reason: warmthOf(status)})
		}
	}
	for id, old := range o.owned {
		if _, still := now[id]; !still {
			o.Timeline.Record(timeline.Event{Kind: timeline.KindOwnershipReleased, Endpoint: id, Revision: uint64(old.Fence)})
		}
	}
	o.owned = now
}

// warmthOf names the warmth of an endpoint.
func warmthOf(status scheduler.Status) string {
	if status.Warmth.Cold {
		return "cold"
	}
	return "warm"
}
