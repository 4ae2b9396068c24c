package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

// TestUnconfirmedDeaths checks when a death of which no entry can tell counts, by what the registry lists afterwards. It
// guards against crashes that are forgotten, and against requests that are suspected because the paths of a zone were cut.
func TestUnconfirmedDeaths(t *testing.T) {
	const lapse = 3600 * time.Millisecond
	endpoint := fleet.Endpoint{ID: "i-1", Zone: "b", Incarnation: 1, State: fleet.StateLive}
	successor := fleet.Endpoint{ID: "i-2", Zone: "b", Incarnation: 2, State: fleet.StateLive}
	neighbor := fleet.Endpoint{ID: "i-3", Zone: "b", Incarnation: 1, State: fleet.StateLive}
	leaving, restarted := endpoint, endpoint
	leaving.State, restarted.Incarnation = fleet.StateLeaving, 2
	type step struct {
		at            time.Duration
		set           *fleet.Endpoint
		remove        bool
		zoneReachable bool
		// removed is the ID of another endpoint that is removed.
		removed fleet.EndpointID
	}
	tests := map[string]struct {
		steps []step
		// survived reports whether the request is answered in the meantime.
		survived bool
		want     time.Duration
	}{
		"restarted under its ID":  {steps: []step{{at: 2 * time.Second, set: &restarted}}, want: 2 * time.Second},
		"removed, zone reachable": {steps: []step{{zoneReachable: true}, {at: lapse, remove: true}}, want: lapse + relistTime},
		"removed, zone starts others": {
			steps: []step{{at: 2 * time.Second, set: &successor}, {at: lapse, remove: true}}, want: lapse,
		},
		"removed, zone has just started another": {
			steps: []step{{at: 3 * time.Second, set: &successor}, {at: lapse, remove: true}}, want: lapse + relistTime,
		},
		"removed just as the zone is back and starts another": {
			steps: []step{
				{at: 3300 * time.Millisecond, set: &successor}, {at: lapse, remove: true}, {at: lapse + 800*time.Millisecond, set: &endpoint},
			},
		},
		"removed, zone started another before": {
			steps: []step{{at: time.Second, set: &successor}, {at: lapse, remove: true}}, want: lapse + relistTime,
		},
		"removed as the zone is back": {
			steps: []step{{at: lapse, remove: true, zoneReachable: true}, {at: lapse + 1200*time.Millisecond, set: &endpoint}},
		},
		"removed as others of the zone are back": {
			steps: []step{
				{removed: neighbor.ID}, {at: time.Second, set: &successor}, {at: 3 * time.Second, set: &neighbor}, {at: lapse, remove: true},
				{at: lapse + 1200*time.Millisecond, set: &endpoint},
			},
		},
		"removed, zone reachable later": {
			steps: []step{{at: lapse, remove: true}, {at: 5 * time.Second, zoneReachable: true}}, want: 7 * time.Second,
		},
		"zone cut off for some time": {
			steps: []step{{at: lapse, remove: true}, {at: 6 * time.Second, zoneReachable: true}, {at: 7 * time.Second, set: &endpoint}},
		},
		"zone cut off for good": {steps: []step{{at: lapse, remove: true}}},
		"listed all along":      {steps: []step{{zoneReachable: true}}},
		"left":                  {steps: []step{{zoneReachable: true}, {at: time.Second, set: &leaving}, {at: 3 * time.Second, remove: true}}},
		"answered meanwhile":    {steps: []step{{at: 2 * time.Second, set: &restarted}}, survived: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state, reachable := &clusterstate.State{}, false
				state.Endpoints.Set(endpoint.ID, endpoint)
				state.Endpoints.Set(neighbor.ID, neighbor)
				d := newTestDispatcher(&fakeEngines{}, &fakeReservations{})
				d.Suspects = &retry.Suspects{Entry: "a", DeathLimit: retry.NoTrialDeathLimit}
				u := &UnconfirmedDeaths{
					State: state, ReachesZone: func(context.Context, fleet.Endpoint) bool { return reachable }, Log: zerolog.Nop(),
				}
				started := time.Now()
				u.add(d, endpoint, observedDeath{
					fingerprint: "f", death: retry.Death{Endpoint: "i-1", Incarnation: 1}, brokeAt: started,
				}, diagnosisUnknown)
				if tc.survived {
					u.recordSurvival("f")
				}
				var confirmedAfter time.Duration
				steps := tc.steps
				for range int(confirmTimeout/confirmPeriod) + 2 {
					for len(steps) > 0 && time.Since(started) >= steps[0].at {
						s := steps[0]
						steps = steps[1:]
						reachable = reachable || s.zoneReachable
						if s.set != nil {
							state.Endpoints.Set(s.set.ID, *s.set)
						}
						if s.remove {
							state.Endpoints.Delete(endpoint.ID)
						}
						state.Endpoints.Delete(s.removed)
					}
					u.resolve(t.Context())
					if confirmedAfter == 0 && len(d.Suspects.Records()) > 0 {
						confirmedAfter = time.Since(started)
					}
					time.Sleep(confirmPeriod)
				}
				if confirmedAfter != tc.want {
					t.Errorf("death counted after %v, want %v (0 means never)", confirmedAfter, tc.want)
				}
				if len(u.pending) > 0 {
					t.Errorf("%d deaths are still unconfirmed", len(u.pending))
				}
			})
		})
	}
}

// TestEndpointThatEndsSlowly guards against a crash that is not counted because the endpoint accepted a connection for a moment
// after the attempt broke.
func TestEndpointThatEndsSlowly(t *testing.T) {
	for name, tc := range map[string]struct {
		ends bool
		want int
	}{"ends": {ends: true, want: 1}, "lives": {}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &fakeEngines{script: []behavior{{tokens: 1}}, incarnation: map[fleet.EndpointID]fleet.Incarnation{"a1": 1}}
				d := newTestDispatcher(engines, &fakeReservations{})
				d.Suspects = &retry.Suspects{Entry: "a", DeathLimit: retry.NoTrialDeathLimit}
				d.Unconfirmed = &UnconfirmedDeaths{State: d.State, Log: zerolog.Nop()}
				request := newTestRequest()
				request.RetryPolicy = RetryNever
				_ = d.Generate(t.Context(), request, &collector{})
				if tc.ends {
					engines.unanswered = 1
				}
				time.Sleep(exitTime)
				d.Unconfirmed.resolve(t.Context())
				deaths := 0
				for _, record := range d.Suspects.Records() {
					deaths += len(record.Deaths)
				}
				if deaths != tc.want || len(d.Unconfirmed.pending) != 0 {
					t.Errorf("%d deaths counted, %d unconfirmed, want %d and 0", deaths, len(d.Unconfirmed.pending), tc.want)
				}
			})
		})
	}
}
