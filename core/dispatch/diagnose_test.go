package dispatch

import (
	"context"
	"testing"
	"testing/synctest"

	"wisteriadyke/core/fleet"
)

// TestDiagnose checks what is found about an endpoint that this entry can't reach.
func TestDiagnose(t *testing.T) {
	tests := map[string]struct {
		reached, failed int
		cutOff          bool
		zone            fleet.Zone
		want            diagnosis
	}{
		"no other entry can tell":               {want: diagnosisDied},
		"others can't reach it either":          {failed: 2, want: diagnosisDied},
		"another one reaches it":                {reached: 1, failed: 1, want: diagnosisPathBroken},
		"cut off, no other entry can tell":      {cutOff: true, want: diagnosisUnknown},
		"cut off, others can't reach it":        {cutOff: true, failed: 1, want: diagnosisDied},
		"cut off, another one reaches it":       {cutOff: true, reached: 1, want: diagnosisPathBroken},
		"zone cut off, no other entry can tell": {zone: "b", want: diagnosisZoneUnreachable},
		"zone cut off, another one reaches it":  {zone: "b", reached: 1, want: diagnosisPathBroken},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &fakeEngines{unanswered: 1}
				d := newTestDispatcher(engines, &fakeReservations{})
				d.CanTell = func(context.Context, fleet.Endpoint) bool { return !tc.cutOff }
				d.AskOthers = func(context.Context, fleet.Endpoint) (int, int) { return tc.reached, tc.failed }
				r := &requestRun{Dispatcher: d, request: newTestRequest()}
				zone := tc.zone
				if zone == "" {
					zone = d.Zone
				}
				got := r.diagnose(t.Context(), fleet.Endpoint{ID: "a1", Pool: "p", Zone: zone}, 1)
				if got != tc.want {
					t.Errorf("got %s, want %s", got, tc.want)
				}
			})
		})
	}
}
