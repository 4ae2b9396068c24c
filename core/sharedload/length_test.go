package sharedload

import (
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/reservation"
)

// TestAnswerLengthsAreLearned guards against a chooser that takes all answers for as long as the published mean: the
// answers of a route are measured, in tokens also where an engine sends one event per pass, and their length is sent with
// the next request. Canceled and resumed answers are no measure.
func TestAnswerLengthsAreLearned(t *testing.T) {
	const interval = 60 * time.Millisecond
	tests := map[string]struct {
		events  int
		outcome reservation.Outcome
		resumed bool
		want    int
	}{
		"one event per pass": {events: 10, outcome: reservation.OutcomeDone, want: 10 * testPool.Engine.Stride},
		"canceled":           {events: 10, outcome: reservation.OutcomeCanceled, want: 1500},
		"resumed":            {events: 10, outcome: reservation.OutcomeDone, resumed: true, want: 1500},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newContendedFleet(4)
				request := reservation.Request{
					Pool: testPool.Name, Class: "chat", PromptTokens: 5000, MaxTokens: 4000, Objective: 250 * time.Millisecond,
				}
				for range 20 {
					sent := request
					if tc.resumed {
						sent.Received = 100
					}
					grant, err := f.reserver.Reserve(t.Context(), sent)
					if err != nil {
						t.Fatal(err)
					}
					release := reservation.Release{Reservation: grant.Reservation, Outcome: tc.outcome}
					release.GeneratedTokens += 10
					release.DecodeTime = time.Duration(tc.events-1) * interval
					_ = f.reserver.Release(t.Context(), release)
				}
				if got := f.reserver.expectedOutput(request); int(got) != tc.want {
					t.Errorf("expected output = %d, want %d", got, tc.want)
				}
			})
		})
	}
}
