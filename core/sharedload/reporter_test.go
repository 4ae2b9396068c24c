package sharedload

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// errNoAnswer is the error of a message to an entry that does not answer.
var errNoAnswer = errors.New("no answer")

// testNetwork delivers messages between the chooser sets of one test and counts them by address.
type testNetwork struct {
	mu             sync.Mutex
	choosers       map[netip.AddrPort]*ChooserSet
	silent         map[netip.AddrPort]bool
	reports        map[netip.AddrPort]int
	chooseRequests map[netip.AddrPort]int
}

// deliver counts a message and returns its receiver, or errNoAnswer if the receiver is silent.
func (n *testNetwork) deliver(to netip.AddrPort, count map[netip.AddrPort]int) (*ChooserSet, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	count[to]++
	if n.silent[to] {
		return nil, errNoAnswer
	}
	return n.choosers[to], nil
}

// setSilent sets whether an entry fails to answer.
func (n *testNetwork) setSilent(p *ChooserSet, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[p.Self.Address] = silent
}

// ReportUsage delivers a usage report.
func (n *testNetwork) ReportUsage(_ context.Context, to netip.AddrPort, report UsageReport) (UsageReply, error) {
	p, err := n.deliver(to, n.reports)
	if err != nil {
		return UsageReply{}, err
	}
	return p.HandleUsage(report), nil
}

// Choose delivers a choose request.
func (n *testNetwork) Choose(ctx context.Context, to netip.AddrPort, request ChooseRequest) (Choice, error) {
	p, err := n.deliver(to, n.chooseRequests)
	if err != nil {
		return Choice{}, err
	}
	return p.HandleChoose(ctx, request)
}

// newChooserSets returns the chooser sets of a number of entries in two zones; all know the same idle engines.
func newChooserSets(network *testNetwork, entries, engines int) []*ChooserSet {
	network.choosers = make(map[netip.AddrPort]*ChooserSet)
	network.silent = make(map[netip.AddrPort]bool)
	network.reports = make(map[netip.AddrPort]int)
	network.chooseRequests = make(map[netip.AddrPort]int)
	rows := make(map[fleet.EntryID]fleet.Entry)
	for i := range entries {
		id := fleet.EntryID(fmt.Sprintf("entry-%03d", i))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
		rows[id] = fleet.Entry{ID: id, Address: address, Zone: []fleet.Zone{"a", "b"}[i%2], CPUCores: 0.2}
	}
	var all []*ChooserSet
	for _, row := range rows {
		f := newFleet(engines)
		f.state.Entries = clusterstate.Table[fleet.EntryID, fleet.Entry]{}
		f.state.Entries.Replace(rows)
		p := f.reserver.Choosers
		p.Self, p.Started, p.Transport = row, time.Now().Add(-time.Hour), network
		network.choosers[row.Address] = p
		all = append(all, p)
	}
	return all
}

// startReporters runs the usage reporters of all entries until stop is called.
func startReporters(t *testing.T, all []*ChooserSet) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	for _, p := range all {
		group.Go(func() error { return (&UsageReporter{Choosers: p}).Run(ctx) })
	}
	return func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	}
}

// leaders returns, by leader, the number of entries that consider it the leader.
func leaders(all []*ChooserSet) map[fleet.EntryID]int {
	found := make(map[fleet.EntryID]int)
	for _, p := range all {
		if choosers := p.roleChoosers(); len(choosers) > 0 {
			found[choosers[0].entry.ID]++
		}
	}
	return found
}

// TestTellingAtABoundedCost guards against a number of messages per entry that grows with the number of entries: many
// entries whose usage changes continually agree on a leader, which receives the usage of all of them.
func TestTellingAtABoundedCost(t *testing.T) {
	const (
		entries = 100
		span    = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		network := &testNetwork{}
		all := newChooserSets(network, entries, 4)
		stop := startReporters(t, all)
		time.Sleep(time.Second)
		network.mu.Lock()
		clear(network.reports)
		network.mu.Unlock()
		for i := range int(span / (10 * time.Millisecond)) {
			for _, p := range all {
				p.Usages.AddOwn(map[fleet.EndpointID]Usage{"i-00": {Running: 1, Memory: fleet.Tokens(i)}})
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * reportPeriod)
		stop()
		found := leaders(all)
		if len(found) != 1 {
			t.Fatalf("leaders = %v, want exactly one", found)
		}
		total := 0
		for _, count := range network.reports {
			total += count
		}
		// One report per period to the leader; at most one per renewal to the next leader and to the first chooser of the
		// zone.
		if limit := entries * (int(span/reportPeriod) + 2*int(span/reportRenewal) + 4); total > limit {
			t.Errorf("%d messages in %v, want at most %d", total, span, limit)
		}
		for _, p := range all {
			if found[p.Self.ID] == 0 {
				continue
			}
			if got, want := p.Usages.Totals(time.Now())["i-00"].Running, entries*int(span/(10*time.Millisecond)); got != want {
				t.Errorf("the leader counts %d attempts, want %d", got, want)
			}
		}
	})
}

// TestChoicesAtTheSameTime guards against a burst that overloads one engine: requests reach all entries within one
// report period, and the leader records each choice before it makes the next one.
func TestChoicesAtTheSameTime(t *testing.T) {
	const engines = 8
	synctest.Test(t, func(t *testing.T) {
		network := &testNetwork{}
		all := newChooserSets(network, 40, engines)
		stop := startReporters(t, all)
		defer stop()
		time.Sleep(time.Second)
		chosen := make(map[fleet.EndpointID]int)
		for i := range 12 * engines {
			choice, _, err := all[i%len(all)].Choose(t.Context(), placement.Need{
				Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500,
			})
			if err != nil {
				t.Fatal(err)
			}
			chosen[choice.Endpoint]++
		}
		for id, count := range chosen {
			if count > testPool.Engine.Slots {
				t.Errorf("%s got %d of %d requests, want at most its slots", id, count, 12*engines)
			}
		}
	})
}

