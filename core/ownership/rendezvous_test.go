package ownership

import (
	"fmt"
	"testing"

	"wisteriadyke/core/fleet"
)

// TestRendezvousMovesOnlyWhatItMust asserts that entries own about the same number of endpoints and that only the
// endpoints of an entry that leaves change their owners.
func TestRendezvousMovesOnlyWhatItMust(t *testing.T) {
	entries := make(map[fleet.EntryID]fleet.Entry)
	for i := range 9 {
		id := fleet.EntryID(fmt.Sprint("entry-", i))
		entries[id] = fleet.Entry{ID: id, Zone: "a", State: fleet.StateLive}
	}
	const endpoints = 900
	before := make(map[fleet.EndpointID]fleet.EntryID)
	counts := make(map[fleet.EntryID]int)
	for i := range endpoints {
		endpoint := fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("endpoint-", i)), Zone: "a"}
		owner := RendezvousOwner(endpoint, entries)
		before[endpoint.ID] = owner
		counts[owner]++
		if ranked := RankOwners(endpoint, entries, 2); ranked[0] != owner {
			t.Fatalf("RankOwners returned %s first, want %s", ranked[0], owner)
		}
	}
	for id, count := range counts {
		if count < 60 || count > 140 {
			t.Errorf("%s owns %d of %d endpoints, want about 100", id, count, endpoints)
		}
	}
	delete(entries, "entry-4")
	for id, owner := range before {
		if current := RendezvousOwner(fleet.Endpoint{ID: id, Zone: "a"}, entries); owner != "entry-4" && current != owner {
			t.Errorf("owner of %s changed from %s to %s, want no change", id, owner, current)
		}
	}
}
