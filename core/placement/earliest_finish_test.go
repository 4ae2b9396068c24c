package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// epoch is the start time of the tests.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// idle is the report of an idle warm endpoint.
var idle = placement.Report{
	MeasuredAt: epoch,
	Accepting:  true,
	FreeSlots:  placement.UnlimitedFreeSlots,
	FreeShort:  400_000,
	FreeLong:   340_000,
	Prefill:    50_000,
	Decode:     60,
}

// reportOf returns the report of an idle endpoint as modified by change.
func reportOf(change func(r *placement.Report)) placement.Report {
	report := idle
	change(&report)
	return report
}

// viewOf returns the view of an entry in zone a: the given number of availability zones, a, b and so on, each with the
// given number of idle engines.
func viewOf(zones, each int) placement.View {
	view := placement.View{
		Endpoints: make(map[fleet.EndpointID]fleet.Endpoint),
		Reports:   make(map[fleet.EndpointID]placement.Report),
		Zones:     make(map[fleet.Zone]config.ZoneState),
		Local:     "a",
	}
	for z := range zones {
		name := fleet.Zone(rune('a' + z))
		for i := range each {
			id := fleet.EndpointID(fmt.Sprintf("%s-%d", name, i))
			view.Endpoints[id] = fleet.Endpoint{
				ID: id, Pool: "reader", Zone: name, Kind: fleet.KindEngine, State: fleet.StateLive, Memory: 400_000,
			}
			view.Reports[id] = idle
		}
	}
	return view
}

// policy returns the policy with seeded random numbers.
func policy() *placement.EarliestFinish {
	return &placement.EarliestFinish{Random: rand.New(rand.NewPCG(1, 2)).IntN}
}

// short returns the requirements of a short request.
func short() placement.Need {
	return placement.Need{Pool: "reader", Account: "acme", PromptTokens: 1_000, MaxTokens: 64, DecidedAt: epoch}
}

// TestPredictedPrefers asserts which of two endpoints, one in the local zone a and one in zone b, comes first, if any.
func TestPredictedPrefers(t *testing.T) {
	busy := reportOf(func(r *placement.Report) { r.WaitShort, r.WaitLong = time.Second, time.Second })
	tests := map[string]struct {
		change func(view *placement.View, need *placement.Need)
		want   fleet.EndpointID
	}{
		"local zone": {
			change: func(*placement.View, *placement.Need) {},
			want:   "a-0",
		},
		"other zone when the local one waits": {
			change: func(view *placement.View, _ *placement.Need) { view.Reports["a-0"] = busy },
			want:   "b-0",
		},
		"local zone when the other gains little": {
			change: func(view *placement.View, _ *placement.Need) {
				view.Reports["a-0"] = reportOf(func(r *placement.Report) { r.WaitShort = 10 * time.Millisecond })
			},
			want: "a-0",
		},
		"memory that is free": {
			change: func(view *placement.View, _ *placement.Need) {
				view.Reports["a-0"] = reportOf(func(r *placement.Report) { r.FreeShort = 500 })
			},
			want: "b-0",
		},
		"long band by its own memory": {
			change: func(view *placement.View, need *placement.Need) {
				need.PromptTokens = 100_000
				view.Reports["a-0"] = reportOf(func(r *placement.Report) { r.FreeLong = 50_000 })
			},
			want: "b-0",
		},
		"endpoint that is not full of a cold start": {
			change: func(view *placement.View, _ *placement.Need) {
				view.Reports["a-0"] = reportOf(func(r *placement.Report) { r.FreeSlots = 0 })
			},
			want: "b-0",
		},
		"not excluded": {
			change: func(_ *placement.View, need *placement.Need) {
				need.Excluded = map[fleet.EndpointID]bool{"a-0": true}
			},
			want: "b-0",
		},
		"not leaving": {
			change: func(view *placement.View, _ *placement.Need) {
				endpoint := view.Endpoints["a-0"]
				endpoint.State = fleet.StateLeaving
				view.Endpoints["a-0"] = endpoint
			},
			want: "b-0",
		},
		"not drained": {
			change: func(view *placement.View, _ *placement.Need) {
				view.Zones["a"] = config.ZoneState{Zone: "a", Drained: true}
			},
			want: "b-0",
		},
		"not closed by its owner": {
			change: func(view *placement.View, _ *placement.Need) {
				view.Reports["a-0"] = reportOf(func(r *placement.Report) { r.Accepting = false })
			},
			want: "b-0",
		},
		"not a zone that is silent for long": {
			change: func(view *placement.View, need *placement.Need) {
				need.DecidedAt = epoch.Add(10 * time.Second)
				view.Reports["a-0"] = reportOf(func(r *placement.Report) {
					r.MeasuredAt = need.DecidedAt
					r.WaitShort = 2 * time.Second
				})
			},
			want: "a-0",
		},
		"nothing where a prompt fits no engine": {
			change: func(_ *placement.View, need *placement.Need) { need.PromptTokens = 1_000_000 },
			want:   "",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			view := viewOf(2, 1)
			need := short()
			test.change(&view, &need)
			candidates := policy().Candidates(view, need)
			if test.want == "" && len(candidates) == 0 {
				return
			}
			if len(candidates) == 0 || candidates[0].ID != test.want {
				t.Fatalf("candidates = %v, want %q first", candidates, test.want)
			}
		})
	}
}

