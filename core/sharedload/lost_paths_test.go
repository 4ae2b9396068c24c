package sharedload

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

// newPaths returns the path table of an entry over the endpoints of a fleet.
func newPaths(p *ChooserSet) *outlier.PathTable {
	return &outlier.PathTable{
		Self: p.Self, State: p.State, Log: zerolog.Nop(),
		Contended: func(fleet.PoolName) bool { return true },
		CutOff:    func(fleet.PoolName) bool { return false },
	}
}

// TestLostPathSparesOthers guards against entries that find out one after the other, each at the cost of a connection
// timeout, that an endpoint can't be reached from their zone: 100 ms after one of them lost it, no other entry of the zone
// gets it, while the other zone does. It is used again 100 ms after one of them reached it.
func TestLostPathSparesOthers(t *testing.T) {
	const spread = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		network := &testNetwork{}
		all := newChooserSets(network, 12, 4)
		for _, p := range all {
			p.LostPaths = newPaths(p)
			p.Chooser.Policy.Paths = p.LostPaths
		}
		stop := startReporters(t, all)
		defer stop()
		time.Sleep(time.Second)
		leader := leaders(all)
		need := placement.Need{Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500}
		// uses returns how many entries of a zone get an endpoint for one request each.
		uses := func(zone fleet.Zone, id fleet.EndpointID) int {
			t.Helper()
			count := 0
			for _, p := range all {
				if p.Self.Zone != zone {
					continue
				}
				choice, settle, err := p.Choose(t.Context(), need)
				if err != nil {
					t.Fatal(err)
				}
				settle()
				if choice.Endpoint == id {
					count++
				}
			}
			return count
		}
		var witness *ChooserSet
		for _, p := range all {
			if p.Self.Zone == "a" && leader[p.Self.ID] == 0 {
				witness = p
			}
		}
		choice, settle, err := witness.Choose(t.Context(), need)
		if err != nil {
			t.Fatal(err)
		}
		settle()
		lost, _ := witness.State.Endpoints.Get(choice.Endpoint)
		for id, endpoint := range witness.State.Endpoints.Snapshot().Rows {
			if id != lost.ID {
				witness.LostPaths.RecordReached(endpoint, time.Now())
			}
		}
		witness.LostPaths.RecordLost(lost, time.Now())
		time.Sleep(spread)
		if got := uses("a", lost.ID); got != 0 {
			t.Errorf("%d entries of the zone get the endpoint %v after another one lost it, want 0", got, spread)
		}
		for _, p := range all {
			if p.Self.Zone == "a" && !p.LostPaths.Lost(lost, "a", time.Now()) {
				t.Errorf("%s does not know that the path is lost", p.Self.ID)
			}
		}
		if got := uses("b", lost.ID); got == 0 {
			t.Error("no entry of the other zone gets the endpoint")
		}
		// The choices above are no longer pending after the next report of each entry.
		time.Sleep(reportRenewal + 2*reportPeriod)
		if got := uses("a", lost.ID); got != 0 {
			t.Errorf("%d entries of the zone get the endpoint before it was reached again, want 0", got)
		}
		witness.LostPaths.RecordReached(lost, time.Now())
		time.Sleep(spread)
		if got := uses("a", lost.ID); got == 0 {
			t.Errorf("no entry of the zone gets the endpoint %v after it was reached again", spread)
		}
	})
}

// TestLostPathIsUsedAgain guards against entries that leave out an endpoint for seconds after its path works again, since
// the back-off of each has grown while the path was lost.
func TestLostPathIsUsedAgain(t *testing.T) {
	const recovery = 2 * time.Second
	endpoint := testEndpoint(0)
	for _, lostFor := range []time.Duration{4 * time.Second, 4800 * time.Millisecond, 5600 * time.Millisecond} {
		t.Run(lostFor.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := newChooserSets(&testNetwork{}, 12, 4)
				var down atomic.Bool
				detectors, stopProbers := startProbers(t, all, func(probed fleet.Endpoint) bool {
					return down.Load() && probed.ID == endpoint.ID
				})
				stop := startReporters(t, all)
				time.Sleep(time.Second)
				down.Store(true)
				for _, p := range all {
					detectors[p].RecordUnreachable(endpoint, time.Now())
					p.LostPaths.RecordLost(endpoint, time.Now())
				}
				for range int(lostFor / (100 * time.Millisecond)) {
					time.Sleep(100 * time.Millisecond)
					for _, p := range all {
						if !p.LostPaths.Lost(endpoint, p.Self.Zone, time.Now()) && detectors[p].Usable(endpoint, time.Now()) {
							t.Fatalf("%s uses the endpoint while its path is lost", p.Self.ID)
						}
					}
				}
				down.Store(false)
				time.Sleep(recovery)
				for _, p := range all {
					if p.LostPaths.Lost(endpoint, p.Self.Zone, time.Now()) || !detectors[p].Usable(endpoint, time.Now()) {
						t.Errorf("%s does not use the endpoint %v after its path works again", p.Self.ID, recovery)
					}
				}
				stop()
				stopProbers()
			})
		})
	}
}

