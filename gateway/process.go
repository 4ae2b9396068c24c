// Package gateway assembles the components of one entry process on the Cierzo platform, for which the packages below
// the folder platform are made. Package entry does so on the other platform, that of package io/platform.
package gateway

import (
	"context"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/discovery"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/freshness"
	"wisteriadyke/core/lifecycle"
	"wisteriadyke/core/mirror"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/quarantine"
	"wisteriadyke/core/ratelimit"
	"wisteriadyke/core/report"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/routing"
	"wisteriadyke/core/sharedload"
	"wisteriadyke/core/timeline"
	"wisteriadyke/io/boottime"
	"wisteriadyke/io/operator"
	"wisteriadyke/io/peer"
	"wisteriadyke/io/settings"
	"wisteriadyke/platform/endpointclient"
	"wisteriadyke/platform/ingress"
	"wisteriadyke/platform/store"
	"wisteriadyke/platform/wire"
)

const (
	// keyStalenessMargin is subtracted from the time for which a removed key may be accepted, to allow for requests on
	// their way to the entry and for the drift between the clocks of two instances.
	keyStalenessMargin = 700 * time.Millisecond
	// reconnectGrace is the time within which endpoints register again after an outage of the store; the platform
	// specifies two seconds.
	reconnectGrace = 2 * time.Second
	// removalShare is the part of the drain time for which an endpoint that disappears soon after an outage is retained, at
	// most maxRemovalGrace.
	removalShare    = 0.4
	maxRemovalGrace = 800 * time.Millisecond
	// lapseReports is the number of reports without which the registry removes an endpoint, and lapseMargin the time that it
	// may take for that.
	lapseReports = 3
	lapseMargin  = 1400 * time.Millisecond
	// forwardMemoryShare is the share of the setting Memory for the payloads of requests that other entries pass on, and for
	// the copies of those that this entry passes on.
	forwardMemoryShare = 0.1
	// waitMemoryShare is the share of the setting Memory for the bodies of requests that wait for an endpoint.
	waitMemoryShare = 0.1
	// shutdownMargin is the part of the grace time that is left after requests in flight have been aborted, to flush
	// logs.
	shutdownMargin = 300 * time.Millisecond
	// memoryLimitShare is the share of the setting Memory that is set as the soft memory limit of the Go runtime.
	memoryLimitShare = 0.7
	// RetryBudgetShare is the factor by which the settings RetryRatio and RetryBurst are multiplied. The entries thus use
	// only part of the allowed retries, since the windows of the entries are not aligned.
	RetryBudgetShare = 0.75
	// gcPercent is the growth of the heap, in percent, that starts a garbage collection. It is above the default since
	// memory is plentiful and CPU time is scarce.
	gcPercent = 300
)

// Process is one entry process. Its fields must be set before Run.
type Process struct {
	// Settings configures the entry and its components.
	Settings settings.Gateway
	// Log receives the messages of all components.
	Log zerolog.Logger
	// DroppedLogLines returns the number of log lines dropped because the output was too slow; nil disables the metric.
	DroppedLogLines func() int64
	// DialEndpoint connects to endpoints; nil means TCP.
	DialEndpoint endpointclient.DialFunc

	state          *clusterstate.State
	activeTable    *routing.ActiveTable
	freshness      *freshness.Tracker
	peerExchange   *freshness.PeerExchange
	timeline       *timeline.Recorder
	suspects       *retry.Suspects
	parts          *quarantine.Parts
	partExchange   *quarantine.Exchange
	metrics        metrics.Registry
	evidence       *freshness.Evidence
	peers          *peer.Client
	sources        *mirror.Sources
	feed           *store.Feed
	usages         *sharedload.UsageTable
	outliers       *outlier.Detector
	reach          *outlier.Reach
	paths          *outlier.PathTable
	witness        *outlier.Witness
	unconfirmed    *dispatch.UnconfirmedDeaths
	limits         *ratelimit.Limits
	endpoints      *discovery.EndpointList
	endpointClient *endpointclient.Client
	leases         *sharedload.MemoryLeases
	views          *report.ViewCache
	policy         *sharedload.Policy
	choosers       *sharedload.ChooserSet
	forwards       *peer.ForwardTransport
	receiver       *dispatch.ForwardReceiver
	ingress        *ingress.Server
	shuttingDown   atomic.Bool
	// draining ends when the process begins to shut down; startDraining ends it.
	draining      context.Context
	startDraining context.CancelFunc
}

