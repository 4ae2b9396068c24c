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

// TestSuspectsJoinConcurrentNotes lets two entries note different deaths of one request under the same revision.
func TestSuspectsJoinConcurrentNotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		parts := make([]*suspects, 2)
		for i, entry := range []fleet.EntryID{"a", "b"} {
			part := &suspects{Entry: entry, Store: &gossip.Store{}}
			part.Suspects = &retry.Suspects{Entry: entry, Broadcaster: part}
			parts[i] = part
			group.Go(func() error { return part.Run(ctx) })
		}
		parts[0].Suspects.RecordDeath(ctx, "f", retry.Death{Endpoint: "e1", Incarnation: 1})
		parts[1].Suspects.RecordDeath(ctx, "f", retry.Death{Endpoint: "e2", Incarnation: 1})
		for range 3 {
			exchange(parts[0].Store, parts[1].Store)
			time.Sleep(time.Second)
		}
		for i, part := range parts {
			if got := part.Suspects.Status("f"); got != retry.StatusQuarantined {
				t.Errorf("standing at entry %d is %q, want quarantined", i, got)
			}
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// exchange makes two stores equal.
func exchange(a, b *gossip.Store) {
	for _, item := range a.List("") {
		b.Put(item)
	}
	for _, item := range b.List("") {
		a.Put(item)
	}
}
