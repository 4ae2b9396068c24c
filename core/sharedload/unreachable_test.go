package sharedload

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// TestEndpointUnreachableForTheChooser checks when a choice for another entry uses an endpoint that the chooser can't
// connect to: if no other one is left, unless another entry excluded it as well.
func TestEndpointUnreachableForTheChooser(t *testing.T) {
	tests := map[string]struct {
		excludedByOther bool
		others          int
		want            fleet.EndpointID
	}{
		"only this one":                        {want: testEndpoint(0).ID},
		"only this one, excluded by another":   {excludedByOther: true},
		"another one is left":                  {others: 1, want: testEndpoint(1).ID},
		"another one, and excluded by another": {others: 1, excludedByOther: true, want: testEndpoint(1).ID},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1 + tc.others)
			unreachable := func(endpoint fleet.Endpoint, _ time.Time) bool { return endpoint.ID == testEndpoint(0).ID }
			f.policy.Unreachable = unreachable
			f.policy.UsableForOthers = func(endpoint fleet.Endpoint, now time.Time) bool { return !unreachable(endpoint, now) }
			if tc.excludedByOther {
				f.policy.Usages.RecordExclusions(map[fleet.EndpointID]bool{testEndpoint(0).ID: true}, time.Now())
			}
			choice, err := f.choose(placement.Need{Pool: testPool.Name, PromptTokens: 1000, MaxTokens: 100})
			if choice.Endpoint != tc.want || (err == nil) != (tc.want != "") {
				t.Errorf("got %q, error %v, want %q", choice.Endpoint, err, tc.want)
			}
		})
	}
}
