package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

// TestOneRequestBlamesNoPart guards against a part that all requests on a route share and that is blamed for the crashes of one
// of them, which is refused by itself.
func TestOneRequestBlamesNoPart(t *testing.T) {
	type crash struct {
		endpoint string
		request  retry.Fingerprint
	}
	tests := map[string]struct {
		crashes []crash
		blocked bool
	}{
		"one request":                       {crashes: []crash{{"1", "f"}, {"2", "f"}, {"3", "f"}, {"4", "f"}}},
		"others at the endpoints":           {crashes: []crash{{"1", "f"}, {"1", "g"}, {"2", "f"}, {"2", "h"}, {"3", "f"}, {"3", "g"}}},
		"another request crashes one":       {crashes: []crash{{"1", "f"}, {"2", "f"}, {"3", "f"}, {"4", "g"}}, blocked: true},
		"different requests":                {crashes: []crash{{"1", "f"}, {"2", "g"}, {"3", "h"}}, blocked: true},
		"requests of earlier versions":      {crashes: []crash{{"1", ""}, {"2", ""}, {"3", ""}}, blocked: true},
		"two requests, not enough deaths":   {crashes: []crash{{"1", "f"}, {"2", "g"}}},
		"two requests at the same endpoint": {crashes: []crash{{"1", "f"}, {"2", "f"}, {"3", "f"}, {"3", "g"}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := &Parts{Log: zerolog.Nop()}
			for i, c := range tc.crashes {
				at := now.Add(time.Duration(c.endpoint[0]) * time.Second)
				p.RecordDeath(Report{
					Attempt: fleet.AttemptID(fmt.Sprint(i)), Request: c.request, Death: retry.Death{Endpoint: fleet.EndpointID(c.endpoint)},
					SentAt: at.Add(-10 * time.Millisecond), DiedAt: at, Parts: []fleet.PromptPart{"shared"},
				}, now.Add(time.Minute))
			}
			if _, blocked := p.Blocked([]fleet.PromptPart{"shared"}, now.Add(time.Minute)); blocked != tc.blocked {
				t.Errorf("blocked: %t, want %t", blocked, tc.blocked)
			}
		})
	}
}
