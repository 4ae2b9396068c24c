package platform

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/core/ownership"
)

const (
	// pollInterval is the time between two looks at the platform.
	pollInterval = time.Second
	// pollTimeout bounds one look at the platform; an answer that comes later is dropped as too old.
	pollTimeout = 5 * time.Second
	// standbyAfter is the silence of the zone's polling entry after which the others poll too.
	standbyAfter = 2500 * time.Millisecond
	// pollerKey is the rendezvous key of the entry that polls for its zone.
	pollerKey fleet.EndpointID = "poller"
)

// PollSource is the part of Client that the poller reads.
type PollSource interface {
	TableService
	// Instances is that of Client.
	Instances(ctx context.Context) ([]Instance, error)
}

// Poller keeps configuration, zone states and the instance list up to date, by the platform and by what other entries
// spread. It writes the endpoints, configuration and zones of the blackboard, and reads its entries and configuration.
// The highest revision of configuration and zones stays in force; what can't be read stays as it was.
//
// One entry of each zone polls, the others hear from it. An entry polls itself while it knows no other entries, while
// nothing is in force and when it has heard of no successful poll for a while.
type Poller struct {
	// Client reaches the platform.
	Client PollSource
	// State takes what the platform tells.
	State *clusterstate.State
	// Entry is this entry.
	Entry fleet.EntryID
	// Zone is this entry's availability zone.
	Zone fleet.Zone
	// Gossip carries what was read to other entries; nil means that this entry polls alone.
	Gossip *gossip.Store
	// Listed takes the entries of the instance list; nil stands for the entries of the blackboard.
	Listed *clusterstate.Table[fleet.EntryID, fleet.Entry]
	// Log takes the controller's messages.
	Log zerolog.Logger

	mu        sync.Mutex
	sightings sightings
	adopted   map[string]uint64
	polled    uint64
	heardAt   time.Time
	refused   map[string]uint64
	failing   bool
}

// Run polls and hears until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	p.prepare()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.runPolls(ctx) })
	if p.Gossip != nil {
		group.Go(func() error { return p.runHearing(ctx) })
	}
	return group.Wait()
}

// prepare sets what Run needs.
func (p *Poller) prepare() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopted = make(map[string]uint64)
	p.refused = make(map[string]uint64)
	p.heardAt = time.Now()
}

// runPolls polls at every tick at which it is due.
func (p *Poller) runPolls(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if p.due(time.Now()) {
			p.poll(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// due tells whether this entry has to poll now.
func (p *Poller) due(now time.Time) bool {
	if p.Gossip == nil {
		return true
	}
	if _, found := p.State.Configuration.Get(clusterstate.SingleKey{}); !found {
		return true
	}
	entries := p.State.Entries.Snapshot().Rows
	if _, known := entries[p.Entry]; !known {
		return true
	}
	if ownership.RendezvousOwner(fleet.Endpoint{ID: pollerKey, Zone: p.Zone}, entries) == p.Entry {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.heardAt) > standbyAfter
}

// poll looks at the platform once; what can't be read stays as it was.
func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return p.pollInstances(ctx) })
	group.Go(func() error { return p.pollConfiguration(ctx) })
	group.Go(func() error { return p.pollZones(ctx) })
	err := group.Wait()
	p.note(err)
	if err == nil && p.Gossip != nil {
		key := polledPrefix + string(p.Zone)
		p.Gossip.Put(gossip.Item{Key: key, Revision: p.Gossip.NextRevision(key, time.Now())})
	}
}

// note logs the first failed poll and the first successful one after it.
func (p *Poller) note(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && !p.failing {
		p.Log.Warn().Err(err).Msg("platform: cannot be read; what is known stays in force")
	}
	if err == nil && p.failing {
		p.Log.Info().Msg("platform: can be read again")
	}
	p.failing = err != nil
}

// pollInstances reads the instance list.
func (p *Poller) pollInstances(ctx context.Context) error {
	list, err := p.Client.Instances(ctx)
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.observe(list)
	return nil
}

// pollConfiguration reads the configuration if its revision is higher than the one in force.
func (p *Poller) pollConfiguration(ctx context.Context) error {
	reviser := RecordUpdater{Tables: p.Client}
	heads, err := reviser.Read(ctx, ConfigurationHead)
	if err != nil {
		return err
	}
	revision := heads[0].Latest().Revision
	if old, _ := p.State.Configuration.Get(clusterstate.SingleKey{}); revision <= max(old.Revision, p.refusedRevision(configurationKey)) {
		return nil
	}
	rows, err := p.Client.Read(ctx, []RowKey{ConfigurationRow})
	if err != nil {
		return err
	}
	configuration, ok := p.takeConfiguration(rows[0].Value, revision)
	if ok && p.Gossip != nil {
		p.Gossip.Put(gossip.Item{
			Key:      configurationKey,
			Revision: configuration.Revision,
			Urgent:   true,
			Payload:  rows[0].Value,
		})
	}
	return nil
}

// pollZones reads the states of all zones that operators have ever changed.
func (p *Poller) pollZones(ctx context.Context) error {
	reviser := RecordUpdater{Tables: p.Client}
	zones, err := reviser.ReadZones(ctx)
	if err != nil {
		return err
	}
	for _, zone := range zones {
		if p.takeZone(zone.State) {
			p.spreadZone(zone.State)
		}
	}
	return nil
}
