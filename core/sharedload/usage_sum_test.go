package sharedload

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// TestTotalsStayExact guards against running totals that drift from the reports and pending choices, so that endpoints
// look full or free for ever.
func TestTotalsStayExact(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	b := &UsageTable{}
	now := time.Now()
	usages := func() map[fleet.EndpointID]Usage {
		u := make(map[fleet.EndpointID]Usage)
		for range random.IntN(4) {
			u[testEndpoint(random.IntN(6)).ID] = Usage{Running: 1 + random.IntN(3), PrefillTime: time.Second, Memory: 7}
		}
		return u
	}
	for step := range 5000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		entry, number := fleet.EntryID(fmt.Sprint(random.IntN(30))), uint64(random.IntN(step+1))
		switch random.IntN(5) {
		case 0:
			b.UpdatePeer(entry, usages(), number/2, now)
		case 1, 2:
			b.AddPending(entry, number, usages(), now)
		case 3:
			b.RemovePending(entry, number)
		default:
			b.DropSettled(entry, number, []uint64{number / 2})
		}
		want := make(map[fleet.EndpointID]Usage)
		for _, r := range b.peers {
			if now.Sub(r.at) <= peerTTL {
				addTo(want, r.usages)
			}
		}
		for _, numbers := range b.pending {
			for _, p := range numbers {
				if now.Sub(p.at) <= peerTTL {
					addTo(want, p.usages)
				}
			}
		}
		if got := b.Totals(now); !maps.Equal(got, want) {
			t.Fatalf("step %d: got %v, want %v", step, got, want)
		}
	}
	if got := b.Totals(now.Add(2 * peerTTL)); len(got) > 0 {
		t.Errorf("got %v after all reports expired, want nothing", got)
	}
}

// addTo adds usages to a sum.
func addTo(sum, usages map[fleet.EndpointID]Usage) {
	for id, u := range usages {
		sum[id] = sum[id].add(u)
	}
}

// TestTotalsOfSilentZone guards against a report that is subtracted again when its entry reports after a partition.
func TestTotalsOfSilentZone(t *testing.T) {
	b := &UsageTable{Held: &HeldUsage{
		Own:  "own",
		Time: func(fleet.EndpointID) time.Duration { return 2 * peerTTL },
		Zone: func(fleet.EntryID) (fleet.Zone, bool) { return "silent", true },
	}}
	now, usages := time.Now(), map[fleet.EndpointID]Usage{"i-00": {Running: 4}}
	b.UpdatePeer("entry-1", usages, 0, now)
	now = now.Add(peerTTL * 3 / 2)
	if got := b.Totals(now)["i-00"].Running; got != 1 {
		t.Errorf("got %d attempts of the silent zone, want the one that is left", got)
	}
	b.UpdatePeer("entry-1", usages, 0, now)
	if got := b.Totals(now)["i-00"].Running; got != 4 {
		t.Errorf("got %d attempts after the next report, want those in it", got)
	}
}