// TestPredictedReachesEveryEndpoint asserts that repeated decisions that exclude the endpoints tried before reach every
// endpoint of all zones.
func TestPredictedReachesEveryEndpoint(t *testing.T) {
	view := viewOf(3, 6)
	p := policy()
	need := short()
	need.Excluded = make(map[fleet.EndpointID]bool)
	for range len(view.Endpoints) {
		candidates := p.Candidates(view, need)
		if len(candidates) == 0 {
			t.Fatalf("no candidate after %d of %d endpoints", len(need.Excluded), len(view.Endpoints))
		}
		if need.Excluded[candidates[0].ID] {
			t.Fatalf("got excluded candidate %s", candidates[0].ID)
		}
		need.Excluded[candidates[0].ID] = true
	}
	if candidates := p.Candidates(view, need); len(candidates) > 0 {
		t.Fatalf("candidates = %v after all were excluded, want none", candidates)
	}
}

// TestPredictedSpreadsBetweenReports asserts that requests are spread evenly although the reports don't change.
func TestPredictedSpreadsBetweenReports(t *testing.T) {
	view := viewOf(1, 4)
	p := policy()
	need := short()
	need.PromptTokens = 16_000
	counts := make(map[fleet.EndpointID]int)
	for range 40 {
		counts[p.Candidates(view, need)[0].ID]++
	}
	for id := range view.Endpoints {
		if counts[id] < 8 || counts[id] > 12 {
			t.Errorf("%s got %d of 40 requests between two reports, want 8 to 12", id, counts[id])
		}
	}
}

// TestPredictedWeighsPrefixesAsHints asserts that an endpoint that may hold a prefix is preferred only if its wait is
// shorter than the prefill time that the prefix saves.
func TestPredictedWeighsPrefixesAsHints(t *testing.T) {
	tests := map[string]struct {
		wait time.Duration
		want fleet.EndpointID
	}{
		"saved reading beats a small wait":            {wait: 100 * time.Millisecond, want: "a-1"},
		"a wait beats the reading that it would save": {wait: 400 * time.Millisecond, want: "a-0"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			view := viewOf(1, 2)
			view.Reports["a-1"] = reportOf(func(r *placement.Report) { r.WaitShort = test.wait })
			p := policy()
			p.Prefixes = &placement.PrefixIndex{}
			prefix := placement.Prefix{Digest: "d", Tokens: 8_192}
			p.Prefixes.Observe("a-1", 1, []placement.CacheEvent{{Sequence: 1, Prefix: prefix}})
			need := short()
			need.PromptTokens = 10_000
			need.Prefixes = []placement.Prefix{prefix}
			if got := p.Candidates(view, need)[0].ID; got != test.want {
				t.Fatalf("placed on %s, want %s", got, test.want)
			}
		})
	}
}

// TestPredictedRampsARestoredZone asserts that the share of requests that a restored zone receives grows to all of
// them.
func TestPredictedRampsARestoredZone(t *testing.T) {
	view := viewOf(2, 2)
	view.Zones["a"] = config.ZoneState{Zone: "a", Revision: 2, ChangedAt: epoch}
	tests := map[string]struct {
		after       time.Duration
		least, most int
	}{
		"at once":     {after: 0, least: 1, most: 250},
		"half way":    {after: 15 * time.Second, least: 350, most: 650},
		"after ramps": {after: 31 * time.Second, least: 1000, most: 1000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := policy()
			view := view
			view.Reports = nil
			need := short()
			need.PromptTokens = 1
			local := 0
			for i := range 1000 {
				need.DecidedAt = epoch.Add(test.after + time.Duration(i)*time.Microsecond)
				if p.Candidates(view, need)[0].Zone == "a" {
					local++
				}
			}
			if local < test.least || local > test.most {
				t.Fatalf("%d of 1000 placed in the restored zone, want %d to %d", local, test.least, test.most)
			}
		})
	}
}

// BenchmarkPlacement measures one decision with a prepared index.
func BenchmarkPlacement(b *testing.B) {
	sizes := map[string]struct{ zones, each int }{
		"endpoints=25":   {zones: 5, each: 5},
		"endpoints=1300": {zones: 13, each: 100},
	}
	prompts := map[string]fleet.Tokens{"short": 1_000, "long": 100_000}
	for name, size := range sizes {
		for length, prompt := range prompts {
			b.Run(name+"/"+length, func(b *testing.B) {
				view := viewOf(size.zones, size.each)
				view.Index = placement.NewIndex(view)
				p := policy()
				need := short()
				need.PromptTokens = prompt
				b.ReportAllocs()
				for b.Loop() {
					need.DecidedAt = need.DecidedAt.Add(170 * time.Microsecond)
					p.Candidates(view, need)
				}
			})
		}
	}
}

// BenchmarkIndex measures the construction of an index.
func BenchmarkIndex(b *testing.B) {
	sizes := map[string]struct{ zones, each int }{
		"endpoints=25":   {zones: 5, each: 5},
		"endpoints=1300": {zones: 13, each: 100},
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			view := viewOf(size.zones, size.each)
			b.ReportAllocs()
			for b.Loop() {
				placement.NewIndex(view)
			}
		})
	}
}
