package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wisteriadyke/core/enginemodel"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

// valid returns a configuration without findings: a resumable stream of an engine and a call of a plain service.
func valid() Configuration {
	pools := func(name fleet.PoolName) []routing.WeightedPool {
		return []routing.WeightedPool{{Pool: name, Weight: 1}}
	}
	return Configuration{
		Version: 1,
		Routes: []Route{
			{Resumable: true, Route: routing.Route{
				Name: "s", Host: "app.example", Prefix: "/s/", Stream: true, Repeatability: routing.Resumable, Timeout: time.Second,
				Objective: 300 * time.Millisecond, PauseObjective: 200 * time.Millisecond, MaxAttempts: 3, Pools: pools("engines"),
			}},
			{Route: routing.Route{Name: "c", Host: "app.example", Prefix: "/c/", MaxAttempts: 1, Pools: pools("plain")}},
		},
		Pools: []routing.Pool{
			{Name: "engines", ColdRate: 5, ColdTime: time.Second, Engine: &enginemodel.Model{Slots: 12}}, {Name: "plain"},
		},
		Accounts: []Account{{Name: "a", Keys: []string{"0123456789abcdef"}}, {Name: "b", Keys: []string{"k"}}},
	}
}

// TestCheck guards against mistakes that an operator is not told of, or not with the right severity or place, and
// against findings about a configuration without mistakes.
func TestCheck(t *testing.T) {
	route := func(index int, field Field) Place { return Place{Subject: SubjectRoute, Index: index, Field: field} }
	tests := map[string]struct {
		change   func(*Configuration)
		place    Place
		severity Severity
		problem  string
	}{
		"valid":          {change: func(*Configuration) {}},
		"IP address":     {change: func(c *Configuration) { c.Routes[0].Host = "[2001:db8::1]:80" }, place: route(0, FieldHost), severity: SeverityWarning, problem: "port"},
		"no host":        {change: func(c *Configuration) { c.Routes[0].Host = "" }, place: route(0, FieldHost), problem: "not a host name"},
		"root prefix":    {change: func(c *Configuration) { c.Routes[0].Prefix = "/" }},
		"shorter prefix": {change: func(c *Configuration) { c.Routes[1].Prefix = "/s/c/" }},
		"shadowed route": {change: func(c *Configuration) { c.Routes[1].Host, c.Routes[1].Prefix = "APP.example", "/s/" }, place: route(1, FieldPrefix), problem: `"s"`},
		"name of two routes": {
			change: func(c *Configuration) { c.Routes[1].Name = "s" }, place: route(1, FieldName), severity: SeverityWarning, problem: "another route",
		},
		"default timeout under the objective": {
			change: func(c *Configuration) { c.Routes[1].Objective = 31 * time.Second }, place: route(1, FieldTimeout), problem: "30s",
		},
		"negative objective": {change: func(c *Configuration) { c.Routes[1].Objective = -1 }, place: route(1, FieldObjective), problem: "negative"},
		"more attempts than the budget serves": {
			change: func(c *Configuration) { c.Routes[0].MaxAttempts = 4 }, place: route(0, FieldMaxAttempts), problem: "2 retries",
		},
		"retries of an at-most-once call": {
			change: func(c *Configuration) { c.Routes[1].MaxAttempts = 2 }, place: route(1, FieldMaxAttempts), severity: SeverityWarning, problem: "at most once",
		},
		"no service": {change: func(c *Configuration) { c.Routes[1].Pools, c.Pools = nil, c.Pools[:1] }, place: route(1, FieldPool), problem: "missing"},
		"service beside a split": {
			change: func(c *Configuration) { c.Routes[1].IgnoredPool = "engines" }, place: route(1, FieldPool), severity: SeverityWarning, problem: "no effect",
		},
		"unknown service in a split": {
			change: func(c *Configuration) {
				c.Routes[1].Pools = append(c.Routes[1].Pools, routing.WeightedPool{Pool: "x", Weight: 1})
			},
			place: Place{Subject: SubjectRoute, Index: 1, Field: FieldSplitPool, Element: 2}, problem: `"x"`,
		},
		"negative weight beside a positive one": {
			change: func(c *Configuration) {
				c.Routes[1].Pools = append(c.Routes[1].Pools, routing.WeightedPool{Pool: "engines", Weight: -0.5})
			},
			place: Place{Subject: SubjectRoute, Index: 1, Field: FieldSplitWeight, Element: 2}, problem: "negative",
		},
		"service declared twice": {
			change: func(c *Configuration) { c.Pools = append(c.Pools, c.Pools[1]) },
			place:  Place{Subject: SubjectPool, Index: 2, Field: FieldName}, problem: "already",
		},
		"empty key": {
			change: func(c *Configuration) { c.Accounts[0].Keys[0] = "" },
			place:  Place{Subject: SubjectAccount, Field: FieldKeys, Element: 1}, problem: "empty",
		},
		"key twice in one account": {
			change: func(c *Configuration) { c.Accounts[1].Keys = []string{"k", "k"} },
			place:  Place{Subject: SubjectAccount, Index: 1, Field: FieldKeys, Element: 2}, severity: SeverityWarning, problem: "(1 characters)",
		},
		"account declared twice": {
			change: func(c *Configuration) { c.Accounts[1].Name = "a" },
			place:  Place{Subject: SubjectAccount, Index: 1, Field: FieldName}, severity: SeverityWarning, problem: "already",
		},
		"no account": {
			change: func(c *Configuration) { c.Accounts = nil },
			place:  Place{Subject: SubjectAccount, Index: -1}, severity: SeverityWarning, problem: "no key",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := valid()
			tc.change(&c)
			findings := Check(c, Options{DefaultTimeout: 30 * time.Second, MaxRetries: 2})
			if tc.problem == "" {
				if len(findings) != 0 {
					t.Errorf("got %+v, want no finding", findings)
				}
				return
			}
			if len(findings) != 1 || findings[0].Place != tc.place || findings[0].Severity != tc.severity ||
				!strings.Contains(findings[0].Problem, tc.problem) || findings[0].Advice == "" {
				t.Errorf("got %+v, want one %v at %+v about %s", findings, tc.severity, tc.place, tc.problem)
			}
		})
	}
}

