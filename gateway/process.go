// Package gateway composes the controllers and servers of one entry instance on the Cierzo platform.
package gateway

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/discovery"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/freshness"
	"wisteriadyke/core/lifecycle"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/report"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/routing"
	"wisteriadyke/core/sharedload"
	"wisteriadyke/core/timeline"
	"wisteriadyke/io/boottime"
	"wisteriadyke/io/operator"
	"wisteriadyke/io/peer"
	"wisteriadyke/io/settings"
	"wisteriadyke/io/tcp"
	"wisteriadyke/platform/endpointclient"
	"wisteriadyke/platform/ingress"
	"wisteriadyke/platform/store"
)

const (
	// keyMargin is taken off the time for which a removed key may be accepted: a request may be under way to the entry,
	// and clocks of two instances drift.
	keyMargin = 700 * time.Millisecond
	// rosterGrace is how long endpoints have to register again after an outage of the store; the platform says two
	// seconds.
	rosterGrace = 2 * time.Second
	// rosterLateGrace is how long an entry is kept that vanishes soon after an outage; with one look at the registry it
	// stays below the drain time of endpoints.
	rosterLateGrace = 800 * time.Millisecond
	// lastMoments is what is left of the grace time when open requests are broken off, to write what is logged.
	lastMoments = 300 * time.Millisecond
	// memoryShare is the part of the memory from which the garbage collector works harder.
	memoryShare = 0.7
	// budgetShare is the part of the allowed retries that is used, since the windows of all entries differ.
	budgetShare = 0.75
	// warmFactor is how much more a warm endpoint may be sent than a cold one. It may turn cold at any moment, and entries
	// don't all use their shares at once.
	warmFactor = 2
	// leaderShare and fallbackShare are the parts of an endpoint's rate that the leader's choices use, and those that each
	// other role may use while entries can't reach it.
	leaderShare   = 0.5
	fallbackShare = 0.25
	// gcPercent trades memory, of which there is plenty, for processor time.
	gcPercent = 300
	// probeTimeout bounds the connection that shows whether an endpoint lives.
	probeTimeout = 300 * time.Millisecond
)

// metricLinesDropped counts log lines that were lost since the output was too slow.
const metricLinesDropped = "log.lines_dropped"

// Process is one entry instance. Its fields are set before Run.
type Process struct {
	// Settings are those of the entry.
	Settings settings.Gateway
	// Log takes the messages of all parts.
	Log zerolog.Logger
	// DroppedLogLines returns the number of messages that were lost since the output was too slow; nil stands for none.
	DroppedLogLines func() int64

	board     *clusterstate.State
	current   *routing.ActiveTable
	evidence  *freshness.Tracker
	testimony *freshness.PeerExchange
	timeline  *timeline.Recorder
	suspects  *retry.Suspects
	metrics   metrics.Registry
	store     *store.Client
	book      *sharedload.UsageTable
	outliers  *outlier.Detector
	workers   *endpointclient.Client
	tickets   *sharedload.MemoryLeases
	viewer    *report.ViewCache
	policy    *sharedload.Policy
	placers   *sharedload.ChooserSet
	ingress   *ingress.Server
	leaving   atomic.Bool
}

// Run serves until ctx ends, then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	p.limitRuntime()
	p.build()
	p.Log.Info().Str("entry", string(p.Settings.Entry)).Str("zone", string(p.Settings.Zone)).Msg("gateway: started")
	err := lifecycle.Run(ctx, p.controllers(), p.serveCallers)
	p.Log.Info().Err(err).Msg("gateway: stopped")
	return err
}

// limitRuntime fits the runtime to a share of one core and little memory.
func (p *Process) limitRuntime() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(p.Settings.Memory) * memoryShare * (1 << 20)))
}

