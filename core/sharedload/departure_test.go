package sharedload

import (
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// TestEndpointLeavesDuringLease guards against an attempt at an endpoint that left, or whose zone was drained, while the memory
// at its helpers was leased.
func TestEndpointLeavesDuringLease(t *testing.T) {
	tests := map[string]func(state *clusterstate.State, endpoint fleet.Endpoint){
		"leaves": func(state *clusterstate.State, endpoint fleet.Endpoint) {
			endpoint.State = fleet.StateLeaving
			state.Endpoints.Set(endpoint.ID, endpoint)
		},
		"is removed": func(state *clusterstate.State, endpoint fleet.Endpoint) { state.Endpoints.Delete(endpoint.ID) },
		"is in a zone that is drained": func(state *clusterstate.State, endpoint fleet.Endpoint) {
			endpoint.Zone = "b"
			state.Endpoints.Set(endpoint.ID, endpoint)
			state.Zones.Set("b", config.ZoneState{Zone: "b", Drained: true})
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(10)
				undisturbed, err := reserveHuge(t, f)
				if err != nil {
					t.Fatal(err)
				}
				_ = f.reserver.Release(t.Context(), reservation.Release{Reservation: undisturbed.Reservation})
				leaving, _ := f.state.Endpoints.Get(undisturbed.Endpoint)
				f.memory.onReserve = func() { leave(f.state, leaving) }
				grant, err := reserveHuge(t, f)
				if err != nil {
					t.Fatal(err)
				}
				if grant.Endpoint == leaving.ID {
					t.Errorf("the attempt is granted at %s", grant.Endpoint)
				}
				time.Sleep(leaseTime)
				if totals := f.policy.Usages.Totals(time.Now()); totals[leaving.ID] != (Usage{}) {
					t.Errorf("usage at %s = %v, want none", leaving.ID, totals[leaving.ID])
				}
			})
		})
	}
}
