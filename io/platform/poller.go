package platform

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/declare"
	"wisteriadyke/core/fleet"
	"wisteriadyke/io/declaration"
)

const (
	// pollInterval is the time between two looks at the platform.
	pollInterval = time.Second
	// pollTimeout bounds one look at the platform.
	pollTimeout = 2 * time.Second
)

// ConfigurationRow is the row that holds the configuration in force; its version is the revision.
var ConfigurationRow = RowKey{Table: "configuration", Key: "current"}

// Poller copies the instance list and the configuration from the platform. It writes the endpoints, entries and
// configuration of the blackboard and reads none of its tables.
type Poller struct {
	// Client reaches the platform.
	Client *Client
	// Board takes what the platform tells.
	Board *blackboard.Board
	// Log takes the controller's messages.
	Log zerolog.Logger
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// poll looks at the platform once; what can't be read stays as it was.
func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := p.pollInstances(ctx); err != nil {
		p.Log.Warn().Err(err).Msg("platform: cannot read the instance list")
	}
	if err := p.pollConfiguration(ctx); err != nil {
		p.Log.Warn().Err(err).Msg("platform: cannot read the configuration")
	}
}

// pollInstances copies the instance list.
func (p *Poller) pollInstances(ctx context.Context) error {
	instances, err := p.Client.Instances(ctx)
	if err != nil {
		return err
	}
	endpoints := make(map[fleet.EndpointID]fleet.Endpoint)
	entries := make(map[fleet.EntryID]fleet.Entry)
	for _, instance := range instances {
		if instance.Kind == KindEntry {
			entry := instance.entry()
			entries[entry.ID] = entry
			continue
		}
		endpoint := instance.Endpoint()
		endpoints[endpoint.ID] = endpoint
	}
	p.Board.Endpoints.Replace(endpoints)
	p.Board.Entries.Replace(entries)
	return nil
}

// entry returns the instance as an entry.
func (i Instance) entry() fleet.Entry {
	return fleet.Entry{
		ID:      fleet.EntryID(i.ID),
		Zone:    i.Zone,
		Address: i.Address,
		State:   i.State,
		SeenAt:  time.Now(),
	}
}

// pollConfiguration copies the configuration if its revision is higher than the one in force.
func (p *Poller) pollConfiguration(ctx context.Context) error {
	rows, err := p.Client.Read(ctx, []RowKey{ConfigurationRow})
	if err != nil {
		return err
	}
	if len(rows) == 0 || rows[0].Version == VersionAbsent {
		return nil
	}
	revision := uint64(rows[0].Version)
	configuration, err := declaration.Decode(rows[0].Value, revision)
	if err != nil {
		return err
	}
	p.Board.Configuration.Update(blackboard.Only{}, func(old declare.Configuration, _ bool) (declare.Configuration, bool) {
		return configuration, revision > old.Revision
	})
	return nil
}
