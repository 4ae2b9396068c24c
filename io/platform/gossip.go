package platform

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/io/declaration"
)

// Keys of the gossip items by which entries share what they read from the platform.
const (
	// configurationKey is the key of the configuration in its stored form. The item's revision is that of the
	// configuration.
	configurationKey = "configuration"
	// zonePrefix is the key prefix of the states of zones; the zone name follows. The item's revision is that of the
	// zone.
	zonePrefix = "zone/"
	// instancesPrefix is the key prefix of the filtered instance lists; the name of the zone whose polling entry read
	// the list follows. The revision is derived from the time.
	instancesPrefix = "instances/"
	// polledPrefix is the key prefix of the empty items that polling entries write after each successful poll; the zone
	// name follows. The revision is derived from the time.
	polledPrefix = "polled/"
)

// otherZoneAfter is the time without a successful poll in its own zone after which an entry applies the instance list
// of another zone.
const otherZoneAfter = 10 * time.Second

// runGossip applies the gossip items of other entries until ctx ends, after each change of the gossip store and at
// least once per pollInterval.
func (p *Poller) runGossip(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		changed := p.Gossip.Changed()
		p.applyGossip(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// applyGossip applies the items of the gossip store that are newer than what this entry has applied.
func (p *Poller) applyGossip(now time.Time) {
	if item, found := p.Gossip.Get(configurationKey); found {
		p.applyConfiguration(item.Payload, item.Revision)
	}
	for _, item := range p.Gossip.List(zonePrefix) {
		zone := fleet.Zone(strings.TrimPrefix(item.Key, zonePrefix))
		if old, _ := p.State.Zones.Get(zone); item.Revision > old.Revision {
			p.applyZoneItem(item)
		}
	}
	p.updateLastPoll(now)
	p.applyInstancesItem(now)
}

// applyConfiguration decodes a stored configuration and applies it if its revision is higher than the current one. It
// returns the configuration and true if it was applied; otherwise it returns false, and the returned configuration must
// be ignored. A configuration that has any fault, or a lower revision than the given one, is rejected as a whole, and
// the given revision is not tried again. A higher revision than the given one is accepted, since the configuration may
// have been replaced after its revision was read.
func (p *Poller) applyConfiguration(stored []byte, revision uint64) (config.Configuration, bool) {
	old, _ := p.State.Configuration.Get(clusterstate.SingleKey{})
	if revision <= max(old.Revision, p.rejectedRevision(configurationKey)) {
		return old, false
	}
	configuration, err := declaration.Decode(stored)
	if err != nil || configuration.Revision < revision {
		p.reject(configurationKey, revision, err)
		return configuration, false
	}
	applied := p.State.Configuration.Update(clusterstate.SingleKey{}, func(old config.Configuration, _ bool) (config.Configuration, bool) {
		return configuration, configuration.Revision > old.Revision
	})
	if applied {
		p.Log.Info().Uint64("revision", configuration.Revision).Msg("configuration: applied")
	}
	return configuration, applied
}

// reject records and logs a revision of a gossip key that cannot be applied. It does nothing if this revision or a
// higher one was rejected before.
func (p *Poller) reject(key string, revision uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rejected[key] >= revision {
		return
	}
	p.rejected[key] = revision
	p.Log.Error().Err(err).Uint64("revision", revision).Msg(key + ": revision rejected; the current one remains active")
}

// rejectedRevision returns the highest revision of a key that was rejected, 0 if none was.
func (p *Poller) rejectedRevision(key string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejected[key]
}

// applyZoneItem applies the state of a zone from a gossip item. It rejects the item if it cannot be decoded or its
// revision differs from that of the state.
func (p *Poller) applyZoneItem(item gossip.Item) {
	var wire wireZoneState
	if err := json.Unmarshal(item.Payload, &wire); err != nil || wire.Revision != item.Revision {
		p.reject(item.Key, item.Revision, err)
		return
	}
	p.applyZone(config.ZoneState(wire))
}

// applyZone applies the state of a zone if its revision is higher than the current one, and reports whether it did.
//
// If the zone is known already, ChangedAt is set to this entry's current time, so that the traffic of a restored zone
// is ramped up even if the operator's clock is wrong. For the first known state of a zone, ChangedAt remains the time
// at which the operator wrote it, unless that lies in the future.
func (p *Poller) applyZone(state config.ZoneState) bool {
	now := time.Now()
	applied := p.State.Zones.Update(state.Zone, func(old config.ZoneState, found bool) (config.ZoneState, bool) {
		if found || state.ChangedAt.After(now) {
			state.ChangedAt = now
		}
		return state, state.Revision > old.Revision
	})
	if applied {
		p.Log.Info().Str("zone", string(state.Zone)).Bool("drained", state.Drained).Uint64("revision", state.Revision).
			Msg("zone: state applied")
	}
	return applied
}

// gossipZone puts the state of a zone into the gossip store, which sends it to other entries. It does nothing if Gossip
// is nil.
func (p *Poller) gossipZone(state config.ZoneState) {
	if p.Gossip == nil {
		return
	}
	payload, err := json.Marshal(wireZoneState(state))
	if err != nil {
		return
	}
	key := zonePrefix + string(state.Zone)
	p.Gossip.Put(gossip.Item{Key: key, Revision: state.Revision, Urgent: true, Payload: payload})
}

// updateLastPoll sets lastPollAt to now if the gossip store contains an item of a successful poll of this zone that is
// newer than lastPollRevision.
func (p *Poller) updateLastPoll(now time.Time) {
	item, found := p.Gossip.Get(polledPrefix + string(p.Zone))
	p.mu.Lock()
	defer p.mu.Unlock()
	if found && item.Revision > p.lastPollRevision {
		p.lastPollRevision = item.Revision
		p.lastPollAt = now
	}
}

// applyInstancesItem applies the gossiped instance list of this zone. If this entry has no list or has received no poll
// of its zone within otherZoneAfter, it applies the list of the zone that polled last.
func (p *Poller) applyInstancesItem(now time.Time) {
	zone := string(p.Zone)
	p.mu.Lock()
	silent := len(p.instanceFilter.rows) == 0 || now.Sub(p.lastPollAt) > otherZoneAfter
	p.mu.Unlock()
	if silent {
		zone = p.lastPolledZone()
	}
	item, found := p.Gossip.Get(instancesPrefix + zone)
	p.mu.Lock()
	known := item.Revision <= p.adoptedRevisions[item.Key]
	p.mu.Unlock()
	if found && !known {
		p.adopt(item)
	}
}

// lastPolledZone returns the zone with the most recent successful poll in the gossip store, or this zone if there is
// none.
func (p *Poller) lastPolledZone() string {
	freshest := gossip.Item{Key: polledPrefix + string(p.Zone)}
	for _, item := range p.Gossip.List(polledPrefix) {
		if item.Revision > freshest.Revision {
			freshest = item
		}
	}
	return strings.TrimPrefix(freshest.Key, polledPrefix)
}

// adopt replaces the instance list with the one in a gossip item, unless an item of the same key with this or a higher
// revision was adopted before. An item that cannot be decoded is rejected.
func (p *Poller) adopt(item gossip.Item) {
	var wire []wireInstance
	if err := json.Unmarshal(item.Payload, &wire); err != nil {
		p.reject(item.Key, item.Revision, err)
		return
	}
	list := make([]Instance, len(wire))
	for i, w := range wire {
		list[i] = Instance(w)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if item.Revision <= p.adoptedRevisions[item.Key] {
		return
	}
	p.adoptedRevisions[item.Key] = item.Revision
	p.instanceFilter.adopt(list)
	p.writeInstances(list)
}

// observe applies a polled instance list to the filter, after the gossiped list if that is new, and writes the filtered
// list to the cluster state. It gossips the filtered list if that has changed or the gossip store contains no list of
// this zone.
func (p *Poller) observe(list []Instance) {
	if p.Gossip != nil {
		p.applyInstancesItem(time.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.instanceFilter.list()
	known := p.instanceFilter.observe(list)
	p.writeInstances(known)
	if p.Gossip == nil || len(known) == 0 || slices.Equal(before, known) && p.instancesGossiped() {
		return
	}
	p.gossipInstances(known)
}

// instancesGossiped reports whether the gossip store contains an instance list of this zone. The caller holds the lock.
func (p *Poller) instancesGossiped() bool {
	_, found := p.Gossip.Get(instancesPrefix + string(p.Zone))
	return found
}

// gossipInstances puts an instance list into the gossip store, which sends it to other entries. The caller holds the
// lock.
func (p *Poller) gossipInstances(list []Instance) {
	wire := make([]wireInstance, len(list))
	for i, instance := range list {
		wire[i] = wireInstance(instance)
	}
	payload, err := json.Marshal(wire)
	if err != nil {
		return
	}
	key := instancesPrefix + string(p.Zone)
	item := gossip.Item{Key: key, Revision: p.Gossip.NextRevision(key, time.Now()), Urgent: true, Payload: payload}
	if p.Gossip.Put(item) {
		p.adoptedRevisions[key] = item.Revision
	}
}

// writeInstances writes an instance list to the cluster state, but its entries to Listed if that is set. The caller
// holds the lock.
func (p *Poller) writeInstances(list []Instance) {
	endpoints := make(map[fleet.EndpointID]fleet.Endpoint)
	entries := make(map[fleet.EntryID]fleet.Entry)
	for _, instance := range list {
		if instance.Kind == KindEntry {
			entry := instance.entry()
			entries[entry.ID] = entry
			continue
		}
		endpoint := instance.Endpoint()
		endpoints[endpoint.ID] = endpoint
	}
	if !maps.Equal(p.State.Endpoints.Snapshot().Rows, endpoints) {
		p.State.Endpoints.Replace(endpoints)
	}
	if p.Listed != nil {
		p.Listed.Replace(entries)
		return
	}
	p.State.Entries.Replace(entries)
}

// entry converts the instance to an entry that was last seen now.
func (i Instance) entry() fleet.Entry {
	return fleet.Entry{
		ID:         fleet.EntryID(i.ID),
		Zone:       i.Zone,
		Address:    i.Address,
		State:      i.State,
		LastSeenAt: time.Now(),
	}
}
