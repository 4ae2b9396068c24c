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

// The keys under which entries pass on what they read from the platform.
const (
	// configurationKey holds the stored form of the configuration, at its revision.
	configurationKey = "configuration"
	// zonePrefix stands before the name of a zone and holds its state, at its revision.
	zonePrefix = "zone/"
	// instancesPrefix stands before the zone whose polling entry found this instance list.
	instancesPrefix = "instances/"
	// polledPrefix stands before the zone whose polling entry has read the platform; the revision is a time.
	polledPrefix = "polled/"
)

// strangeAfter is the silence of its own zone after which an entry takes the instance list of another zone.
const strangeAfter = 10 * time.Second

// runHearing takes in what other entries spread.
func (p *Poller) runHearing(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		changed := p.Gossip.Changed()
		p.hear(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// hear takes in all that the spread store holds and is new.
func (p *Poller) hear(now time.Time) {
	if item, found := p.Gossip.Get(configurationKey); found {
		p.takeConfiguration(item.Payload, item.Revision)
	}
	for _, item := range p.Gossip.List(zonePrefix) {
		zone := fleet.Zone(strings.TrimPrefix(item.Key, zonePrefix))
		if old, _ := p.State.Zones.Get(zone); item.Revision > old.Revision {
			p.hearZone(item)
		}
	}
	p.hearPoll(now)
	p.hearInstances(now)
}

// takeConfiguration puts a configuration in force if its revision is higher; a faulty one is refused as a whole.
func (p *Poller) takeConfiguration(stored []byte, revision uint64) (config.Configuration, bool) {
	old, _ := p.State.Configuration.Get(clusterstate.SingleKey{})
	if revision <= max(old.Revision, p.refusedRevision(configurationKey)) {
		return old, false
	}
	configuration, err := declaration.Decode(stored)
	if err != nil || configuration.Revision < revision {
		p.refuse(configurationKey, revision, err)
		return configuration, false
	}
	taken := p.State.Configuration.Update(clusterstate.SingleKey{}, func(old config.Configuration, _ bool) (config.Configuration, bool) {
		return configuration, configuration.Revision > old.Revision
	})
	if taken {
		p.Log.Info().Uint64("revision", configuration.Revision).Msg("configuration: in force")
	}
	return configuration, taken
}

// refuse logs a revision that can't be used, once.
func (p *Poller) refuse(key string, revision uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refused[key] >= revision {
		return
	}
	p.refused[key] = revision
	p.Log.Error().Err(err).Uint64("revision", revision).Msg(key + ": refused; the old revision stays in force")
}

// refusedRevision returns the highest revision under a key that was refused.
func (p *Poller) refusedRevision(key string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused[key]
}

// hearZone takes in the state of a zone.
func (p *Poller) hearZone(item gossip.Item) {
	var wire wireZoneState
	if err := json.Unmarshal(item.Payload, &wire); err != nil || wire.Revision != item.Revision {
		p.refuse(item.Key, item.Revision, err)
		return
	}
	p.takeZone(config.ZoneState(wire))
}

// takeZone puts the state of a zone in force if its revision is higher.
//
// A change of a known state counts from now by this entry's clock, so that a return is ramped whatever the clock of
// the operator shows; a state that was there before this entry counts from when it was written.
func (p *Poller) takeZone(state config.ZoneState) bool {
	now := time.Now()
	taken := p.State.Zones.Update(state.Zone, func(old config.ZoneState, found bool) (config.ZoneState, bool) {
		if found || state.ChangedAt.After(now) {
			state.ChangedAt = now
		}
		return state, state.Revision > old.Revision
	})
	if taken {
		p.Log.Info().Str("zone", string(state.Zone)).Bool("drained", state.Drained).Uint64("revision", state.Revision).
			Msg("zone: state in force")
	}
	return taken
}

// spreadZone passes the state of a zone on.
func (p *Poller) spreadZone(state config.ZoneState) {
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

// hearPoll notes when an entry of this zone has last read the platform.
func (p *Poller) hearPoll(now time.Time) {
	item, found := p.Gossip.Get(polledPrefix + string(p.Zone))
	p.mu.Lock()
	defer p.mu.Unlock()
	if found && item.Revision > p.polled {
		p.polled = item.Revision
		p.heardAt = now
	}
}

// hearInstances takes in the instance list of this zone's polling entry, or after a long silence the freshest list.
func (p *Poller) hearInstances(now time.Time) {
	zone := string(p.Zone)
	p.mu.Lock()
	silent := len(p.sightings.rows) == 0 || now.Sub(p.heardAt) > strangeAfter
	p.mu.Unlock()
	if silent {
		zone = p.freshestZone()
	}
	item, found := p.Gossip.Get(instancesPrefix + zone)
	p.mu.Lock()
	known := item.Revision <= p.adopted[item.Key]
	p.mu.Unlock()
	if found && !known {
		p.adopt(item)
	}
}

// freshestZone returns the zone whose polling entry has last read the platform.
func (p *Poller) freshestZone() string {
	freshest := gossip.Item{Key: polledPrefix + string(p.Zone)}
	for _, item := range p.Gossip.List(polledPrefix) {
		if item.Revision > freshest.Revision {
			freshest = item
		}
	}
	return strings.TrimPrefix(freshest.Key, polledPrefix)
}

// adopt puts an instance list that another entry found in force.
func (p *Poller) adopt(item gossip.Item) {
	var wire []wireInstance
	if err := json.Unmarshal(item.Payload, &wire); err != nil {
		p.refuse(item.Key, item.Revision, err)
		return
	}
	list := make([]Instance, len(wire))
	for i, w := range wire {
		list[i] = Instance(w)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if item.Revision <= p.adopted[item.Key] {
		return
	}
	p.adopted[item.Key] = item.Revision
	p.sightings.adopt(list)
	p.write(list)
}

// observe takes in one answer of the instance list and passes the result on if it is new.
func (p *Poller) observe(list []Instance) {
	if p.Gossip != nil {
		p.hearInstances(time.Now())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.sightings.list()
	known := p.sightings.observe(list)
	p.write(known)
	if p.Gossip == nil || len(known) == 0 || slices.Equal(before, known) && p.spreadBefore() {
		return
	}
	p.spreadInstances(known)
}

// spreadBefore tells whether this zone's instance list has been passed on; the caller holds the lock.
func (p *Poller) spreadBefore() bool {
	_, found := p.Gossip.Get(instancesPrefix + string(p.Zone))
	return found
}

// spreadInstances passes an instance list on; the caller holds the lock.
func (p *Poller) spreadInstances(list []Instance) {
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
		p.adopted[key] = item.Revision
	}
}

// write puts an instance list on the blackboard; the caller holds the lock.
func (p *Poller) write(list []Instance) {
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

// entry returns the instance as an entry.
func (i Instance) entry() fleet.Entry {
	return fleet.Entry{
		ID:         fleet.EntryID(i.ID),
		Zone:       i.Zone,
		Address:    i.Address,
		State:      i.State,
		LastSeenAt: time.Now(),
	}
}
