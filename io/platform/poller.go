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
	// pollInterval is the time between two polls of the platform.
	pollInterval = time.Second
	// pollTimeout bounds one poll; a response that arrives later is dropped because it may be outdated.
	pollTimeout = 5 * time.Second
	// standbyAfter is the time without a successful poll in the zone after which entries other than the polling entry
	// poll too.
	standbyAfter = 2500 * time.Millisecond
	// pollerKey is the rendezvous key that elects the polling entry of a zone.
	pollerKey fleet.EndpointID = "poller"
)

// PollSource is the part of Client that a Poller reads.
type PollSource interface {
	TableService
	// Instances returns the instance list; see Client.Instances.
	Instances(ctx context.Context) ([]Instance, error)
}

// Poller keeps configuration, zone states and the instance list up to date, from the platform and from the gossip of
// other entries. It writes Endpoints, Configuration and Zones of the cluster state, and Entries if Listed is nil; it
// reads Entries, Configuration and Zones. The highest known revision of the configuration and of each zone is applied;
// state that cannot be read remains unchanged.
//
// One entry of each zone polls, elected by rendezvous hashing; the others receive the results by gossip. An entry polls
// in addition while it has no configuration, while it is not listed in Entries itself, and while it has received no
// successful poll of its zone within standbyAfter.
type Poller struct {
	// Client reads from the platform.
	Client PollSource
	// State is the cluster state to update.
	State *clusterstate.State
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Zone is this entry's availability zone.
	Zone fleet.Zone
	// Gossip exchanges with other entries what each has read from the platform. If it is nil, this entry always polls.
	Gossip *gossip.Store
	// Listed is the table that the entries of the instance list are written to; nil means State.Entries.
	Listed *clusterstate.Table[fleet.EntryID, fleet.Entry]
	// Log receives messages about failed polls, and about applied and rejected revisions.
	Log zerolog.Logger

	// mu guards the fields below.
	mu             sync.Mutex
	instanceFilter instanceFilter
	// adoptedRevisions holds, by gossip key, the revision of the latest instance list that this entry adopted or
	// gossiped.
	adoptedRevisions map[string]uint64
	// lastPollRevision is the revision of the latest gossip item of a successful poll of this zone; lastPollAt is when
	// this entry received it.
	lastPollRevision uint64
	lastPollAt       time.Time
	// rejected holds, by gossip key, the highest revision that could not be applied.
	rejected map[string]uint64
	// failing reports whether the latest poll failed.
	failing bool
}

// Run polls the platform and applies gossip until ctx ends; it returns nil.
func (p *Poller) Run(ctx context.Context) error {
	p.prepare()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.runPolls(ctx) })
	if p.Gossip != nil {
		group.Go(func() error { return p.runGossip(ctx) })
	}
	return group.Wait()
}

// prepare creates the maps, and sets lastPollAt as if a poll had succeeded now.
func (p *Poller) prepare() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adoptedRevisions = make(map[string]uint64)
	p.rejected = make(map[string]uint64)
	p.lastPollAt = time.Now()
}

// runPolls polls at once and then every pollInterval, each time if shouldPoll reports true, until ctx ends.
func (p *Poller) runPolls(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if p.shouldPoll(time.Now()) {
			p.poll(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// shouldPoll reports whether this entry has to poll now.
func (p *Poller) shouldPoll(now time.Time) bool {
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
	return now.Sub(p.lastPollAt) > standbyAfter
}

// poll reads and applies the instance list, the configuration and the zone states once, and gossips the success if all
// reads succeeded. State that cannot be read remains unchanged.
func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return p.pollInstances(ctx) })
	group.Go(func() error { return p.pollConfiguration(ctx) })
	group.Go(func() error { return p.pollZones(ctx) })
	err := group.Wait()
	p.logTransition(err)
	if err == nil && p.Gossip != nil {
		key := polledPrefix + string(p.Zone)
		p.Gossip.Put(gossip.Item{Key: key, Revision: p.Gossip.NextRevision(key, time.Now())})
	}
}

// logTransition logs the first failed poll and the first successful one after it; err is the result of a poll.
func (p *Poller) logTransition(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && !p.failing {
		p.Log.Warn().Err(err).Msg("platform: cannot be read; the last known state remains active")
	}
	if err == nil && p.failing {
		p.Log.Info().Msg("platform: can be read again")
	}
	p.failing = err != nil
}

// pollInstances reads the instance list, applies it and gossips changes of it.
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

// pollConfiguration reads the revision of the stored configuration. If it is higher than the current one and was not
// rejected before, it reads, applies and gossips the configuration.
func (p *Poller) pollConfiguration(ctx context.Context) error {
	updater := RecordUpdater{Tables: p.Client}
	heads, err := updater.Read(ctx, ConfigurationHead)
	if err != nil {
		return err
	}
	revision := heads[0].Latest().Revision
	if old, _ := p.State.Configuration.Get(clusterstate.SingleKey{}); revision <= max(old.Revision, p.rejectedRevision(configurationKey)) {
		return nil
	}
	rows, err := p.Client.Read(ctx, []RowKey{ConfigurationRow})
	if err != nil {
		return err
	}
	configuration, ok := p.applyConfiguration(rows[0].Value, revision)
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

// pollZones reads the states of all zones that an operator has ever changed, and applies and gossips those with a new
// revision.
func (p *Poller) pollZones(ctx context.Context) error {
	updater := RecordUpdater{Tables: p.Client}
	zones, err := updater.ReadZones(ctx)
	if err != nil {
		return err
	}
	for _, zone := range zones {
		if p.applyZone(zone.State) {
			p.gossipZone(zone.State)
		}
	}
	return nil
}
