package sharedload

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
)

const (
	// waitEngines is the number of engines of a waitingFleet.
	waitEngines = 24
	// waitObjective is the objective of its requests, and waitCallerTimeout the time after which their callers give up.
	waitObjective     = 300 * time.Millisecond
	waitCallerTimeout = 2 * time.Second
)

// waitingTestPool returns testPool as a contended pool with published mean lengths.
func waitingTestPool() routing.Pool {
	pool := testPool
	engine := *testPool.Engine
	engine.MeanPrompt, engine.MeanOutput = 5000, 1500
	pool.Engine, pool.Contended = &engine, true
	return pool
}

// waitNetwork is a testNetwork with failures that concern held calls.
type waitNetwork struct {
	testNetwork
	mu sync.Mutex
	// broken ends the calls to a dead entry; frozen holds the entries that don't answer, and legacy those that don't know
	// that requests may wait. separated reports which calls don't arrive.
	broken    map[netip.AddrPort]context.CancelFunc
	alive     map[netip.AddrPort]context.Context
	frozen    map[netip.AddrPort]bool
	legacy    map[netip.AddrPort]bool
	separated func(from fleet.EntryID, to netip.AddrPort) bool
	// callTime and replyTime are the times that a choose call and its reply take.
	callTime, replyTime time.Duration
}

// ReportUsage delivers a usage report unless the entries are separated or the receiver is frozen.
func (n *waitNetwork) ReportUsage(ctx context.Context, to netip.AddrPort, report UsageReport) (UsageReply, error) {
	if n.isSeparated(report.Entry, to) {
		return UsageReply{}, errNoAnswer
	}
	if n.isFrozen(to) {
		<-ctx.Done()
		return UsageReply{}, ctx.Err()
	}
	return n.testNetwork.ReportUsage(ctx, to, report)
}

// Choose delivers a choose request. A reply of an entry that has died or frozen meanwhile is lost.
func (n *waitNetwork) Choose(ctx context.Context, to netip.AddrPort, request ChooseRequest) (Choice, error) {
	if n.isSeparated(request.Report.Entry, to) {
		return Choice{}, errNoAnswer
	}
	if n.legacy[to] {
		request.Need.MayWait = false
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.alive[to], cancel)()
	if n.isFrozen(to) {
		<-ctx.Done()
		return Choice{}, ctx.Err()
	}
	time.Sleep(n.callTime)
	choice, err := n.testNetwork.Choose(callCtx, to, request)
	time.Sleep(n.replyTime)
	if ctx.Err() != nil {
		return Choice{}, ctx.Err()
	}
	if n.isFrozen(to) {
		<-ctx.Done()
		return Choice{}, ctx.Err()
	}
	if n.alive[to].Err() != nil {
		return Choice{}, errNoAnswer
	}
	return choice, err
}