// Run serves until ctx ends, then shuts down gracefully. It returns the first error of a component.
func (p *Process) Run(ctx context.Context) error {
	p.configureRuntime()
	p.buildComponents()
	p.Log.Info().Str("entry", string(p.Settings.Entry)).Str("zone", string(p.Settings.Zone)).
		Dur("ack_timeout_ms", endpointclient.AckTimeout).Msg("gateway: started")
	err := lifecycle.Run(ctx, p.components(), p.serveCallers)
	p.Log.Info().Err(err).Msg("gateway: stopped")
	return err
}

// configureRuntime adapts the Go runtime to a share of one CPU core and to the setting Memory: it uses one core,
// collects garbage less often than by default, and has a soft memory limit.
func (p *Process) configureRuntime() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(p.Settings.Memory) * memoryLimitShare * (1 << 20)))
}

// buildComponents creates the components that others depend on.
func (p *Process) buildComponents() {
	p.draining, p.startDraining = context.WithCancel(context.Background())
	p.state = &clusterstate.State{}
	p.activeTable = &routing.ActiveTable{}
	p.freshness = &freshness.Tracker{Clock: boottime.Now}
	p.peerExchange = &freshness.PeerExchange{Tracker: p.freshness, Version: p.configurationVersion}
	p.timeline = &timeline.Recorder{Entry: p.Settings.Entry}
	p.metrics = metrics.NewRegistry()
	if p.DroppedLogLines != nil {
		p.registerGauge(metricLinesDropped, p.DroppedLogLines)
	}
	p.suspects = &retry.Suspects{Entry: p.Settings.Entry, DeathLimit: retry.NoTrialDeathLimit}
	p.parts = &quarantine.Parts{Log: p.Log}
	p.partExchange = &quarantine.Exchange{Parts: p.parts, Run: rand.Uint64() | 1}
	p.registerGauge(metricQuarantinedGroups, func() int64 { return int64(len(p.parts.Groups(time.Now()))) })
	p.buildFeed()
	p.usages = p.usageTable()
	p.buildOutlierDetection()
	p.limits = &ratelimit.Limits{Listed: func(id fleet.EndpointID) bool {
		_, found := p.state.Endpoints.Get(id)
		return found
	}}
	p.endpoints = &discovery.EndpointList{
		State:          p.state,
		ReconnectGrace: reconnectGrace,
		RemovalGrace:   min(p.shareOfDrainTime(removalShare), maxRemovalGrace),
		LapseTime:      lapseReports*p.Settings.ReportInterval + lapseMargin,
		Metrics:        p.metrics,
		Log:            p.Log,
	}
	p.buildEndpointClient()
	p.witness = &outlier.Witness{State: p.state, Reach: p.reach, Connect: p.endpointClient.Connect}
	p.unconfirmed = &dispatch.UnconfirmedDeaths{State: p.state, ReachesZone: p.witness.ReachesZone, Log: p.Log}
	p.forwards = &peer.ForwardTransport{
		Client: p.peers, Codec: wire.Codec{}, Memory: semaphore.NewWeighted(p.memoryShare(forwardMemoryShare)),
	}
	p.buildChoosers()
	p.leases = &sharedload.MemoryLeases{Entry: p.Settings.Entry, Memory: p.endpointClient, Log: p.Log}
	generator := p.generator()
	p.receiver = &dispatch.ForwardReceiver{
		Generator: generator,
		Unreached: p.reach.Unreached,
		Ready:     p.isReady,
		Memory:    semaphore.NewWeighted(p.memoryShare(forwardMemoryShare)),
		Metrics:   p.metrics,
	}
	p.ingress = &ingress.Server{
		Address:         p.Settings.CallerAddress,
		ReadyAddress:    p.Settings.ReadyAddress,
		Entry:           p.Settings.Entry,
		ActiveTable:     p.activeTable,
		Freshness:       p.freshness,
		MaxKeyStaleness: p.Settings.RevokeTime - keyStalenessMargin,
		Generator:       generator,
		Ready:           p.isReady,
		DrainTimeout:    p.Settings.GraceTime - p.Settings.BalancerDelay - shutdownMargin,
		Metrics:         p.metrics,
		Log:             p.Log,

		LimitSlowCallers: p.limitsSlowReaders(),
	}
	p.limitCallers()
}