// build makes the parts that others need.
func (p *Process) build() {
	p.board = &clusterstate.State{}
	p.current = &routing.ActiveTable{}
	p.evidence = &freshness.Tracker{Clock: boottime.Now}
	p.testimony = &freshness.PeerExchange{Tracker: p.evidence, Version: p.version}
	p.timeline = &timeline.Recorder{Entry: p.Settings.Entry}
	p.metrics = metrics.NewRegistry()
	if p.DroppedLogLines != nil {
		p.metrics.GetOrRegister(metricLinesDropped, metrics.NewFunctionalGauge(p.DroppedLogLines))
	}
	p.suspects = &retry.Suspects{Entry: p.Settings.Entry, DeathLimit: retry.NoTrialDeathLimit}
	p.store = &store.Client{Address: p.Settings.Store, HTTP: store.NewHTTPClient()}
	p.book = &sharedload.UsageTable{}
	p.outliers = &outlier.Detector{}
	p.workers = &endpointclient.Client{
		PooledHTTP:   endpointclient.NewPooledHTTPClient(),
		UnpooledHTTP: endpointclient.NewUnpooledHTTPClient(),
		Dialer:       &tcp.Dialer{Timeout: probeTimeout, IdleTimeout: probeTimeout},
	}
	p.buildPlacers()
	p.tickets = &sharedload.MemoryLeases{Entry: p.Settings.Entry, Memory: p.workers, Log: p.Log}
	p.ingress = &ingress.Server{
		Address:         p.Settings.CallerAddress,
		ReadyAddress:    p.Settings.ReadyAddress,
		Entry:           p.Settings.Entry,
		Current:         p.current,
		Freshness:       p.evidence,
		MaxKeyStaleness: p.Settings.RevokeTime - keyMargin,
		Generator:       p.dispatcher(),
		Ready:           p.ready,
		DrainTimeout:    p.Settings.GraceTime - p.Settings.BalancerDelay - lastMoments,
		Metrics:         p.metrics,
		Log:             p.Log,
	}
}

// controllers returns all parts that run beside the serving of callers.
func (p *Process) controllers() []lifecycle.Component {
	operations := &store.OperatorWatcher{
		Client:     p.store,
		Current:    p.current,
		State:      p.board,
		Freshness:  p.evidence,
		PollPolicy: &freshness.PollPolicy{Tracker: p.evidence, HasDependents: p.consulted},
		Log:        p.Log,
	}
	registry := &store.RegistryWatcher{
		Client: p.store,
		Roster: &discovery.EndpointList{State: p.board, ReconnectGrace: rosterGrace, RemovalGrace: rosterLateGrace, Log: p.Log},
		Log:    p.Log,
	}
	entries := &store.EntryWatcher{Client: p.store, Self: p.self(), State: p.board, Log: p.Log}
	teller := &sharedload.UsageReporter{Choosers: p.placers}
	peers := &peer.Server{Address: p.Settings.PeerAddress, Choosers: p.placers, Deaths: p.suspects, Freshness: p.testimony}
	operators := &operator.Server{
		Address:  p.Settings.MetricsAddress,
		Status:   p.status,
		Timeline: p.timeline,
		Metrics:  p.metrics,
	}
	prober := &outlier.Prober{State: p.board, Detector: p.outliers, Connect: p.workers.Connect}
	return []lifecycle.Component{
		prober.Run, operators.Run, operations.Run, registry.Run, entries.Run, teller.Run, peers.Run, p.tickets.Run,
	}
}

// budget returns this entry's share of the retries that all may make.
func (p *Process) budget() *retry.Budget {
	return &retry.Budget{
		Ratio:      p.Settings.RetryRatio * budgetShare,
		Burst:      p.Settings.RetryBurst * budgetShare,
		EntryCount: p.entries,
	}
}

// self returns this entry as others know it.
func (p *Process) self() fleet.Entry {
	address := p.Settings.PeerAddress
	if p.Settings.PublicPeerAddress.IsValid() {
		address = p.Settings.PublicPeerAddress
	}
	return fleet.Entry{
		ID:       p.Settings.Entry,
		Zone:     p.Settings.Zone,
		Address:  address,
		State:    fleet.StateLive,
		CPUShare: p.Settings.Processor,
	}
}

