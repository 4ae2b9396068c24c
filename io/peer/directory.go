package peer

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/spread"
)

const (
	// entriesPrefix stands before the name of a zone and holds the list of its live entries.
	entriesPrefix = "entries/"
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
	// Board holds the tables.
	Board *blackboard.Board
	// Store carries the lists.
	Store *spread.Store
	// Lease tells whether this entry may speak for its zone.
	Lease *membership.Lease
}

// Run follows the tables until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	ticker := time.NewTicker(directoryInterval)
	defer ticker.Stop()
	for {
		members := d.Board.Members.Changed()
		if err := d.publish(time.Now()); err != nil {
			return err
		}
		d.merge()
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
	members := d.Board.Members.View().Rows
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
	d.Store.Put(spread.Item{Key: key, Revision: d.Store.NextRevision(key, now), Urgent: true, Payload: payload})
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
func (d *Directory) merge() {
	rows := make(map[fleet.EntryID]fleet.Entry)
	published := map[fleet.Zone]bool{d.Zone: true}
	for _, item := range d.Store.List(entriesPrefix) {
		zone := fleet.Zone(strings.TrimPrefix(item.Key, entriesPrefix))
		var list EntryList
		if zone == d.Zone || proto.Unmarshal(item.Payload, &list) != nil {
			continue
		}
		published[zone] = true
		for _, record := range list.Entries {
			entry := fromEntryRecord(record)
			rows[entry.ID] = entry
		}
	}
	for id, entry := range d.Board.Listed.View().Rows {
		if !published[entry.Zone] {
			entry.SeenAt = time.Time{}
			rows[id] = entry
		}
	}
	for id, entry := range d.Board.Members.View().Rows {
		entry.SeenAt = time.Time{}
		rows[id] = entry
	}
	if !maps.EqualFunc(rows, d.Board.Entries.View().Rows, sameEntry) {
		d.Board.Entries.Replace(rows)
	}
}

// sameEntry compares two entries without regard to when they were seen.
func sameEntry(a, b fleet.Entry) bool {
	a.SeenAt, b.SeenAt = time.Time{}, time.Time{}
	return cmp.Compare(a.ID, b.ID) == 0 && a == b
}
