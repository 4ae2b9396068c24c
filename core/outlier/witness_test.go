package outlier

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// TestWitness checks what an entry tells others about an endpoint of incarnation 2.
func TestWitness(t *testing.T) {
	tests := map[string]struct {
		endpoint    fleet.EndpointID
		incarnation fleet.Incarnation
		// down ends the endpoint, cut the path to all others.
		down, cut, cutOff bool
		reached, known    bool
	}{
		"runs":                         {endpoint: "i", incarnation: 2, reached: true, known: true},
		"down":                         {endpoint: "i", incarnation: 2, down: true, known: true},
		"down, or the path is":         {endpoint: "i", incarnation: 2, down: true, cut: true},
		"down, or cut off":             {endpoint: "i", incarnation: 2, down: true, cutOff: true},
		"runs, others are cut off":     {endpoint: "i", incarnation: 2, cutOff: true, reached: true, known: true},
		"an earlier incarnation":       {endpoint: "i", incarnation: 1, known: true},
		"a later incarnation":          {endpoint: "i", incarnation: 3},
		"an endpoint that is unlisted": {endpoint: "j", incarnation: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			state := &clusterstate.State{}
			state.Endpoints.Set("i", fleet.Endpoint{ID: "i", Pool: "p", Incarnation: 2, State: fleet.StateLive})
			state.Endpoints.Set("other", fleet.Endpoint{ID: "other", Pool: "q", State: fleet.StateLive})
			reach := &Reach{State: state, Detector: &Detector{}, Log: zerolog.Nop()}
			if tc.cutOff {
				endpoint, _ := state.Endpoints.Get("i")
				reach.Detector.RecordUnreachable(endpoint, time.Now())
				reach.update(time.Now())
			}
			w := &Witness{State: state, Reach: reach, Connect: func(_ context.Context, endpoint fleet.Endpoint) error {
				if tc.down && endpoint.ID == "i" || tc.cut {
					return errors.New("connection refused")
				}
				return nil
			}}
			reached, known := w.Reaches(t.Context(), tc.endpoint, tc.incarnation)
			if reached != tc.reached || known != tc.known {
				t.Errorf("got reached %v, known %v, want %v, %v", reached, known, tc.reached, tc.known)
			}
		})
	}
}

// TestEndedAlone guards against deaths that are reported while the path to a zone is cut or has just come back.
func TestEndedAlone(t *testing.T) {
	tests := map[string]struct {
		// entry gives the zone an entry; down and cut fail connections to the endpoint and to the others of its zone.
		entry, down, cut bool
		want             bool
	}{
		"down":                      {down: true, want: true},
		"runs":                      {},
		"path to the zone is cut":   {down: true, cut: true},
		"down, zone has an entry":   {down: true, entry: true},
		"path came back, or didn't": {cut: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			state := &clusterstate.State{}
			endpoint := fleet.Endpoint{ID: "i", Pool: "p", Zone: "b", State: fleet.StateLive}
			state.Endpoints.Set("i", endpoint)
			state.Endpoints.Set("other", fleet.Endpoint{ID: "other", Pool: "q", Zone: "b", State: fleet.StateLive})
			state.Endpoints.Set("near", fleet.Endpoint{ID: "near", Pool: "q", Zone: "a", State: fleet.StateLive})
			state.Entries.Set("e", fleet.Entry{ID: "e", Zone: map[bool]fleet.Zone{true: "b", false: "a"}[tc.entry]})
			w := &Witness{
				State: state, Reach: &Reach{State: state, Detector: &Detector{}, Log: zerolog.Nop()},
				Connect: func(_ context.Context, e fleet.Endpoint) error {
					if tc.down && e.ID == "i" || tc.cut && e.ID == "other" {
						return errors.New("connection refused")
					}
					return nil
				},
			}
			if got := w.EndedAlone(t.Context(), endpoint); got != tc.want {
				t.Errorf("got %t, want %t", got, tc.want)
			}
		})
	}
}
