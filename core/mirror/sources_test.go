package mirror

import (
	"testing"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// newTestSources returns the sources of an entry of zone a with the given CPU cores, beside three entries of its zone
// with 4, 3 and 2 cores and one of zone b with 9.
func newTestSources(cores float64) *Sources {
	state := &clusterstate.State{}
	for _, entry := range []fleet.Entry{
		{ID: "a4", Zone: "a", CPUCores: 4}, {ID: "a3", Zone: "a", CPUCores: 3}, {ID: "a2", Zone: "a", CPUCores: 2},
		{ID: "b9", Zone: "b", CPUCores: 9}, {ID: "self", Zone: "a", CPUCores: cores},
	} {
		state.Entries.Set(entry.ID, entry)
	}
	return &Sources{Self: fleet.Entry{ID: "self", Zone: "a", CPUCores: cores}, State: state}
}

func TestSources(t *testing.T) {
	start := time.Unix(1000, 0)
	at := start.Add
	tests := map[string]struct {
		cores float64
		steps func(s *Sources)
		after time.Duration
		// want is the entry to read through; "" is the store.
		want fleet.EntryID
	}{
		"first of the zone":        {cores: 5},
		"second of the zone":       {cores: 3.5, want: "a4"},
		"last of the zone":         {cores: 1, want: "a4"},
		"the first failed":         {cores: 1, steps: func(s *Sources) { s.RecordFailure("a4", false, start) }, want: "a3"},
		"the first lost the store": {cores: 1, steps: func(s *Sources) { s.RecordFailure("a4", true, start) }, want: "a3"},
		"two failed": {
			cores: 1, steps: func(s *Sources) { s.RecordFailure("a4", false, start); s.RecordFailure("a3", false, start) },
		},
		"the first failed a while ago": {
			cores: 1, steps: func(s *Sources) { s.RecordFailure("a4", false, start) }, after: initialRelayBackoff, want: "a4",
		},
		"the first failed twice a while ago": {
			cores: 1,
			steps: func(s *Sources) { s.RecordFailure("a4", false, start); s.RecordFailure("a4", false, start) },
			after: initialRelayBackoff, want: "a3",
		},
		"the first is being tried again": {
			cores: 1,
			steps: func(s *Sources) { s.RecordFailure("a4", false, start); s.Choose(at(initialRelayBackoff)) },
			after: initialRelayBackoff, want: "a3",
		},
		"the trial was broken off": {
			cores: 1,
			steps: func(s *Sources) {
				s.RecordFailure("a4", false, start)
				s.Choose(at(initialRelayBackoff))
				s.Abandon("a4")
			},
			after: initialRelayBackoff, want: "a4",
		},
		"the first answers again": {
			cores: 1, steps: func(s *Sources) { s.RecordFailure("a4", false, start); s.RecordSuccess("a4") }, want: "a4",
		},
		"first of the zone, store failed": {
			cores: 5, steps: func(s *Sources) { s.RecordStoreFailure(start) }, want: "a4",
		},
		"first of the zone, store failed a while ago": {
			cores: 5, steps: func(s *Sources) { s.RecordStoreFailure(start) }, after: directRetryInterval,
		},
		"first of the zone, store failed and answered": {
			cores: 5, steps: func(s *Sources) { s.RecordStoreFailure(start); s.RecordStoreSuccess() },
		},
		"others read through it, store failed": {
			cores: 3.5, steps: func(s *Sources) { s.BeginReading(); s.RecordStoreFailure(start) }, want: "a4",
		},
		"all before it and the store failed": {
			cores: 2.5,
			steps: func(s *Sources) {
				s.RecordFailure("a4", false, start)
				s.RecordFailure("a3", false, start)
				s.RecordStoreFailure(start)
			},
			want: "a2",
		},
		"others read through it": {cores: 1, steps: func(s *Sources) { s.BeginReading() }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTestSources(tc.cores)
			if tc.steps != nil {
				tc.steps(s)
			}
			preferred := s.Preferred(tc.want, at(tc.after))
			got, _ := s.Choose(at(tc.after))
			if got.ID != tc.want || !preferred {
				t.Errorf("reads through %q, preferred %t; want %q, true", got.ID, preferred, tc.want)
			}
		})
	}
}

// TestOthersPreferTheZone checks that an entry that needs what the store lacks asks its own zone first.
func TestOthersPreferTheZone(t *testing.T) {
	s := newTestSources(5)
	if others := s.Others(time.Now()); len(others) != maxRelays || others[0].ID != "a4" || others[1].ID != "a3" {
		t.Errorf("others = %v, want a4 and a3", others)
	}
	for _, id := range []fleet.EntryID{"a4", "a3", "a2"} {
		s.State.Entries.Delete(id)
	}
	if others := s.Others(time.Now()); len(others) != 1 || others[0].ID != "b9" {
		t.Errorf("others = %v, want b9 of the other zone", others)
	}
}