// buildPlacers makes what chooses endpoints.
func (p *Process) buildPlacers() {
	p.viewer = &report.ViewCache{State: p.board, Zone: p.Settings.Zone}
	p.policy = &sharedload.Policy{Usages: p.book, Pool: p.pool, Usable: p.outliers.Usable, Log: p.Log}
	p.placers = &sharedload.ChooserSet{
		Self:    p.self(),
		Started: time.Now(),
		State:   p.board,
		Usages:  p.book,
		Chooser: &sharedload.Chooser{State: p.board, Views: p.viewer, Policy: p.policy, Rate: p.rate},
		Transport: &peer.UsageTransport{
			Client:    peer.NewClient(),
			Deaths:    p.suspects,
			Freshness: p.testimony,
		},
		Log: p.Log,
	}
}

// dispatcher returns the dispatcher of all requests.
func (p *Process) dispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		State: p.board,
		Views: p.viewer,
		Entry: p.Settings.Entry,
		Zone:  p.Settings.Zone,
		Reservations: &sharedload.Reserver{
			Entry:    p.Settings.Entry,
			State:    p.board,
			Views:    p.viewer,
			Policy:   p.policy,
			Choosers: p.placers,
			Leases:   p.tickets,
			Outliers: p.outliers,
		},
		Engines:       p.workers,
		Budget:        p.budget(),
		BudgetRefused: true,
		Reachable:     p.placers.Reachable,
		Suspects:      p.suspects,
		Timeline:      p.timeline,
		Metrics:       p.metrics,
		Log:           p.Log,
	}
}

// version returns the version of the configuration in force, or 0 before the first one.
func (p *Process) version() int64 {
	if table := p.current.Table(); table != nil {
		return table.Version
	}
	return 0
}

// pool returns what the configuration tells of a pool.
func (p *Process) pool(name fleet.PoolName) (routing.Pool, bool) {
	table := p.current.Table()
	if table == nil {
		return routing.Pool{}, false
	}
	pool, found := table.Pools[name]
	return pool, found
}

// rate returns the requests a second that choices in a role may send to an endpoint, which may be less than one. The
// leader has half of what the endpoint bears, since entries may not agree on it for a moment; the rest is shared.
func (p *Process) rate(endpoint fleet.Endpoint, role sharedload.Role, now time.Time) (float64, bool) {
	pool, _ := p.pool(endpoint.Pool)
	if pool.ColdRate <= 0 {
		return 0, false
	}
	rate := pool.ColdRate * p.Settings.ColdFactor
	if now.After(endpoint.ColdUntil) {
		rate *= warmFactor
	}
	switch role {
	case sharedload.RoleLeader:
		return rate * leaderShare, true
	case sharedload.RoleZone:
		return rate * fallbackShare / float64(p.zones()), true
	default:
		return rate * fallbackShare / float64(p.entries()), true
	}
}

// zones returns the number of zones of known entries, at least one.
func (p *Process) zones() int {
	zones := make(map[fleet.Zone]bool)
	for _, entry := range p.board.Entries.Snapshot().Rows {
		zones[entry.Zone] = true
	}
	return max(1, len(zones))
}

// consulted tells whether other entries rely on this one.
func (p *Process) consulted() bool {
	return p.book.HasReporters(time.Now())
}

// entries returns the number of known entries, at least this one.
func (p *Process) entries() int {
	return max(1, len(p.board.Entries.Snapshot().Rows))
}

// ready tells the balancer whether the entry takes new connections.
func (p *Process) ready() bool {
	return !p.leaving.Load() && p.current.Table() != nil
}

// serveCallers serves until ctx ends and finishes what has begun within the grace time; it ends early when support does.
func (p *Process) serveCallers(ctx, support context.Context) error {
	serving, stopServing := context.WithCancel(support)
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return p.ingress.Run(serving) })
	group.Go(func() error {
		defer stopServing()
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}
		p.Log.Info().Msg("gateway: shutting down gracefully")
		p.leaving.Store(true)
		p.ingress.SetDraining()
		timer := time.NewTimer(p.Settings.BalancerDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-serving.Done():
		}
		return nil
	})
	return group.Wait()
}
