package peer

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/core/membership"
)

const (
	// entriesPrefix stands before the name of a zone and holds the list of its live entries.
	entriesPrefix = "entries/"
	// listLag is how long an entry may be missing in the instance list before an old list of its zone is not believed.
	listLag = time.Minute
	// directoryInterval is the shortest time between two lists of one zone.
	directoryInterval = time.Second
)

// Directory tells the other zones of the entries of this one and learns theirs. It reads the members and the listed
// entries of the blackboard and writes its entries.
//
// The member with the first name publishes the list of its zone when it changes. For a zone that has published none,
// the instance list stands in.
type Directory struct {
	// Entry is this entry.
	Entry fleet.EntryID
	// Zone is its availability zone.
	Zone fleet.Zone
	// State holds the tables.
	State *clusterstate.State
	// Store carries the lists.
	Store *gossip.Store
	// Lease tells whether this entry may speak for its zone.
	Lease *membership.Lease

	seen map[fleet.Zone]sighting
}

// sighting tells when this entry first saw the present list of a zone.
type sighting struct {
	revision uint64
	at       time.Time
}

// Run follows the tables until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	ticker := time.NewTicker(directoryInterval)
	defer ticker.Stop()
	for {
		members := d.State.ZoneEntries.Changed()
		if err := d.publish(time.Now()); err != nil {
			return err
		}
		d.merge(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-members:
		case <-ticker.C:
		}
	}
}

// publish puts the list of this zone into the store if it has changed and this entry speaks for the zone.
func (d *Directory) publish(now time.Time) error {
	members := d.State.ZoneEntries.Snapshot().Rows
	if _, held := d.Lease.Held(now); !held || d.speaker(members) != d.Entry {
		return nil
	}
	list := &EntryList{}
	for _, id := range slices.Sorted(maps.Keys(members)) {
		list.Entries = append(list.Entries, toEntryRecord(members[id]))
	}
	payload, err := proto.MarshalOptions{Deterministic: true}.Marshal(list)
	if err != nil {
		return errors.Wrap(err, "directory")
	}
	key := entriesPrefix + string(d.Zone)
	old, _ := d.Store.Get(key)
	if bytes.Equal(old.Payload, payload) {
		return nil
	}
	d.Store.Put(gossip.Item{Key: key, Revision: d.Store.NextRevision(key, now), Urgent: true, Payload: payload})
	return nil
}

// speaker returns the live member with the first name.
func (d *Directory) speaker(members map[fleet.EntryID]fleet.Entry) fleet.EntryID {
	var first fleet.EntryID
	for id, entry := range members {
		if entry.State == fleet.StateLive && (first == "" || id < first) {
			first = id
		}
	}
	return first
}

// merge writes the entries of all zones, if they have changed.
func (d *Directory) merge(now time.Time) {
	rows := make(map[fleet.EntryID]fleet.Entry)
	published := map[fleet.Zone]bool{d.Zone: true}
	for _, item := range d.Store.List(entriesPrefix) {
		zone := fleet.Zone(strings.TrimPrefix(item.Key, entriesPrefix))
		if zone == d.Zone {
			continue
		}
		published[zone] = true
		d.take(now, zone, item, rows)
	}
	for id, entry := range d.State.ListedEntries.Snapshot().Rows {
		if !published[entry.Zone] {
			rows[id] = entry
		}
	}
	for id, entry := range d.State.ZoneEntries.Snapshot().Rows {
		rows[id] = entry
	}
	if !maps.EqualFunc(rows, d.State.Entries.Snapshot().Rows, sameEntry) {
		d.State.Entries.Replace(rows)
	}
}

// take adds the entries of another zone. Nobody is left to publish the list of a zone that has lost all its entries, so
// that those which an old list shows and the instance list does not are dropped.
func (d *Directory) take(now time.Time, zone fleet.Zone, item gossip.Item, rows map[fleet.EntryID]fleet.Entry) {
	if d.seen == nil {
		d.seen = make(map[fleet.Zone]sighting)
	}
	if d.seen[zone].revision != item.Revision {
		d.seen[zone] = sighting{revision: item.Revision, at: now}
	}
	var list EntryList
	if proto.Unmarshal(item.Payload, &list) != nil {
		return
	}
	listed := d.State.ListedEntries.Snapshot()
	old := listed.Version > 0 && now.Sub(d.seen[zone].at) >= listLag
	for _, record := range list.Entries {
		entry := fromEntryRecord(record)
		if _, shown := listed.Rows[entry.ID]; shown || !old {
			rows[entry.ID] = entry
		}
	}
}

// sameEntry compares two entries without regard to when they were seen.
func sameEntry(a, b fleet.Entry) bool {
	a.LastSeenAt, b.LastSeenAt = time.Time{}, time.Time{}
	return a == b
}
