// Package observe polls the cluster state and the owned endpoints of one entry, records their changes in the timeline
// and updates gauges.
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

// PollInterval is the time between two polls of the cluster state.
const PollInterval = 250 * time.Millisecond

// The reasons of events about entries and availability zones.
const (
	reasonJoined   = "joined"
	reasonGone     = "gone"
	reasonDrained  = "drained"
	reasonRestored = "restored"
)

// OwnedEndpoints provides the state of the endpoints that this entry owns. It is implemented by *scheduler.Pool.
type OwnedEndpoints interface {
	// Status returns the state of every owned endpoint.
	Status() []scheduler.Status
}

// Observer records changes of the configuration, availability zones, entries and ownership as events, and updates
// gauges. It reads the cluster state and writes none of its tables.
type Observer struct {
	// State is the cluster state to watch.
	State *clusterstate.State
	// Owned provides the owned endpoints to watch.
	Owned OwnedEndpoints
	// Timeline receives the events.
	Timeline *timeline.Recorder
	// Metrics receives the gauges.
	Metrics metrics.Registry

	// revision, zones, entries and owned hold what the previous poll found.
	revision uint64
	zones    map[fleet.Zone]config.ZoneState
	entries  map[fleet.EntryID]fleet.Entry
	owned    map[fleet.EndpointID]scheduler.Status
}

// Run polls and records until ctx ends. It always returns nil.
func (o *Observer) Run(ctx context.Context) error {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		o.poll()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// poll records what has changed since the previous poll and updates the gauges.
func (o *Observer) poll() {
	o.recordConfiguration()
	o.recordZones()
	o.recordEntries()
	o.recordOwned()
	o.updateGauges()
}

// updateGauges sets the gauges of owned endpoints, known entries and the configuration revision.
func (o *Observer) updateGauges() {
	var running, queue, cold, used int64
	for _, status := range o.owned {
		running += int64(status.Running)
		queue += int64(status.Queue)
		used += int64(status.Used)
		if status.Warmth.Cold {
			cold++
		}
	}
	o.setGauge("scheduler.endpoints", int64(len(o.owned)))
	o.setGauge("scheduler.running", running)
	o.setGauge("scheduler.queue", queue)
	o.setGauge("scheduler.used_tokens", used)
	o.setGauge("scheduler.cold_endpoints", cold)
	o.setGauge("membership.entries", int64(len(o.entries)))
	o.setGauge("configuration.revision", int64(o.revision))
}

// setGauge sets a gauge, and registers it at its first use.
func (o *Observer) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, o.Metrics).Update(value)
}

// recordConfiguration records a new configuration revision.
func (o *Observer) recordConfiguration() {
	configuration, _ := o.State.Configuration.Get(clusterstate.SingleKey{})
	if configuration.Revision == o.revision {
		return
	}
	o.revision = configuration.Revision
	o.Timeline.Record(timeline.Event{Kind: timeline.KindConfigurationApplied, Revision: configuration.Revision})
}

// recordZones records, for each zone whose state has a new revision, whether it was drained or restored.
func (o *Observer) recordZones() {
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

// recordEntries records entries that joined, disappeared or changed their state. A new incarnation counts as joined.
func (o *Observer) recordEntries() {
	rows := o.State.Entries.Snapshot().Rows
	for id, entry := range rows {
		old, known := o.entries[id]
		switch {
		case !known || old.Incarnation != entry.Incarnation:
			o.recordMember(entry, reasonJoined)
		case old.State != entry.State:
			o.recordMember(entry, string(entry.State))
		}
	}
	for id, entry := range o.entries {
		if _, found := rows[id]; !found {
			o.recordMember(entry, reasonGone)
		}
	}
	o.entries = rows
}

// recordMember records a change of an entry.
func (o *Observer) recordMember(entry fleet.Entry, reason string) {
	o.Timeline.Record(timeline.Event{Kind: timeline.KindMemberChanged, Peer: entry.ID, Zone: entry.Zone, Reason: reason})
}

// recordOwned records endpoints whose ownership was acquired or released, and those that became cold or warm. A changed
// fencing token counts as acquired.
func (o *Observer) recordOwned() {
	current := make(map[fleet.EndpointID]scheduler.Status)
	for _, status := range o.Owned.Status() {
		current[status.Endpoint] = status
		old, known := o.owned[status.Endpoint]
		if !known || old.Fence != status.Fence {
			o.Timeline.Record(timeline.Event{Kind: timeline.KindOwnershipAcquired, Endpoint: status.Endpoint, Revision: uint64(status.Fence)})
		}
		if known && old.Warmth.Cold != status.Warmth.Cold {
			o.Timeline.Record(timeline.Event{Kind: timeline.KindWarmthChanged, Endpoint: status.Endpoint, Reason: warmthReason(status)})
		}
	}
	for id, old := range o.owned {
		if _, found := current[id]; !found {
			o.Timeline.Record(timeline.Event{Kind: timeline.KindOwnershipReleased, Endpoint: id, Revision: uint64(old.Fence)})
		}
	}
	o.owned = current
}

// warmthReason returns the reason of a KindWarmthChanged event: "cold" or "warm".
func warmthReason(status scheduler.Status) string {
	if status.Warmth.Cold {
		return "cold"
	}
	return "warm"
}
