package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

// slowCollector is a collector that takes a time for each token.
type slowCollector struct {
	collector
	perToken time.Duration
}

func (s *slowCollector) WriteToken(position fleet.Tokens, text string) error {
	time.Sleep(s.perToken)
	return s.collector.WriteToken(position, text)
}

// TestDeathElsewhereCutsNoBegunAnswer guards against answers of sound endpoints that callers lose when another endpoint dies
// which ran a request with the same fingerprint. Only an answer that can go on elsewhere may be cut once it has begun.
func TestDeathElsewhereCutsNoBegunAnswer(t *testing.T) {
	tests := map[string]struct {
		policy   RetryPolicy
		attempts int
	}{"once": {RetryNever, 1}, "from start": {RetryFromStart, 1}, "resumable": {RetryResume, 2}}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &fakeEngines{script: []behavior{{}}}
				d := newTestDispatcher(engines, &fakeReservations{})
				request := newTestRequest()
				request.Fingerprint, request.RetryPolicy = "f", tc.policy
				time.AfterFunc(330*time.Millisecond, func() {
					d.Suspects.RecordDeath(t.Context(), "f", retry.Death{Endpoint: "other", Incarnation: 1})
				})
				sink := &slowCollector{perToken: 100 * time.Millisecond}
				if err := d.Generate(t.Context(), request, sink); err != nil {
					t.Error(err)
				}
				if sink.text.String() != "abcdefghij" || len(engines.attempts) > tc.attempts {
					t.Errorf("answer %q after %d attempts, want the whole one after %d", sink.text.String(), len(engines.attempts), tc.attempts)
				}
			})
		})
	}
}
