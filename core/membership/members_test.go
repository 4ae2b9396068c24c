package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// newMembers returns a started state machine that may not hold the lease yet.
func newMembers(id fleet.EntryID, now time.Time) *Members {
	m := &Members{
		Self:   fleet.Entry{ID: id, Zone: "z", State: fleet.StateLive},
		Lease:  &Lease{},
		Random: rand.New(rand.NewPCG(1, 2)),
	}
	m.Start(now)
	return m
}

// probe sends a probe from a to b and applies the reply.
func probe(now time.Time, a, b *Members) {
	a.Receive(now, b.HandleMessage(now, a.NewMessage(b.Self.ID)))
	a.RecordAck(now, now)
}

func TestFalseSuspicionIsRefuted(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b, c := newMembers("a", now), newMembers("b", now), newMembers("c", now)
	probe(now, a, b)
	probe(now, a, c)
	before := b.Self.Incarnation
	a.RecordFailure(now, "b", false)
	if got := a.members["b"].update.Status; got != StatusSuspect {
		t.Fatalf("status after a failed probe = %d, want suspect", got)
	}
	probe(now, a, c)
	if got := c.members["b"].update.Status; got != StatusSuspect {
		t.Fatalf("status of b at c = %d, want suspect", got)
	}
	now = now.Add(SuspicionTimeout / 2)
	probe(now, c, b)
	if b.Self.Incarnation <= before {
		t.Error("b has not raised its incarnation")
	}
	probe(now, a, c)
	a.Tick(now.Add(SuspicionTimeout))
	if got := a.members["b"].update.Status; got != StatusAlive {
		t.Errorf("status after the refutation = %d, want alive", got)
	}
}

func TestUpdateOverrides(t *testing.T) {
	at := func(incarnation fleet.Incarnation, status Status) Update {
		return Update{Entry: fleet.Entry{ID: "a", Incarnation: incarnation}, Status: status}
	}
	tests := map[string]struct {
		update, old Update
		want        bool
	}{
		"suspect over alive":          {at(1, StatusSuspect), at(1, StatusAlive), true},
		"alive not over suspect":      {at(1, StatusAlive), at(1, StatusSuspect), false},
		"refutation":                  {at(2, StatusAlive), at(1, StatusSuspect), true},
		"return from the dead":        {at(2, StatusAlive), at(1, StatusDead), true},
		"old suspicion":               {at(1, StatusSuspect), at(2, StatusAlive), false},
		"dead over suspect":           {at(1, StatusDead), at(1, StatusSuspect), true},
		"same":                        {at(1, StatusDead), at(1, StatusDead), false},
		"a departure is never undone": {at(1, StatusDead), at(1, StatusLeft), false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tc.update.overrides(tc.old); got != tc.want {
				t.Errorf("overrides = %t, want %t", got, tc.want)
			}
		})
	}
}

func TestLeaseNeedsTheMajority(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		silent    []fleet.EntryID
		confirmed bool
		held      bool
	}{
		"nobody silent":              {held: true},
		"one of three silent":        {silent: []fleet.EntryID{"b"}, held: true},
		"two of three silent":        {silent: []fleet.EntryID{"b", "c"}},
		"two silent, also to others": {silent: []fleet.EntryID{"b", "c"}, confirmed: true, held: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			a, peers := newMembers("a", start), map[fleet.EntryID]*Members{}
			for _, id := range []fleet.EntryID{"b", "c"} {
				peers[id] = newMembers(id, start)
				probe(start, a, peers[id])
			}
			a.EnableLease(start)
			for _, id := range tc.silent {
				a.RecordFailure(start, id, tc.confirmed)
				delete(peers, id)
			}
			now := start
			for ; now.Before(start.Add(2 * SuspicionTimeout)); now = now.Add(ProbeInterval) {
				for _, other := range peers {
					probe(now, a, other)
				}
				a.Tick(now)
			}
			if _, held := a.Lease.Held(now); held != tc.held {
				t.Errorf("lease held = %t, want %t", held, tc.held)
			}
			a.Tick(start.Add(MinorityTimeout))
			if _, held := a.Lease.Held(start.Add(MinorityTimeout)); len(peers) == 0 && !held {
				t.Error("an entry that was alone for MinorityTimeout does not hold the lease")
			}
		})
	}
}

// TestFreezeBeginsANewTerm lets the lease expire, as if the entry had been paused. A reply to a probe that was sent
// before the pause must not renew the lease, and a later reply must begin a new term.
func TestFreezeBeginsANewTerm(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newMembers("a", now), newMembers("b", now)
	probe(now, a, b)
	a.EnableLease(now)
	before, held := a.Lease.Held(now)
	if !held {
		t.Fatal("the lease is not held at the start")
	}
	now = now.Add(LeaseDuration + time.Millisecond)
	if _, held = a.Lease.Held(now); held {
		t.Error("the lease is held after the pause")
	}
	a.RecordAck(now, now.Add(-LeaseDuration))
	if _, held = a.Lease.Held(now); held {
		t.Error("the reply to a probe sent before the pause renewed the lease")
	}
	probe(now, a, b)
	after, held := a.Lease.Held(now)
	if !held || after != before+1 {
		t.Errorf("after the pause: term = %d, held = %t, want term %d, held", after, held, before+1)
	}
}

func TestRumorsAreBounded(t *testing.T) {
	var r gossipQueue
	for i := range 100 {
		r.add(Update{Entry: fleet.Entry{ID: fleet.EntryID(rune('a' + i))}})
	}
	sent := make(map[fleet.EntryID]int)
	messages := 0
	for len(r.pending) > 0 {
		updates := r.next(30)
		if len(updates) > maxGossipUpdates {
			t.Fatalf("got %d updates in one message, want at most %d", len(updates), maxGossipUpdates)
		}
		for _, u := range updates {
			sent[u.Entry.ID]++
		}
		messages++
	}
	for id, count := range sent {
		if count != 15 {
			t.Errorf("update about %s was sent %d times, want 15", id, count)
		}
	}
	if want := 100 * 15 / maxGossipUpdates; messages > want+1 {
		t.Errorf("got %d messages, want at most %d", messages, want+1)
	}
}
