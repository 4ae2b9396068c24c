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
	// entriesPrefix is the key prefix of the gossip items that hold the live entries of a zone; the zone name follows.
	entriesPrefix = "entries/"
	// unlistedGrace is how long the published list of a zone may stay unchanged before its entries that are missing from
	// the instance list, which lags, are left out.
	unlistedGrace = time.Minute
	// updateInterval is the time between two calls of publish and merge while the members of this zone do not change.
	updateInterval = time.Second
)

// Directory publishes the live entries of this zone to the other zones and merges their lists. It reads the tables
// ZoneEntries and ListedEntries of the cluster state and writes the table Entries.
//
// Among the entries of a zone that are not leaving, the one with the smallest ID publishes the list when it changes.
// The instance list is used for a zone that has published no list.
type Directory struct {
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Zone is the availability zone of this entry.
	Zone fleet.Zone
	// State holds the tables that the directory reads and writes.
	State *clusterstate.State
	// Store replicates the published lists.
	Store *gossip.Store
	// Lease is the membership lease; this entry publishes only while it holds the lease.
	Lease *membership.Lease

	seen map[fleet.Zone]seenList
}

// seenList is the revision of a zone's current list and the time at which this entry first saw it.
type seenList struct {
	revision uint64
	at       time.Time
}

// Run publishes and merges lists until ctx ends. It returns an error only if the list of this zone can't be encoded.
func (d *Directory) Run(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
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

// publish stores the list of this zone if it has changed and this entry is the publisher of the zone and holds the
// membership lease.
func (d *Directory) publish(now time.Time) error {
	members := d.State.ZoneEntries.Snapshot().Rows
	if _, held := d.Lease.Held(now); !held || d.publisher(members) != d.Entry {
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

// publisher returns the smallest ID of the members in StateLive, which are not leaving, or "" if there is none.
func (d *Directory) publisher(members map[fleet.EntryID]fleet.Entry) fleet.EntryID {
	var first fleet.EntryID
	for id, entry := range members {
		if entry.State == fleet.StateLive && (first == "" || id < first) {
			first = id
		}
	}
	return first
}

// merge writes the entries of all zones to the table Entries if any of them has changed apart from LastSeenAt.
func (d *Directory) merge(now time.Time) {
	rows := make(map[fleet.EntryID]fleet.Entry)
	published := map[fleet.Zone]bool{d.Zone: true}
	for _, item := range d.Store.List(entriesPrefix) {
		zone := fleet.Zone(strings.TrimPrefix(item.Key, entriesPrefix))
		if zone == d.Zone {
			continue
		}
		published[zone] = true
		d.addZone(now, zone, item, rows)
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

// addZone adds the published entries of another zone, which item holds, to rows. A zone that has lost all its entries
// has none left to update its list. Entries that are missing from the instance list are therefore left out once the
// published list has not changed for unlistedGrace. While the instance list has not been read, all published entries
// are added. A list that can't be decoded adds none.
func (d *Directory) addZone(now time.Time, zone fleet.Zone, item gossip.Item, rows map[fleet.EntryID]fleet.Entry) {
	if d.seen == nil {
		d.seen = make(map[fleet.Zone]seenList)
	}
	if d.seen[zone].revision != item.Revision {
		d.seen[zone] = seenList{revision: item.Revision, at: now}
	}
	var list EntryList
	if proto.Unmarshal(item.Payload, &list) != nil {
		return
	}
	listed := d.State.ListedEntries.Snapshot()
	stale := listed.Version > 0 && now.Sub(d.seen[zone].at) >= unlistedGrace
	for _, record := range list.Entries {
		entry := fromEntryRecord(record)
		if _, isListed := listed.Rows[entry.ID]; isListed || !stale {
			rows[entry.ID] = entry
		}
	}
}

// sameEntry reports whether two entries are equal apart from LastSeenAt.
func sameEntry(a, b fleet.Entry) bool {
	a.LastSeenAt, b.LastSeenAt = time.Time{}, time.Time{}
	return a == b
}
