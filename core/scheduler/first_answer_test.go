package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// warmEndpoint returns an idle endpoint known to be warm in its first incarnation.
func warmEndpoint(now time.Time) *Endpoint {
	e := &Endpoint{Entry: "owner", Settings: DefaultSettings()}
	e.Start(now, fleet.Endpoint{ID: "e", Memory: 400_000, State: fleet.StateLive}, 1, Takeover{Handover: &Handover{}})
	e.warmth.State.Cold = false
	e.warmth.State.Incarnation = 1
	e.warmth.State.Pace = e.Settings.Warmup.DefaultPace
	e.ledger.SetIncarnation(now, 1)
	return e
}

// TestIdleEndpointIsProvenByItsFirstAnswer asserts how many requests are granted on an idle warm endpoint, which may
// have restarted unnoticed: one per FirstAnswerTimeout until an answer shows that it has not.
func TestIdleEndpointIsProvenByItsFirstAnswer(t *testing.T) {
	const submissions = 6
	tests := map[string]struct {
		answer fleet.Incarnation
		wait   time.Duration
		want   int
	}{
		"no answer yet":             {want: 1},
		"same life":                 {answer: 1, want: submissions},
		"another life, cold":        {answer: 2, want: 1},
		"no answer within the time": {wait: DefaultSettings().FirstAnswerTimeout + time.Millisecond, want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			e := warmEndpoint(now)
			for i := range submissions {
				_, refusal := e.Submit(now, reservation.Request{
					Endpoint: "e", Request: fleet.RequestID(fmt.Sprint(i)), Attempt: fleet.AttemptID(fmt.Sprint(i)),
					Account: "c", Weight: 1, PromptTokens: 100, MaxTokens: 10,
					FirstTokenDeadline: now.Add(time.Minute), Deadline: now.Add(time.Minute),
				})
				if refusal != nil {
					t.Fatal(refusal)
				}
			}
			granted := slices.Clone(e.Advance(now))
			if tc.answer != 0 {
				now = now.Add(time.Millisecond)
				first := granted[0].Grant
				progress := reservation.Progress{
					Endpoint: "e", Reservation: first.Reservation, Generation: first.Generation, Incarnation: tc.answer}
				if refusal := e.Renew(now, progress); refusal != nil {
					t.Errorf("renewal with incarnation %d: %v", tc.answer, refusal)
				}
			}
			if tc.wait != 0 {
				if wake := e.NextWake(); wake.After(now.Add(tc.wait)) {
					t.Errorf("got next wake at %s, want within %s", wake, tc.wait)
				}
				now = now.Add(tc.wait)
			}
			granted = append(granted, e.Advance(now)...)
			grants := 0
			for _, decision := range granted {
				if decision.Refusal == nil {
					grants++
				}
			}
			if grants != tc.want {
				t.Errorf("got %d grants, want %d", grants, tc.want)
			}
		})
	}
}
