package ratelimit

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

func TestLimits(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct {
		statements []Statement
		// incarnation is that of the listed endpoint.
		incarnation fleet.Incarnation
		want        float64
	}{
		"nothing stated":     {incarnation: 1},
		"no limit":           {statements: []Statement{{1, 0, at(1)}}, incarnation: 1},
		"limit":              {statements: []Statement{{1, 2.5, at(1)}}, incarnation: 1, want: 2.5},
		"other limit":        {statements: []Statement{{1, 2.5, at(1)}, {1, 4, at(2)}}, incarnation: 1, want: 4},
		"older limit":        {statements: []Statement{{1, 4, at(2)}, {1, 2.5, at(1)}}, incarnation: 1, want: 4},
		"ended":              {statements: []Statement{{1, 2.5, at(1)}, {1, 0, at(2)}}, incarnation: 1},
		"sent before it":     {statements: []Statement{{1, 2.5, at(2)}, {1, 0, at(1)}}, incarnation: 1, want: 2.5},
		"again after end":    {statements: []Statement{{1, 2.5, at(1)}, {1, 0, at(2)}, {1, 3, at(3)}}, incarnation: 1, want: 3},
		"late news of it":    {statements: []Statement{{1, 2.5, at(1)}, {1, 0, at(3)}, {1, 2.5, at(2)}}, incarnation: 1},
		"later incarnation":  {statements: []Statement{{1, 2.5, at(1)}}, incarnation: 2},
		"before it is known": {statements: []Statement{{2, 2.5, at(1)}}, incarnation: 1, want: 2.5},
		"former incarnation": {statements: []Statement{{2, 2.5, at(1)}, {1, 7, at(2)}, {1, 0, at(3)}}, incarnation: 2, want: 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			l := Limits{Listed: func(fleet.EndpointID) bool { return true }}
			for _, s := range test.statements {
				l.Merge("e", s)
			}
			got, limited := l.Limit(fleet.Endpoint{ID: "e", Incarnation: test.incarnation})
			if limited != (test.want > 0) || limited && got != test.want {
				t.Errorf("Limit = %v, %t, want %v", got, limited, test.want)
			}
		})
	}
}

// TestOwnStatements checks which statements an entry reports to others, and that those of unlisted endpoints are dropped.
func TestOwnStatements(t *testing.T) {
	start := time.Unix(1000, 0)
	listed := map[fleet.EndpointID]bool{"a": true, "b": true, "c": true}
	l := Limits{Listed: func(id fleet.EndpointID) bool { return listed[id] }}
	if !l.Record("a", Statement{1, 2, start}, start) {
		t.Error("a first limit is no change")
	}
	if l.Record("a", Statement{1, 2, start.Add(time.Second)}, start.Add(time.Second)) {
		t.Error("the same limit again is a change")
	}
	l.Merge("b", Statement{1, 3, start})
	if own := l.Own(start.Add(2 * time.Second)); len(own) != 1 || own["a"].PerSecond != 2 {
		t.Errorf("Own = %v, want the limit of a only", own)
	}
	if !l.Record("b", Statement{1, 0, start.Add(time.Second)}, start.Add(2*time.Second)) {
		t.Error("the end of a limit is no change")
	}
	if own := l.Own(start.Add(3 * time.Second)); len(own) != 2 || own["b"].PerSecond != 0 {
		t.Errorf("Own = %v, want the limit of a and the end of that of b", own)
	}
	if own := l.Own(start.Add(time.Minute)); len(own) != 0 {
		t.Errorf("Own = %v after a minute, want nothing", own)
	}
	delete(listed, "a")
	l.Record("c", Statement{1, 1, start}, start)
	if _, found := l.Known("a"); found {
		t.Error("the limit of an endpoint that is no longer listed is kept")
	}
}