// startProbers gives each entry a path table and runs its probes, which time out while the endpoint is silent, until stop
// is called.
func startProbers(
	t *testing.T, all []*ChooserSet, silent func(fleet.Endpoint) bool,
) (detectors map[*ChooserSet]*outlier.Detector, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	detectors = make(map[*ChooserSet]*outlier.Detector)
	for _, p := range all {
		p.LostPaths = newPaths(p)
		p.Chooser.Policy.Paths = p.LostPaths
		detectors[p] = &outlier.Detector{}
		prober := &outlier.Prober{
			State: p.State, Detector: detectors[p], Paths: p.LostPaths,
			Connect: func(ctx context.Context, probed fleet.Endpoint) error {
				if !silent(probed) {
					return nil
				}
				<-ctx.Done()
				return ctx.Err()
			},
		}
		group.Go(func() error { return prober.Run(ctx) })
	}
	return detectors, func() {
		cancel()
		_ = group.Wait()
	}
}

// TestThirdOfThePoolSuspect guards against quick requests and parts of long prompts at the endpoints of a zone that was
// just partitioned: the other two thirds of the pool are used, even though fewer than that would count as an error of the
// entries.
func TestThirdOfThePoolSuspect(t *testing.T) {
	const engines = 12
	f := newFleet(engines)
	for i := range engines {
		endpoint := testEndpoint(i)
		endpoint.Zone = []fleet.Zone{"a", "b", "c"}[i%3]
		f.state.Endpoints.Set(endpoint.ID, endpoint)
	}
	f.state.Entries.Set("entry-2", fleet.Entry{ID: "entry-2", Zone: "a"})
	p := f.reserver.Choosers
	p.LostPaths = newPaths(p)
	f.policy.Paths = p.LostPaths
	choose := func(prompt fleet.Tokens, reports ...outlier.PathReport) Choice {
		t.Helper()
		choice, err := p.HandleChoose(t.Context(), ChooseRequest{
			Report: UsageReport{Entry: "entry-2", LostPaths: reports},
			Need:   placement.Need{Pool: testPool.Name, PromptTokens: prompt, MaxTokens: 1000, Objective: archiveObjective},
		})
		if err != nil {
			t.Fatal(err)
		}
		return choice
	}
	inZoneC := func(c Choice) bool {
		used := []fleet.EndpointID{c.Endpoint}
		for _, h := range c.Helpers {
			used = append(used, h.Endpoint)
		}
		for _, id := range used {
			if endpoint, _ := f.state.Endpoints.Get(id); endpoint.Zone == "c" {
				return true
			}
		}
		return false
	}
	if !inZoneC(choose(154_000)) {
		t.Fatal("an idle pool does not prefill in all zones")
	}
	var reports []outlier.PathReport
	for _, i := range []int{2, 5, 8} {
		reports = append(reports, outlier.PathReport{
			Endpoint: testEndpoint(i).ID, At: time.Now(), Corroborated: true,
		})
	}
	if inZoneC(choose(154_000, reports...)) {
		t.Error("a suspect endpoint prefills a part of a long prompt")
	}
	// Eight endpoints with 16 slots are left.
	for range 8 * 16 {
		if inZoneC(choose(1000, reports...)) {
			t.Fatal("a quick request is placed on a suspect endpoint while others have free slots")
		}
	}
}

// TestEndpointReachedFromAnotherZone guards against requests that are refused because the leader and other entries of its
// zone can't connect to the last endpoint, which the zone of the request reaches.
func TestEndpointReachedFromAnotherZone(t *testing.T) {
	tests := map[string]struct {
		from      fleet.Zone
		contended bool
		lost      bool
		want      bool
	}{
		"from a zone that reaches it":    {from: "b", contended: true, want: true},
		"from a zone that lost it, too":  {from: "b", contended: true, lost: true},
		"from the zone of the leader":    {from: "a", contended: true},
		"pool is not contended":          {from: "b"},
		"from an entry that is unlisted": {contended: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(1)
			p := f.reserver.Choosers
			p.Self.Zone = "a"
			f.policy.Paths = newPaths(p)
			f.policy.Paths.Contended = func(fleet.PoolName) bool { return tc.contended }
			f.policy.Unreachable = func(fleet.Endpoint, time.Time) bool { return true }
			f.policy.UsableForOthers = func(fleet.Endpoint, time.Time) bool { return false }
			f.policy.Usages.RecordExclusions(map[fleet.EndpointID]bool{testEndpoint(0).ID: true}, time.Now())
			if tc.lost {
				f.policy.Paths.Merge([]outlier.PathReport{
					{Endpoint: testEndpoint(0).ID, Zone: "b", Witness: "entry-3", At: time.Now(), Corroborated: true},
				}, time.Now())
			}
			_, err := f.choose(placement.Need{Pool: testPool.Name, PromptTokens: 1000, MaxTokens: 100, Zone: tc.from})
			if (err == nil) != tc.want {
				t.Errorf("got error %v, want a choice: %v", err, tc.want)
			}
		})
	}
}

