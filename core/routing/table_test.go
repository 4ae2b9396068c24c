package routing

import (
	"testing"
	"time"

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
		version int64
		adopted bool
	}{{3, true}, {3, false}, {2, false}, {7, true}, {5, false}} {
		if got := current.ReplaceIfNewer(&Table{Version: step.version}); got != step.adopted {
			t.Errorf("ReplaceIfNewer with version %d returned %t, want %t", step.version, got, step.adopted)
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