// components returns the Run methods of all components except the server for callers.
func (p *Process) components() []lifecycle.Component {
	operatorWatcher := &store.OperatorWatcher{
		Feed:        p.feed,
		ActiveTable: p.activeTable,
		State:       p.state,
		Evidence:    p.evidence,
		PollPolicy: &freshness.PollPolicy{
			Tracker: p.freshness, HasDependents: p.hasDependents, MaxShortWait: p.shareOfDrainTime(heartbeatShare),
		},
		Log: p.Log,
	}
	registryWatcher := &store.RegistryWatcher{
		Feed:      p.feed,
		Endpoints: p.endpoints,
		Log:       p.Log,
	}
	entryDirectory := &store.EntryDirectory{
		Feed: p.feed, Self: p.self(), FirstStart: p.Settings.FirstStart, State: p.state, Leads: p.choosers.Leads,
		Heard: func(id fleet.EntryID) bool { return p.usages.HasReport(id, time.Now()) },
		Log:   p.Log,
	}
	quarantineTable := &store.QuarantineTable{
		Client: p.feed.Client, FirstStart: p.Settings.FirstStart, Parts: p.parts, Leads: p.choosers.Leads, Log: p.Log,
	}
	usageReporter := &sharedload.UsageReporter{Choosers: p.choosers}
	peerServer := &peer.Server{
		Address: p.Settings.PeerAddress, Choosers: p.choosers, SuspectRecords: p.suspects, Parts: p.partExchange,
		Freshness: p.peerExchange, Rows: p.tableServer(), Clock: boottime.Now, Forwards: p.receiver, Codec: p.forwards.Codec,
		Reach: p.witness, MaxConns: p.maxPeerConns(), Memory: semaphore.NewWeighted(p.memoryShare(peerMemoryShare)),
	}
	operatorServer := &operator.Server{
		Address:  p.Settings.OperatorAddress,
		Status:   p.status,
		Timeline: p.timeline,
		Metrics:  p.metrics,
	}
	return []lifecycle.Component{
		p.prober().Run, operatorServer.Run, p.feed.Run, operatorWatcher.Run, registryWatcher.Run, entryDirectory.Run, usageReporter.Run,
		peerServer.Run, p.leases.Run, quarantineTable.Run, p.unconfirmed.Run,
	}
}

// self returns the description of this entry that is announced to other entries.
func (p *Process) self() fleet.Entry {
	address := p.Settings.PeerAddress
	if p.Settings.PublicPeerAddress.IsValid() {
		address = p.Settings.PublicPeerAddress
	}
	return fleet.Entry{
		ID:       p.Settings.Entry,
		Zone:     p.Settings.Zone,
		Region:   p.Settings.Region,
		Address:  address,
		State:    fleet.StateLive,
		CPUCores: p.Settings.Processor,
	}
}

