package sharedload

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/ratelimit"
	"wisteriadyke/core/reservation"
)

// limitEndpoints lets the first engines state a limit, of which each role may use a share.
func (f *testFleet) limitEndpoints(count int, perSecond float64, shares map[Role]float64) {
	limits := &ratelimit.Limits{Listed: func(fleet.EndpointID) bool { return true }}
	for i := range count {
		limits.Merge(testEndpoint(i).ID, ratelimit.Statement{PerSecond: perSecond, At: time.Now()})
	}
	f.policy.Limits = limits
	f.chooser.Limits = limits
	f.chooser.LimitRate = func(endpoint fleet.Endpoint, role Role) (float64, bool) {
		limit, limited := limits.Limit(endpoint)
		return limit * shares[role], limited
	}
}

// TestLimitOfEachRole chooses an endpoint with a limit as often as it allows, in each role.
func TestLimitOfEachRole(t *testing.T) {
	shares := map[Role]float64{RoleLeader: 1, RoleZone: 0.1, RoleAlone: 0.01}
	for name, test := range map[string]struct {
		role        Role
		limit       float64
		least, most int
	}{
		"leader":           {role: RoleLeader, limit: 2, least: 78, most: 81},
		"leader, fraction": {role: RoleLeader, limit: 0.3, least: 11, most: 13},
		"leader, burst":    {role: RoleLeader, limit: 20, least: 780, most: 805},
		"zone":             {role: RoleZone, limit: 2, least: 6, most: 8},
		"alone":            {role: RoleAlone, limit: 2, least: 0, most: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1)
			f.limitEndpoints(1, test.limit, shares)
			chosen := 0
			start := time.Now()
			for elapsed := time.Duration(0); elapsed < 40*time.Second; elapsed += 10 * time.Millisecond {
				need := placement.Need{Pool: testPool.Name, PromptTokens: 1000, MaxTokens: 100}
				if _, err := f.chooser.Choose(need, test.role, start.Add(elapsed), func(Choice) {}); err == nil {
					chosen++
				}
			}
			if chosen < test.least || chosen > test.most {
				t.Errorf("chosen %d times in 40 s, want %d to %d", chosen, test.least, test.most)
			}
		})
	}
}

// TestEntriesThatBeginToChooseKeepALimit lets many entries choose for themselves from the same moment.
func TestEntriesThatBeginToChooseKeepALimit(t *testing.T) {
	const entries, limit = 60, 1.0
	chosen := 0
	start := time.Now()
	for range entries {
		f := newFleet(2)
		f.limitEndpoints(1, limit, map[Role]float64{RoleAlone: 0.25 / entries})
		for elapsed := time.Duration(0); elapsed < 4*time.Second; elapsed += 100 * time.Millisecond {
			need := placement.Need{Pool: testPool.Name, PromptTokens: 1000, MaxTokens: 100}
			choice, err := f.chooser.Choose(need, RoleAlone, start.Add(elapsed), func(Choice) {})
			if err != nil {
				t.Fatal(err)
			}
			if choice.Endpoint == testEndpoint(0).ID {
				chosen++
			}
		}
	}
	if chosen > int(4*limit) {
		t.Errorf("chosen %d times in 4 s, want %d at most", chosen, int(4*limit))
	}
}

// TestManyLeadersKeepALimit guards against entries that are cut off from each other and all lead: their buckets must not
// all allow a request at the same time, neither at first nor when they have filled.
func TestManyLeadersKeepALimit(t *testing.T) {
	// The platform allows one and a half times the limit, and five more, within limitSpan.
	const (
		entries, limit = 60, 1.0
		limitSpan      = 4 * time.Second
		most           = 11
		span           = 2 * entries * time.Second
	)
	var chosenAt []time.Duration
	start := time.Now()
	for i := range entries {
		f := newFleet(1)
		f.chooser.Phase = func() float64 { return float64(i) / entries }
		f.limitEndpoints(1, limit, map[Role]float64{RoleLeader: 1.0 / entries})
		for elapsed := time.Duration(0); elapsed < span; elapsed += 100 * time.Millisecond {
			need := placement.Need{Pool: testPool.Name, PromptTokens: 1000, MaxTokens: 100}
			if _, err := f.chooser.Choose(need, RoleLeader, start.Add(elapsed), func(Choice) {}); err == nil {
				chosenAt = append(chosenAt, elapsed)
			}
		}
	}
	slices.Sort(chosenAt)
	if got := mostWithin(chosenAt, limitSpan); got > most {
		t.Errorf("%d choices within %v, want %d at most", got, limitSpan, most)
	}
	if least := int(limit * span.Seconds() / 2); len(chosenAt) < least {
		t.Errorf("%d choices in %v, want %d or more", len(chosenAt), span, least)
	}
}

// TestReachedLimits requests choices from a pool whose endpoints all have reached their limit.
func TestReachedLimits(t *testing.T) {
	f := newFleet(3)
	f.limitEndpoints(3, 0.5, map[Role]float64{RoleLeader: 1})
	need := placement.Need{Pool: testPool.Name, PromptTokens: 1000, MaxTokens: 100}
	for i := range 3 {
		if _, err := f.choose(need); err != nil {
			t.Fatalf("choice %d: %v", i, err)
		}
	}
	_, err := f.choose(need)
	var refusal *reservation.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != reservation.ReasonRateLimited {
		t.Fatalf("error = %v, want a refusal with %s", err, reservation.ReasonRateLimited)
	}
	if refusal.RetryAfter <= time.Second || refusal.RetryAfter > 2*time.Second {
		t.Errorf("RetryAfter = %v, want 1 s to 2 s", refusal.RetryAfter)
	}
}

// TestLongPromptAvoidsLimitedEndpoints plans the prefill of a long prompt while some endpoints, or all, state a limit.
func TestLongPromptAvoidsLimitedEndpoints(t *testing.T) {
	for limited, wantSpared := range map[int]bool{3: true, 16: false} {
		t.Run(fmt.Sprint(limited), func(t *testing.T) {
			f := newFleet(16)
			f.limitEndpoints(limited, 5, map[Role]float64{RoleLeader: 1})
			choice, err := f.choose(placement.Need{
				Pool: testPool.Name, PromptTokens: 154_000, MaxTokens: 1000, Objective: archiveObjective,
			})
			if err != nil {
				t.Fatal(err)
			}
			used := f.isLimited(choice.Endpoint)
			for _, h := range choice.Helpers {
				used = used || f.isLimited(h.Endpoint)
			}
			if used == wantSpared {
				t.Errorf("endpoints with a limit are used: %t, want %t", used, !wantSpared)
			}
		})
	}
}

// isLimited reports whether an engine states a limit.
func (f *testFleet) isLimited(id fleet.EndpointID) bool {
	return f.policy.isLimited(fleet.Endpoint{ID: id})
}
