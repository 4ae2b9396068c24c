package sharedload

import (
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/fleet"
)

// TestManyEntriesBeginToChoose guards against entries that begin to choose for themselves at the same time and each send a
// cold endpoint its first request at once, although each may send less than one per second.
func TestManyEntriesBeginToChoose(t *testing.T) {
	// coldRate is the number of requests per second that a cold endpoint may get from all entries, rolesShare the share of
	// all leaders, zones and entries that choose for themselves, and coldBound the bound of the platform.
	const (
		rolesShare = 0.55
		coldRate   = 39.0 * rolesShare
		coldBound  = 44
		span       = 30 * time.Second
	)
	for name, entries := range map[string]int{"few": 9, "grown": 87, "large": 350} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := testEndpoint(0)
				choosers := make([]*Chooser, entries)
				for i := range choosers {
					choosers[i] = newFleet(1).chooser
					choosers[i].Phase = func() float64 { return float64(i) / float64(entries) }
					choosers[i].Rate = func(fleet.Endpoint, Role, time.Time) (float64, bool) { return coldRate / float64(entries), true }
				}
				var sentAt []time.Duration
				for start := time.Now(); time.Since(start) < span; time.Sleep(10 * time.Millisecond) {
					for _, c := range choosers {
						if c.consumeRate(endpoint, RoleAlone, time.Now()) {
							sentAt = append(sentAt, time.Since(start))
						}
					}
				}
				if most := mostWithin(sentAt, time.Second); most > coldBound {
					t.Errorf("%d requests in a second from %d entries, want %d at most", most, entries, coldBound)
				}
				if least := int(coldRate * span.Seconds() / 2); len(sentAt) < least {
					t.Errorf("%d requests in %v, want %d or more", len(sentAt), span, least)
				}
			})
		})
	}
}

// mostWithin returns the largest number of times that lie within a span; times are in ascending order.
func mostWithin(times []time.Duration, span time.Duration) int {
	most, from := 0, 0
	for to := range times {
		for times[to]-times[from] >= span {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}