// buildChoosers creates the components that choose endpoints.
func (p *Process) buildChoosers() {
	p.views = &report.ViewCache{State: p.state, Zone: p.Settings.Zone}
	paces := p.newPaces()
	p.policy = &sharedload.Policy{
		Usages: p.usages, Pool: p.pool, Usable: p.outliers.Usable, UsableForOthers: p.reach.UsableForOthers,
		Unreachable: p.outliers.Unreachable, Limits: p.limits, Paths: p.paths, Paces: paces, Log: p.Log,
	}
	p.choosers = &sharedload.ChooserSet{
		Self:    p.self(),
		Started: time.Now(),
		State:   p.state,
		Usages:  p.usages,
		Chooser: &sharedload.Chooser{
			State: p.state, Views: p.views, Policy: p.policy, Rate: p.maxRate, Limits: p.limits, LimitRate: p.maxLimitRate,
		},
		Transport: &peer.UsageTransport{
			Client:         p.peers,
			SuspectRecords: p.suspects,
			Parts:          p.partExchange,
			Freshness:      p.peerExchange,
		},
		Leaving:   p.endpoints,
		Limits:    p.limits,
		Paths:     p.reach,
		LostPaths: p.paths,
		Reach:     p.forwards,
		Log:       p.Log,
		Metrics:   p.metrics,
		Paces:     paces,
	}
	p.choosers.Chooser.Phase = p.choosers.Phase
	p.registerPathGauges()
}

// dispatcher returns the dispatcher that runs the requests of callers.
func (p *Process) dispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		State: p.state,
		Views: p.views,
		Entry: p.Settings.Entry,
		Zone:  p.Settings.Zone,
		Reservations: &sharedload.Reserver{
			Entry:    p.Settings.Entry,
			State:    p.state,
			Views:    p.views,
			Policy:   p.policy,
			Choosers: p.choosers,
			Leases:   p.leases,
			Outliers: p.outliers,
			Paths:    p.paths,

			Draining:   p.draining,
			WaitMemory: semaphore.NewWeighted(p.memoryShare(waitMemoryShare)),
		},
		Engines:             p.endpointClient,
		Budget:              p.retryBudget(),
		LimitRefusedRetries: true,
		Reachable:           p.choosers.Reachable,
		Forwarding: &dispatch.Forwarding{
			CutOff: p.reach.CutOff, Unreachable: p.outliers.Unreachable, Alternates: p.choosers.Alternates,
			RecordFailure: p.choosers.RecordAlternateFailure, Client: p.forwards,
		},
		ListAge:     p.feed.RegistryAge,
		AskOthers:   p.choosers.AskOthers,
		CanTell:     p.witness.CanTell,
		EndedAlone:  p.witness.EndedAlone,
		Unconfirmed: p.unconfirmed,
		Suspects:    p.suspects,
		Parts:       p.parts,
		Timeline:    p.timeline,
		Metrics:     p.metrics,
		Log:         p.Log,
	}
}

// pool returns the configuration of a pool; it reports false if there is none.
func (p *Process) pool(name fleet.PoolName) (routing.Pool, bool) {
	table := p.activeTable.Table()
	if table == nil {
		return routing.Pool{}, false
	}
	pool, found := table.Pools[name]
	return pool, found
}

// isReady reports whether the entry answers readiness probes with success: it has a configuration that was confirmed to
// be the newest at some time, and is not shutting down.
func (p *Process) isReady() bool {
	_, confirmed := p.freshness.Age()
	return !p.shuttingDown.Load() && p.activeTable.Table() != nil && confirmed
}

// serveCallers serves until ctx ends. It then reports that the entry is not ready, goes on serving for BalancerDelay,
// and finishes requests in flight within the grace time. It stops early if supportCtx ends.
//
// ctx is the context of Run, which ends when the process is to stop. supportCtx is the context of the other components;
// it does not end with ctx, but after serveCallers has returned or when a component has failed.
func (p *Process) serveCallers(ctx, supportCtx context.Context) error {
	servingCtx, stopServing := context.WithCancel(supportCtx)
	defer stopServing()
	group, servingCtx := errgroup.WithContext(servingCtx)
	group.Go(func() error { return p.ingress.Run(servingCtx) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			p.finishForwards(supportCtx)
		case <-servingCtx.Done():
		}
		return nil
	})
	group.Go(func() error {
		defer stopServing()
		select {
		case <-ctx.Done():
		case <-servingCtx.Done():
			return nil
		}
		p.Log.Info().Msg("gateway: shutting down gracefully")
		p.shuttingDown.Store(true)
		p.startDraining()
		p.ingress.SetDraining()
		timer := time.NewTimer(p.Settings.BalancerDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-servingCtx.Done():
		}
		return nil
	})
	return group.Wait()
}