// TestLeaderFallsSilent covers a leader that stops answering while requests arrive, and answers again later.
func TestLeaderFallsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &testNetwork{}
		all := newChooserSets(network, 10, 4)
		stop := startReporters(t, all)
		defer stop()
		time.Sleep(time.Second)
		before := leaders(all)
		var leader *ChooserSet
		for _, p := range all {
			if before[p.Self.ID] > 0 {
				leader = p
			}
		}
		choose := func(p *ChooserSet) {
			t.Helper()
			_, settle, err := p.Choose(t.Context(), placement.Need{Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500})
			if err != nil {
				t.Errorf("%s: %v", p.Self.ID, err)
				return
			}
			settle()
		}
		network.setSilent(leader, true)
		for _, p := range all {
			choose(p)
		}
		time.Sleep(2 * time.Second)
		for _, p := range all {
			choose(p)
			if choosers := p.roleChoosers(); p != leader && choosers[0].entry.ID == leader.Self.ID {
				t.Errorf("%s still considers an entry that does not answer its leader", p.Self.ID)
			}
		}
		network.setSilent(leader, false)
		time.Sleep(2 * time.Second)
		if after := leaders(all); len(after) != 1 || after[leader.Self.ID] != len(all) {
			t.Errorf("leaders = %v after the return of %s", after, leader.Self.ID)
		}
	})
}

// TestStartedEntryLearnsFirst covers the restart of the entry that ranks first: no entry, including itself, requests
// choices from it before it has received the usage of the others; all entries do after that.
func TestStartedEntryLearnsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &testNetwork{}
		all := newChooserSets(network, 10, 4)
		first := all[0].rankedEntries()[0].ID
		for _, p := range all {
			if p.Self.ID == first {
				p.Started = time.Now()
			}
		}
		stop := startReporters(t, all)
		defer stop()
		time.Sleep(startupDelay / 2)
		if found := leaders(all); found[first] > 0 {
			t.Errorf("%d entries consider an entry that has just started their leader, want 0", found[first])
		}
		// Entries whose usage doesn't change discover it with their next renewal.
		time.Sleep(startupDelay/2 + reportRenewal + 2*reportPeriod)
		if found := leaders(all); found[first] != len(all) {
			t.Errorf("leaders = %v, want %s for all", found, first)
		}
	})
}

// TestPromises checks that the usage of a choice counts once, before and after its entry reports it, and not at all
// after that entry has stopped reporting.
func TestPromises(t *testing.T) {
	now := time.Now()
	var b UsageTable
	usages := map[fleet.EndpointID]Usage{"i-1": {Running: 1}}
	b.AddPending("entry-1", 7, usages, now)
	if got := b.Totals(now)["i-1"].Running; got != 1 {
		t.Fatalf("running = %d after the choice, want 1", got)
	}
	b.UpdatePeer("entry-1", nil, 6, now)
	if got := b.Totals(now)["i-1"].Running; got != 1 {
		t.Errorf("running = %d after an older report, want 1", got)
	}
	b.UpdatePeer("entry-1", usages, 7, now)
	if got := b.Totals(now)["i-1"].Running; got != 1 {
		t.Errorf("running = %d after the report of the choice, want 1", got)
	}
	b.AddPending("entry-1", 8, usages, now)
	if got := b.Totals(now.Add(2 * peerTTL)); len(got) != 0 {
		t.Errorf("usage %v is left of an entry that stopped reporting, want none", got)
	}
}

// TestEndpointsInDoubt covers endpoints that go down in turn: an endpoint that failed one entry is not chosen as a
// helper for others, unless so many have failed that single endpoints are unlikely to be the cause.
func TestEndpointsInDoubt(t *testing.T) {
	const engines = 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(engines)
		p := f.reserver.Choosers
		failed := testEndpoint(0).ID
		choose := func(entry fleet.EntryID, prompt fleet.Tokens, excluded ...fleet.EndpointID) Choice {
			t.Helper()
			need := placement.Need{
				Pool: testPool.Name, PromptTokens: prompt, MaxTokens: 1000, Objective: archiveObjective,
				Excluded: map[fleet.EndpointID]bool{},
			}
			for _, id := range excluded {
				need.Excluded[id] = true
			}
			choice, err := p.HandleChoose(t.Context(), ChooseRequest{Report: UsageReport{Entry: entry, Settled: 9}, Number: 1, Need: need})
			if err != nil {
				t.Fatal(err)
			}
			return choice
		}
		uses := func(c Choice, id fleet.EndpointID) bool {
			if c.Endpoint == id {
				return true
			}
			for _, h := range c.Helpers {
				if h.Endpoint == id {
					return true
				}
			}
			return false
		}
		if !uses(choose("entry-2", 154_000), failed) {
			t.Fatal("an idle pool does not prefill with all engines")
		}
		choose("entry-3", 5000, failed)
		if uses(choose("entry-4", 154_000), failed) {
			t.Error("an endpoint that recently failed another entry is a helper")
		}
		time.Sleep(2 * exclusionTTL)
		if !uses(choose("entry-5", 154_000), failed) {
			t.Error("an endpoint is still avoided after exclusionTTL")
		}
		var many []fleet.EndpointID
		for i := range engines - 1 {
			many = append(many, testEndpoint(i).ID)
		}
		choose("entry-6", 5000, many...)
		if c := choose("entry-7", 154_000); len(c.Helpers) < engines/2 {
			t.Errorf("%d helpers after nearly all engines failed one entry, want at least half", len(c.Helpers))
		}
	})
}
