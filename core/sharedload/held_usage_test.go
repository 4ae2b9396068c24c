package sharedload

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// TestUsageBehindAPartition guards against endpoints that count as idle on this side of a partition while they still run
// attempts of the other side, and against attempts that count after they ended or twice.
func TestUsageBehindAPartition(t *testing.T) {
	const meanAnswer = 3 * time.Second
	const ms = time.Millisecond
	start := time.Now()
	tests := map[string]struct {
		// alsoReporting is another entry that goes on reporting, healed is when the entry reports again, with one attempt.
		alsoReporting fleet.EntryID
		own           fleet.Zone
		unlisted      bool
		contended     bool
		healed        time.Duration
		at            time.Duration
		least, most   int
	}{
		"while reports are fresh":           {contended: true, at: 900 * ms, least: 12, most: 12},
		"a part of the attempts has ended":  {contended: true, at: 1500 * ms, least: 6, most: 11},
		"all attempts have ended":           {contended: true, at: meanAnswer},
		"pool is not contended":             {at: 1500 * ms},
		"one entry of the zone is silent":   {contended: true, alsoReporting: "b2", at: 1500 * ms},
		"another zone reports":              {contended: true, alsoReporting: "a1", at: 1500 * ms, least: 6, most: 11},
		"entry of this zone ended":          {contended: true, own: "b", at: 1500 * ms},
		"entry was removed":                 {contended: true, unlisted: true, at: 1500 * ms},
		"the partition healed":              {contended: true, healed: 1500 * ms, at: 1600 * ms, least: 1, most: 1},
		"the partition healed, then silent": {contended: true, healed: 1500 * ms, at: 1500*ms + meanAnswer},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			b := &UsageTable{Held: &HeldUsage{
				Own: tc.own,
				Time: func(fleet.EndpointID) time.Duration {
					if tc.contended {
						return meanAnswer
					}
					return 0
				},
				Zone: func(id fleet.EntryID) (fleet.Zone, bool) { return fleet.Zone(id[:1]), !tc.unlisted },
			}}
			b.UpdatePeer("b1", map[fleet.EndpointID]Usage{"i": {Running: 12, Quick: 12}}, 0, start)
			for passed := time.Duration(0); passed <= tc.at; passed += 100 * ms {
				now := start.Add(passed)
				if tc.alsoReporting != "" {
					b.UpdatePeer(tc.alsoReporting, nil, 0, now)
				}
				if tc.healed > 0 && passed == tc.healed {
					b.UpdatePeer("b1", map[fleet.EndpointID]Usage{"i": {Running: 1}}, 0, now)
				}
				b.Totals(now)
			}
			got := b.Totals(start.Add(tc.at))["i"]
			if got.Running < tc.least || got.Running > tc.most || got.Quick > got.Running {
				t.Errorf("running = %d, quick = %d, want %d to %d running", got.Running, got.Quick, tc.least, tc.most)
			}
		})
	}
}