// TestConnectTimeoutIsNoEvidence guards against a sound endpoint that a zone leaves out because one entry, short of
// processor time, missed the short connect timeout. The entry probes the endpoint once; if that fails, it counts as lost.
func TestConnectTimeoutIsNoEvidence(t *testing.T) {
	for name, silent := range map[string]bool{"sound": false, "unreachable": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := newChooserSets(&testNetwork{}, 2, 4)
				p := all[0]
				var probes atomic.Int64
				detectors, stop := startProbers(t, all[:1], func(fleet.Endpoint) bool { probes.Add(1); return silent })
				defer stop()
				endpoint, other := testEndpoint(0), testEndpoint(1)
				p.LostPaths.RecordReached(other, time.Now())
				g := &Reserver{State: p.State, Outliers: detectors[p], Paths: p.LostPaths}
				g.recordOutcome(reservation.Release{Endpoint: endpoint.ID, Outcome: reservation.OutcomeNotConnected}, time.Now())
				if !detectors[p].Usable(endpoint, time.Now()) || p.LostPaths.Lost(endpoint, p.Self.Zone, time.Now()) {
					t.Error("the endpoint is left out before it was probed")
				}
				// The probe starts within 100 ms and times out after 300 ms.
				time.Sleep(350 * time.Millisecond)
				if got := probes.Load(); got != 1 {
					t.Errorf("%d probes, want 1", got)
				}
				time.Sleep(100 * time.Millisecond)
				if detectors[p].Usable(endpoint, time.Now()) == silent {
					t.Errorf("usable = %v after the probe", !silent)
				}
			})
		})
	}
}

// TestRenewalsRecordReachOnce guards against long answers whose periodic renewals record the path as reached although
// nothing new arrived, which corroborates reports of an entry that has lost its path.
func TestRenewalsRecordReachOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		p := f.reserver.Choosers
		paths := newPaths(p)
		f.reserver.Paths = paths
		endpoint, other := testEndpoint(0), testEndpoint(1)
		f.reserver.grants = map[fleet.ReservationID]*grant{"r": {prefill: map[fleet.EndpointID]Usage{}}}
		renew := func() {
			progress := reservation.Progress{Endpoint: endpoint.ID, Reservation: "r", Started: true}
			if err := f.reserver.Renew(t.Context(), progress); err != nil {
				t.Fatal(err)
			}
		}
		renew()
		time.Sleep(1500 * time.Millisecond)
		renew()
		paths.RecordLost(other, time.Now())
		if paths.Lost(other, p.Self.Zone, time.Now()) {
			t.Error("a renewal corroborates a lost path")
		}
		if f.reserver.grants["r"].prefill != nil {
			t.Error("the first token did not end the prefill")
		}
	})
}

// TestCutShortIsNoEvidence guards against endpoints of a contended pool that are left out since a caller left while its
// request was connecting. Other pools record a failure.
func TestCutShortIsNoEvidence(t *testing.T) {
	for name, contended := range map[string]bool{"contended": true, "not contended": false} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := newChooserSets(&testNetwork{}, 2, 4)[0]
			paths := newPaths(p)
			paths.Contended = func(fleet.PoolName) bool { return contended }
			paths.RecordReached(testEndpoint(1), now)
			g := &Reserver{State: p.State, Outliers: &outlier.Detector{}, Paths: paths}
			g.recordOutcome(reservation.Release{
				Endpoint: testEndpoint(0).ID, Outcome: reservation.OutcomeNotRun, CutShort: true,
			}, now)
			if got := g.Outliers.Usable(testEndpoint(0), now); got != contended {
				t.Errorf("usable = %v, want %v", got, contended)
			}
			if paths.Lost(testEndpoint(0), p.Self.Zone, now) {
				t.Error("the path counts as lost")
			}
		})
	}
}

// TestReplacedEndpointIsNotLost guards against an endpoint that is left out because an attempt at the incarnation before it
// fails after the new one was listed.
func TestReplacedEndpointIsNotLost(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newChooserSets(&testNetwork{}, 2, 4)[0]
	paths := newPaths(p)
	replaced := testEndpoint(0)
	old := replaced.Incarnation + 1
	replaced.Incarnation = old + 1
	p.State.Endpoints.Set(replaced.ID, replaced)
	paths.RecordReached(testEndpoint(1), now)
	g := &Reserver{State: p.State, Outliers: &outlier.Detector{}, Paths: paths}
	g.recordOutcome(reservation.Release{Endpoint: replaced.ID, Outcome: reservation.OutcomeNotRun, Attempted: old}, now)
	if paths.Lost(replaced, p.Self.Zone, now) || len(paths.Own(now)) > 0 {
		t.Error("the new incarnation counts as lost")
	}
	g.recordOutcome(reservation.Release{Endpoint: replaced.ID, Outcome: reservation.OutcomeNotRun, Attempted: replaced.Incarnation}, now)
	g.recordOutcome(reservation.Release{Endpoint: replaced.ID, Outcome: reservation.OutcomeNotRun, Attempted: old}, now)
	if !paths.Lost(replaced, p.Self.Zone, now) {
		t.Error("a report of the old incarnation drops that of the new one")
	}
}