// separate sets which calls don't arrive.
func (n *waitNetwork) separate(separated func(from fleet.EntryID, to netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.separated = separated
}

// isSeparated reports whether a call does not arrive.
func (n *waitNetwork) isSeparated(from fleet.EntryID, to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.separated != nil && n.separated(from, to)
}

// isFrozen reports whether an entry is frozen.
func (n *waitNetwork) isFrozen(to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[to]
}

// kill makes an entry dead, which breaks the calls to it.
func (n *waitNetwork) kill(p *ChooserSet) {
	n.setSilent(p, true)
	n.broken[p.Self.Address]()
}

// freeze makes an entry stop to answer, also the calls that it holds.
func (n *waitNetwork) freeze(p *ChooserSet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[p.Self.Address] = true
}

// waitResult is what became of one request.
type waitResult struct {
	arrivedAt, endedAt time.Time
	err                error
}

// waitingFleet holds entries with reservers over engines whose slots are all taken. The first entry of entries holds
// the attempts that take them.
type waitingFleet struct {
	network   *waitNetwork
	entries   []*ChooserSet
	reservers map[fleet.EntryID]*Reserver
	// added counts the requests.
	added   int
	mu      sync.Mutex
	results []waitResult
	// running and most are the current and the largest number of attempts at each engine that were placed by add.
	running, most map[fleet.EndpointID]int
	requests      errgroup.Group
}

// newWaitingFleet returns entries that have agreed on a leader. It must be called in a synctest bubble; stop ends its
// reporters.
func newWaitingFleet(t *testing.T, entries int) (w *waitingFleet, stop func()) {
	t.Helper()
	w = &waitingFleet{
		network: &waitNetwork{
			broken: make(map[netip.AddrPort]context.CancelFunc), alive: make(map[netip.AddrPort]context.Context),
			frozen: make(map[netip.AddrPort]bool), legacy: make(map[netip.AddrPort]bool),
		},
		reservers: make(map[fleet.EntryID]*Reserver),
		running:   make(map[fleet.EndpointID]int),
		most:      make(map[fleet.EndpointID]int),
	}
	w.entries = newChooserSets(&w.network.testNetwork, entries, waitEngines)
	pool := waitingTestPool()
	for _, p := range w.entries {
		address := p.Self.Address
		w.network.alive[address], w.network.broken[address] = context.WithCancel(t.Context())
		p.Transport = w.network
		p.Chooser.Policy.Pool = func(name fleet.PoolName) (routing.Pool, bool) { return pool, name == pool.Name }
		w.reservers[p.Self.ID] = &Reserver{
			Entry: p.Self.ID, State: p.State, Views: p.Chooser.Views, Policy: p.Chooser.Policy, Choosers: p,
			Leases: &MemoryLeases{}, Outliers: &outlier.Detector{},
		}
	}
	w.occupy(pool.Engine.Slots)
	stop = startReporters(t, w.entries)
	time.Sleep(time.Second)
	return w, stop
}

// leader returns the leader.
func (w *waitingFleet) leader() *ChooserSet {
	for id := range leaders(w.entries) {
		for _, p := range w.entries {
			if p.Self.ID == id {
				return p
			}
		}
	}
	return nil
}

// follower returns an entry that is not a chooser.
func (w *waitingFleet) follower() *ChooserSet {
	for _, p := range w.entries {
		if p.ownRole() == RoleAlone {
			return p
		}
	}
	return nil
}

// occupy changes the number of attempts at each engine that one follower reports.
func (w *waitingFleet) occupy(change int) {
	holder := w.entries[0]
	for _, p := range w.entries {
		if p.Self.ID > holder.Self.ID {
			holder = p
		}
	}
	usages := make(map[fleet.EndpointID]Usage)
	for i := range waitEngines {
		usages[testEndpoint(i).ID] = Usage{Running: change, Quick: change}
	}
	holder.Usages.AddOwn(usages)
}

// waitRequest returns a quick request that arrives now.
func waitRequest(number int) reservation.Request {
	now := time.Now()
	return reservation.Request{
		Request: fleet.RequestID(fmt.Sprintf("request-%03d", number)), Pool: testPool.Name, Account: "account",
		PromptTokens: 5000, MaxTokens: 1500, Objective: waitObjective, PauseObjective: 200 * time.Millisecond,
		ArrivedAt: now, LatestStart: now.Add(waitCallerTimeout), MayWait: true,
	}
}

// add runs a request at an entry, with an answer of the given time.
func (w *waitingFleet) add(ctx context.Context, p *ChooserSet, answer time.Duration) {
	w.added++
	request := waitRequest(w.added)
	reserver := w.reservers[p.Self.ID]
	w.requests.Go(func() error {
		grant, err := reserver.Reserve(ctx, request)
		w.mu.Lock()
		w.results = append(w.results, waitResult{arrivedAt: request.ArrivedAt, endedAt: time.Now(), err: err})
		if err == nil {
			w.running[grant.Endpoint]++
			w.most[grant.Endpoint] = max(w.most[grant.Endpoint], w.running[grant.Endpoint])
		}
		w.mu.Unlock()
		if reasonOf(err) != "" {
			return nil
		}
		time.Sleep(grant.Predicted)
		_ = reserver.Renew(ctx, reservation.Progress{Reservation: grant.Reservation, Started: true})
		time.Sleep(answer)
		w.mu.Lock()
		w.running[grant.Endpoint]--
		w.mu.Unlock()
		return reserver.Release(ctx, reservation.Release{Reservation: grant.Reservation})
	})
}

// ended returns the number of requests that were placed or refused.
func (w *waitingFleet) ended() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.results)
}

// waitingAt returns the number of requests that wait at a chooser.
func waitingAt(p *ChooserSet) int {
	p.waiting.mu.Lock()
	defer p.waiting.mu.Unlock()
	return p.waiting.count
}
