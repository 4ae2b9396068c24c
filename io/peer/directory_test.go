package peer

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
)

func TestDirectoryMergesZones(t *testing.T) {
	live := func(id fleet.EntryID, zone fleet.Zone) fleet.Entry {
		return fleet.Entry{ID: id, Zone: zone, State: fleet.StateLive}
	}
	tests := map[string]struct {
		published, listed []fleet.Entry
		age               time.Duration
		want              []fleet.EntryID
	}{
		"a zone that published nothing": {
			listed: []fleet.Entry{live("b1", "b")},
			want:   []fleet.EntryID{"a1", "b1"},
		},
		"the published list goes before the instance list": {
			published: []fleet.Entry{live("b2", "b")},
			listed:    []fleet.Entry{live("b1", "b")},
			want:      []fleet.EntryID{"a1", "b2"},
		},
		"an old list of a zone whose entries are gone": {
			published: []fleet.Entry{live("b1", "b"), live("b2", "b")},
			listed:    []fleet.Entry{live("b2", "b")},
			age:       unlistedGrace,
			want:      []fleet.EntryID{"a1", "b2"},
		},
		"an old list while the platform was never read": {
			published: []fleet.Entry{live("b1", "b")},
			age:       unlistedGrace,
			want:      []fleet.EntryID{"a1", "b1"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &Directory{Entry: "a1", Zone: "a", State: &clusterstate.State{}, Store: &gossip.Store{}}
				d.State.ZoneEntries.Set("a1", live("a1", "a"))
				for _, entry := range tc.listed {
					d.State.ListedEntries.Set(entry.ID, entry)
				}
				if len(tc.published) > 0 {
					list := &EntryList{}
					for _, entry := range tc.published {
						list.Entries = append(list.Entries, toEntryRecord(entry))
					}
					payload, err := proto.Marshal(list)
					if err != nil {
						t.Fatal(err)
					}
					d.Store.Put(gossip.Item{Key: entriesPrefix + "b", Revision: 1, Payload: payload})
				}
				d.merge(time.Now())
				time.Sleep(tc.age)
				d.merge(time.Now())
				got := slices.Sorted(maps.Keys(d.State.Entries.Snapshot().Rows))
				if !slices.Equal(got, tc.want) {
					t.Errorf("got entries %v, want %v", got, tc.want)
				}
			})
		})
	}
}
