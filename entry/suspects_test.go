package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/core/retry"
)

// TestSuspectsJoinConcurrentNotes checks that no death is lost when two entries record different deaths of one request
// under the same revision.
func TestSuspectsJoinConcurrentNotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		replicators := make([]*suspectReplicator, 2)
		for i, entry := range []fleet.EntryID{"a", "b"} {
			replicator := &suspectReplicator{Entry: entry, Store: &gossip.Store{}}
			replicator.Suspects = &retry.Suspects{Entry: entry, Broadcaster: replicator}
			replicators[i] = replicator
			group.Go(func() error { return replicator.Run(ctx) })
		}
		replicators[0].Suspects.RecordDeath(ctx, "f", retry.Death{Endpoint: "e1", Incarnation: 1})
		replicators[1].Suspects.RecordDeath(ctx, "f", retry.Death{Endpoint: "e2", Incarnation: 1})
		for range 3 {
			syncStores(replicators[0].Store, replicators[1].Store)
			time.Sleep(time.Second)
		}
		for i, replicator := range replicators {
			if got := replicator.Suspects.Status("f"); got != retry.StatusQuarantined {
				t.Errorf("status at entry %d = %q, want quarantined", i, got)
			}
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// syncStores copies the items of each store to the other.
func syncStores(a, b *gossip.Store) {
	for _, item := range a.List("") {
		b.Put(item)
	}
	for _, item := range b.List("") {
		a.Put(item)
	}
}