// TestDiff guards against changes that are not listed, or listed with whole keys.
func TestDiff(t *testing.T) {
	tests := map[string]struct {
		change func(*Configuration)
		want   []string
	}{
		"nothing":         {change: func(*Configuration) {}},
		"order of routes": {change: func(c *Configuration) { c.Routes[0], c.Routes[1] = c.Routes[1], c.Routes[0] }},
		"kind": {
			change: func(c *Configuration) { c.Routes[1].Repeatability = routing.Idempotent },
			want:   []string{`route "c": kind from at-most-once call to idempotent call`},
		},
		"weights": {
			change: func(c *Configuration) {
				c.Routes[1].Pools = []routing.WeightedPool{{Pool: "plain", Weight: 9}, {Pool: "engines", Weight: 1}}
			},
			want: []string{`route "c": moved to another service, from "plain" to "plain" (weight 9), "engines" (weight 1)`},
		},
		"engine": {
			change: func(c *Configuration) { c.Pools[1].Engine = &enginemodel.Model{} },
			want:   []string{`service "plain": engine from plain service to engine with 0 slots`},
		},
		"key moved to another account": {
			change: func(c *Configuration) {
				c.Accounts[0].Keys, c.Accounts[1].Keys = nil, append(c.Accounts[1].Keys, c.Accounts[0].Keys...)
			},
			want: []string{`account "a": key 0123... removed`, `account "b": key 0123... added`},
		},
		"limit": {
			change: func(c *Configuration) { c.Limits.IdleTimeout = time.Second },
			want:   []string{"limits: idle timeout from 0s to 1s"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			to := valid()
			tc.change(&to)
			var got []string
			for i, c := range Diff(valid(), to) {
				text := c.String()
				if i < len(tc.want) {
					text = text[:min(len(text), len(tc.want[i]))]
				}
				got = append(got, text)
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("changes differ (-want +got):\n%s", diff)
			}
		})
	}
}
