package routing

import (
	"testing"
	"time"

	"wisteriadyke/core/enginemodel"
	"wisteriadyke/core/fleet"
)

func TestMatch(t *testing.T) {
	table := (&Table{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}}).BuildIndex()
	tests := map[string]struct {
		host string
		path string
		want string
	}{
		"longest prefix":      {"a.example", "/x/y/z", "long"},
		"shorter prefix":      {"a.example", "/x/yz", "short"},
		"prefix itself":       {"a.example", "/x/", "short"},
		"without its slash":   {"a.example", "/x", ""},
		"bytes as sent":       {"a.example", "/x%2Fy/", ""},
		"no cleaning":         {"a.example", "/q/../x/", ""},
		"port":                {"a.example:8080", "/x/", "short"},
		"upper case, dot":     {"A.Example.", "/x/", "short"},
		"dot and port":        {"a.example.:80", "/x/", "short"},
		"unknown host":        {"c.example", "/x/", ""},
		"root prefix":         {"b.example", "/anything", "other"},
		"path without a root": {"b.example", "*", ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			route, found := table.Match(tc.host, tc.path)
			if found != (tc.want != "") || found && route.Name != tc.want {
				t.Errorf("got route %+v, want %q", route, tc.want)
			}
		})
	}
}

func TestChooseByWeight(t *testing.T) {
	const draws = 4000
	route := Route{Pools: []WeightedPool{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c", Weight: 0}}}
	counts := make(map[fleet.PoolName]int)
	for range draws {
		pool, _ := route.ChoosePool()
		counts[pool]++
	}
	if counts["c"] != 0 || counts["b"] < draws/20 || counts["b"] > draws/6 {
		t.Errorf("got choices %v, want about a tenth b and no c", counts)
	}
	if _, found := (&Route{}).ChoosePool(); found {
		t.Error("got a pool from a route without pools")
	}
}

func TestCurrentNeverGoesBack(t *testing.T) {
	var current ActiveTable
	for _, step := range []struct {
		version  int64
		replaced bool
	}{{3, true}, {3, false}, {2, false}, {7, true}, {5, false}} {
		if got := current.ReplaceIfNewer(&Table{Version: step.version}); got != step.replaced {
			t.Errorf("ReplaceIfNewer with version %d returned %t, want %t", step.version, got, step.replaced)
		}
	}
	if got := current.Table().Version; got != 7 {
		t.Errorf("got version %d, want 7", got)
	}
}

func TestPauseObjectiveIsTheShortest(t *testing.T) {
	table := (&Table{
		Routes: []Route{
			{PauseObjective: time.Second, Pools: []WeightedPool{{Pool: "a"}}},
			{PauseObjective: 250 * time.Millisecond, Pools: []WeightedPool{{Pool: "a"}}},
			{Pools: []WeightedPool{{Pool: "a"}}},
		},
		Pools: map[fleet.PoolName]Pool{"a": {Name: "a"}},
	}).BuildIndex()
	if got := table.Pools["a"].PauseObjective; got != 250*time.Millisecond {
		t.Errorf("got pause objective %v, want 250ms", got)
	}
}

// TestContended guards against new scheduling decisions in pools whose engines free their slots quickly enough for the
// shortest objective.
func TestContended(t *testing.T) {
	engine := enginemodel.Model{
		Slots: 12, Step: time.Millisecond, Stride: 50, MeanPrompt: 14_000, MeanOutput: 1_700, StepPerContext: 2.5,
	}
	tests := map[string]struct {
		objective time.Duration
		change    func(*enginemodel.Model)
		call      bool
		want      bool
	}{
		"slots free up slowly":             {objective: 300 * time.Millisecond, want: true},
		"long objective":                   {objective: 500 * time.Millisecond},
		"many slots":                       {objective: 300 * time.Millisecond, change: func(m *enginemodel.Model) { m.Slots, m.MeanPrompt = 24, 7_000 }},
		"mean lengths not published":       {objective: 300 * time.Millisecond, change: func(m *enginemodel.Model) { m.MeanOutput = 0 }},
		"no objective":                     {},
		"short objective of another route": {objective: 300 * time.Millisecond, call: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			m := engine
			if tc.change != nil {
				tc.change(&m)
			}
			table := (&Table{
				Routes: []Route{{Stream: !tc.call, Objective: tc.objective, Pools: []WeightedPool{{Pool: "p", Weight: 1}}}},
				Pools:  map[fleet.PoolName]Pool{"p": {Name: "p", Engine: &m}},
			}).BuildIndex()
			if got := table.Pools["p"].Contended; got != tc.want {
				t.Errorf("got contended %t, want %t; slots free up every %v", got, tc.want, m.SlotInterval())
			}
		})
	}
}
