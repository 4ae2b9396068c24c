package sharedload

import (
	"context"
	"fmt"
	"testing"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// fakeReach answers for the entries behind a cut that they don't reach the endpoint; the others do, unless it is down.
type fakeReach struct {
	behindCut map[fleet.EntryID]bool
	down      bool
}

func (f *fakeReach) Reaches(_ context.Context, asked fleet.Entry, _ fleet.Endpoint) (reached, known bool) {
	return !f.down && !f.behindCut[asked.ID], true
}

// TestPartialCutIsNoDeath guards against endpoints that are taken for dead because the first witnesses have lost the same
// path as the entry that asks, while other entries reach the endpoint.
func TestPartialCutIsNoDeath(t *testing.T) {
	const entries, rounds = 9, 200
	for name, tc := range map[string]struct {
		cut  int
		down bool
	}{
		"four of nine entries behind the cut": {cut: 4},
		"six of nine entries behind the cut":  {cut: 6},
		"endpoint down":                       {down: true},
	} {
		t.Run(name, func(t *testing.T) {
			state, reach := &clusterstate.State{}, &fakeReach{behindCut: make(map[fleet.EntryID]bool), down: tc.down}
			for i := range entries {
				entry := fleet.Entry{ID: fleet.EntryID(fmt.Sprint(i)), Zone: fleet.Zone([]string{"a", "b", "c"}[i*3/entries])}
				state.Entries.Set(entry.ID, entry)
				reach.behindCut[entry.ID] = i < tc.cut
			}
			p := &ChooserSet{Self: fleet.Entry{ID: "0", Zone: "a"}, State: state, Usages: &UsageTable{}, Reach: reach}
			for id := range reach.behindCut {
				p.HandleUsage(UsageReport{Entry: id})
			}
			unreached := 0
			for range rounds {
				reached, failed := p.AskOthers(t.Context(), fleet.Endpoint{ID: "i-1", Zone: "a"})
				if reached == 0 && failed > 0 {
					unreached++
				}
			}
			want := 0
			if tc.down {
				want = rounds
			}
			if unreached != want {
				t.Errorf("no entry reached the endpoint in %d of %d rounds, want %d", unreached, rounds, want)
			}
		})
	}
}
