package sharedload

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// shareSums returns the sums of the shares of all entries as leaders and as choosers of their zones.
func shareSums(all []*ChooserSet, share func(*ChooserSet, Role, time.Time) float64) (leaders, zones float64) {
	for _, p := range all {
		leaders += share(p, RoleLeader, time.Now())
		zones += share(p, RoleZone, time.Now())
	}
	return leaders, zones
}

// ranks returns the rank of each entry as a chooser, by its ID and by its address; 0 is that of the leader.
func (w *waitingFleet) ranks() (map[fleet.EntryID]int, map[netip.AddrPort]int) {
	ranks, addressRanks := make(map[fleet.EntryID]int), make(map[netip.AddrPort]int)
	for rank, entry := range w.entries[0].rankedEntries() {
		ranks[entry.ID], addressRanks[entry.Address] = rank, rank
	}
	return ranks, addressRanks
}

// chooseAll chooses an endpoint at each entry.
func (w *waitingFleet) chooseAll(t *testing.T) {
	t.Helper()
	for _, p := range w.entries {
		_, settle, err := p.Choose(t.Context(), placement.Need{Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500})
		if err == nil {
			settle()
		}
	}
}

// TestSharesOfSplitEntries guards against several leaders, or choosers of a zone, that each use what all entries together
// may send, however the entries are cut off from each other. For handoverTime after entries have turned to other choosers,
// the sum of the shares of cold endpoints may be two, and that of other shares more for a moment, since an entry may turn
// twice until it knows its new leader; after that it is one at most. Before and after, the leader has the share of all
// entries.
func TestSharesOfSplitEntries(t *testing.T) {
	const (
		entries = 9
		// settleTime is the time from a cut within which all entries have turned to other choosers, and peerTTL has passed
		// since. A report is due every reportRenewal.
		settleTime = reportRenewal + 2*reportPeriod + peerTTL
		// cutTime is the span in which the platform counts requests against a limit that an endpoint states.
		cutTime = 4 * time.Second
		// maxMean is the bound of the platform, 1.5 times a limit in cutTime, without 0.15 for zones and for entries that choose
		// for themselves.
		maxMean = 1.35
		step    = 10 * time.Millisecond
		epsilon = 1e-9
	)
	// Each function reports whether calls of the entry of one rank to that of another don't arrive; the leader has rank 0.
	splits := map[string]func(from, to int) bool{
		"leader alone":                  func(from, to int) bool { return from == 0 || to == 0 },
		"first three each alone":        func(from, to int) bool { return from < 3 || to < 3 },
		"last three each alone":         func(from, to int) bool { return from >= 6 || to >= 6 },
		"two parts":                     func(from, to int) bool { return (from < 4) != (to < 4) },
		"three parts":                   func(from, to int) bool { return from%3 != to%3 },
		"each alone":                    func(int, int) bool { return true },
		"leader and second":             func(from, to int) bool { return from+to == 1 },
		"leader and half":               func(from, to int) bool { return from == 0 && to > 4 || to == 0 && from > 4 },
		"leader and half, second alone": func(from, to int) bool { return from == 1 || to == 1 || from == 0 && to > 4 || to == 0 && from > 4 },
		"calls to the leader":           func(_, to int) bool { return to == 0 },
		"calls of the leader":           func(from, _ int) bool { return from == 0 },
	}
	for name, isCut := range splits {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, stop := newWaitingFleet(t, entries)
				defer stop()
				ranks, addressRanks := w.ranks()
				checkWhole := func(when string) {
					if share := w.leader().Share(RoleLeader, time.Now()); len(leaders(w.entries)) != 1 || math.Abs(share-1) > epsilon {
						t.Errorf("%s: %d leaders, with a share of %.2f, want one with 1", when, len(leaders(w.entries)), share)
					}
				}
				checkWhole("before the cut")
				w.network.separate(func(from fleet.EntryID, to netip.AddrPort) bool { return isCut(ranks[from], addressRanks[to]) })
				var most, mostZones, settled, settledZones, total, steps float64
				for start := time.Now(); time.Since(start) < cutTime; time.Sleep(step) {
					w.chooseAll(t)
					coldSum, coldZoneSum := shareSums(w.entries, (*ChooserSet).ColdShare)
					most, mostZones = max(most, coldSum), max(mostZones, coldZoneSum)
					leaderSum, zoneSum := shareSums(w.entries, (*ChooserSet).Share)
					total, steps = total+leaderSum, steps+1
					if time.Since(start) >= settleTime {
						settled, settledZones = max(settled, leaderSum), max(settledZones, zoneSum)
					}
				}
				if most > 2+epsilon || mostZones > 2+epsilon {
					t.Errorf("the shares of leaders add up to %.2f and those of zones to %.2f, want 2 at most", most, mostZones)
				}
				if mean := total / steps; mean > maxMean {
					t.Errorf("the shares of leaders add up to %.2f in the mean, want %.2f at most", mean, maxMean)
				}
				if settled > 1+epsilon || settledZones > 1+epsilon {
					t.Errorf("the shares of leaders add up to %.2f and those of zones to %.2f after %v, want 1 at most",
						settled, settledZones, settleTime)
				}
				w.network.separate(nil)
				time.Sleep(2 * time.Second)
				checkWhole("after the cut")
			})
		})
	}
}

// TestSharesWhileLeadersFailInTurn guards against a third leader, or more, that counts entries which the first two still
// count: while the leader and its successors are cut off one after the other, faster than counts expire, the sum of the
// shares is two at most.
func TestSharesWhileLeadersFailInTurn(t *testing.T) {
	const (
		entries = 9
		failed  = 4
		step    = 10 * time.Millisecond
		epsilon = 1e-9
	)
	for name, pause := range map[string]time.Duration{
		"at once": step, "fast": 100 * time.Millisecond, "within a second": 300 * time.Millisecond, "slow": 1500 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, stop := newWaitingFleet(t, entries)
				defer stop()
				ranks, addressRanks := w.ranks()
				last := w.entries[slices.IndexFunc(w.entries, func(p *ChooserSet) bool { return ranks[p.Self.ID] == failed })]
				var most, mostZones float64
				for alone := 1; alone <= failed; alone++ {
					w.network.separate(func(from fleet.EntryID, to netip.AddrPort) bool {
						return ranks[from] < alone || addressRanks[to] < alone
					})
					for start := time.Now(); time.Since(start) < pause; time.Sleep(step) {
						w.chooseAll(t)
						leaderSum, zoneSum := shareSums(w.entries, (*ChooserSet).ColdShare)
						most, mostZones = max(most, leaderSum), max(mostZones, zoneSum)
					}
				}
				if most > 2+epsilon || mostZones > 2+epsilon {
					t.Errorf("the shares of leaders add up to %.2f and those of zones to %.2f, want 2 at most", most, mostZones)
				}
				time.Sleep(handoverTime + 2*reportRenewal)
				if share := last.ColdShare(RoleLeader, time.Now()); share < float64(entries-failed)/entries-epsilon {
					t.Errorf("the last leader has a share of %.2f, want that of %d of %d entries", share, entries-failed, entries)
				}
			})
		})
	}
}
