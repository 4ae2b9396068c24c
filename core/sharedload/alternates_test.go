package sharedload

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// fakePaths says which pools an entry is cut off from and doesn't reach at all.
type fakePaths struct {
	cutOff, unreached []fleet.PoolName
}

func (f *fakePaths) CutOff(pool fleet.PoolName) bool    { return slices.Contains(f.cutOff, pool) }
func (f *fakePaths) Unreached(pool fleet.PoolName) bool { return slices.Contains(f.unreached, pool) }
func (f *fakePaths) CutOffPools() []fleet.PoolName      { return f.cutOff }
func (f *fakePaths) UnreachedPools() []fleet.PoolName   { return f.unreached }

// TestAlternates checks which entries a chooser names to one of zone a that is cut off from the pool "p".
func TestAlternates(t *testing.T) {
	both := []fleet.PoolName{"p"}
	tests := map[string]struct {
		// reports holds what entries report; self is the chooser's own path.
		reports map[fleet.EntryID]lostPaths
		self    fakePaths
		// unreached reports whether the entry reaches no endpoint of the pool.
		unreached bool
		want      []fleet.EntryID
	}{
		"the zone can serve": {
			reports: map[fleet.EntryID]lostPaths{"a2": {}, "b1": {}}, want: []fleet.EntryID{"a2"},
		},
		"most of the zone is cut off": {
			reports: map[fleet.EntryID]lostPaths{"a2": {}, "a3": {cutOff: both}, "b1": {}}, want: []fleet.EntryID{"a2", "b1", "self"},
		},
		"the chooser is cut off": {
			reports: map[fleet.EntryID]lostPaths{"b1": {}}, self: fakePaths{cutOff: both, unreached: both}, want: []fleet.EntryID{"b1"},
		},
		"cut off from another pool": {
			reports: map[fleet.EntryID]lostPaths{"a2": {cutOff: []fleet.PoolName{"q"}}}, want: []fleet.EntryID{"a2"},
		},
		"another region": {
			reports: map[fleet.EntryID]lostPaths{"far": {}}, self: fakePaths{cutOff: both, unreached: both},
		},
		"all are cut off, some reach a part": {
			reports: map[fleet.EntryID]lostPaths{"a2": {cutOff: both}, "b1": {cutOff: both, unreached: both}},
			self:    fakePaths{cutOff: both, unreached: both}, unreached: true, want: []fleet.EntryID{"a2"},
		},
		"all reach a part": {
			reports: map[fleet.EntryID]lostPaths{"a2": {cutOff: both}}, self: fakePaths{cutOff: both},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := &clusterstate.State{}
				for _, e := range []fleet.Entry{
					{ID: "a1", Zone: "a"}, {ID: "a2", Zone: "a"}, {ID: "a3", Zone: "a"}, {ID: "b1", Zone: "b"}, {ID: "self", Zone: "b"},
					{ID: "far", Zone: "a", Region: "far"},
				} {
					state.Entries.Set(e.ID, e)
				}
				p := &ChooserSet{
					Self: fleet.Entry{ID: "self", Zone: "b"}, State: state, Usages: &UsageTable{}, Paths: &tc.self, Log: zerolog.Nop(),
				}
				time.Sleep(time.Minute)
				for id, lost := range tc.reports {
					p.HandleUsage(UsageReport{Entry: id, CutOff: lost.cutOff, Unreached: lost.unreached})
				}
				report := UsageReport{Entry: "a1", CutOff: both}
				if tc.unreached {
					report.Unreached = both
				}
				got := p.HandleUsage(report).Alternates["p"]
				slices.Sort(got)
				if !slices.Equal(got, tc.want) {
					t.Errorf("got %v, want %v", got, tc.want)
				}
				time.Sleep(2 * peerTTL)
				if late := p.HandleUsage(report).Alternates["p"]; slices.Contains(late, "a2") || slices.Contains(late, "b1") {
					t.Errorf("got %v after the reports have expired", late)
				}
			})
		})
	}
}

// TestAlternatesThatFail checks that an entry that declines comes last, and that one that can't be reached is left out
// for a time unless there is no other way.
func TestAlternatesThatFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := &clusterstate.State{}
		var named []fleet.EntryID
		for _, id := range []fleet.EntryID{"declines", "gone", "serves"} {
			state.Entries.Set(id, fleet.Entry{ID: id, Zone: "a"})
			named = append(named, id)
		}
		paths := &fakePaths{cutOff: []fleet.PoolName{"p"}}
		p := &ChooserSet{
			Self: fleet.Entry{ID: "self", Zone: "a"}, Started: time.Now(), State: state, Usages: &UsageTable{},
			Paths: paths, Log: zerolog.Nop(),
		}
		reply := UsageReply{Chooses: true, Alternates: map[fleet.PoolName][]fleet.EntryID{"p": named}}
		p.recordReply(fleet.Entry{ID: "serves"}, reply, nil)
		p.RecordAlternateFailure("declines", true)
		p.RecordAlternateFailure("gone", false)
		var got []fleet.EntryID
		for _, e := range p.Alternates("p") {
			got = append(got, e.ID)
		}
		if want := []fleet.EntryID{"serves", "declines"}; !slices.Equal(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
		paths.unreached = paths.cutOff
		if got := p.Alternates("p"); len(got) != len(named) || got[len(got)-1].ID != "gone" {
			t.Errorf("got %v without another way, want all with the unreachable one last", got)
		}
		paths.unreached = nil
		time.Sleep(alternatesTTL)
		if got := p.Alternates("p"); len(got) != len(named) {
			t.Errorf("got %d entries after the back-off, want %d", len(got), len(named))
		}
		time.Sleep(time.Millisecond)
		if got := p.Alternates("p"); len(got) != 0 {
			t.Errorf("got %v by an old reply, want none", got)
		}
	})
}

// TestAlternatesWithoutReplies checks that an entry that reaches no endpoint asks entries of its zone although no chooser
// names any: the others may not report to it, or not answer it in time.
func TestAlternatesWithoutReplies(t *testing.T) {
	pool := []fleet.PoolName{"p"}
	tests := map[string]struct {
		paths fakePaths
		want  int
	}{
		"reaches a part":  {paths: fakePaths{cutOff: pool}},
		"reaches nothing": {paths: fakePaths{cutOff: pool, unreached: pool}, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			state := &clusterstate.State{}
			state.Entries.Set("self", fleet.Entry{ID: "self", Zone: "a"})
			state.Entries.Set("other", fleet.Entry{ID: "other", Zone: "a"})
			state.Entries.Set("behind", fleet.Entry{ID: "behind", Zone: "b"})
			p := &ChooserSet{Self: fleet.Entry{ID: "self", Zone: "a"}, State: state, Usages: &UsageTable{}, Paths: &tc.paths}
			if got := p.Alternates("p"); len(got) != tc.want || tc.want == 1 && got[0].ID != "other" {
				t.Errorf("got %v, want %d entries of the zone", got, tc.want)
			}
		})
	}
}
