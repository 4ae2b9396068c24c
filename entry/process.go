// Package entry builds and runs the controllers and servers of one entry process on the platform that package
// io/platform calls, with a table service, an object store and an instance list. Package gateway does so on Cierzo.
package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/gossip"
	"wisteriadyke/core/idempotency"
	"wisteriadyke/core/lifecycle"
	"wisteriadyke/core/observe"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/report"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/segment"
	"wisteriadyke/core/timeline"
	"wisteriadyke/io/caller"
	"wisteriadyke/io/engine"
	"wisteriadyke/io/jsonhttp"
	"wisteriadyke/io/operator"
	"wisteriadyke/io/peer"
	"wisteriadyke/io/platform"
	"wisteriadyke/io/service"
	"wisteriadyke/io/settings"
)

const (
	// retryRatio is the number of retries that each request adds to a retry budget. Model requests and service calls
	// have separate budgets.
	retryRatio = 0.1
	// retryBurst bounds the number of retries in each retry budget.
	retryBurst = 50
	// maxClaimWritesPerSecond bounds the transactions per second for this entry's at-most-once calls.
	maxClaimWritesPerSecond = 30
	// maxClaimReadsPerSecond bounds the batch reads per second for this entry's at-most-once calls.
	maxClaimReadsPerSecond = 100
)

// Process is one entry process. Its fields must be set before Run is called.
type Process struct {
	// Settings are the settings of the entry.
	Settings settings.Entry
	// Log receives the messages of all components.
	Log zerolog.Logger

	state             *clusterstate.State
	timeline          *timeline.Recorder
	metrics           metrics.Registry
	gossipStore       *gossip.Store
	suspectReplicator *suspectReplicator
	suspects          *retry.Suspects
	platform          *platform.Client
	atMostOnce        *idempotency.Executor
	sweeper           *idempotency.Sweeper
	pool              *scheduler.Pool
	client            *peer.Client
	peers             peers
	views             *report.ViewCache
	prefixes          *placement.PrefixIndex
	reporter          *report.Reporter
	engines           *engine.Engines
	operator          *operator.Server
}

// Run serves until ctx ends and then shuts down gracefully: the entry first becomes unready for the balancer, then
// hands its endpoints over, finishes the requests in flight, and stops the other components. It returns the first error
// of a component.
func (p *Process) Run(ctx context.Context) error {
	p.configureRuntime()
	p.build()
	err := lifecycle.Run(ctx, p.components(), p.serveCallers)
	p.Log.Info().Msg("entry: stopped")
	return err
}

// build creates the components that others depend on.
func (p *Process) build() {
	p.state = &clusterstate.State{}
	p.timeline = &timeline.Recorder{Entry: p.Settings.Entry}
	p.metrics = metrics.NewRegistry()
	p.gossipStore = &gossip.Store{}
	p.suspectReplicator = &suspectReplicator{Entry: p.Settings.Entry, Store: p.gossipStore, Log: p.Log}
	p.suspects = &retry.Suspects{Entry: p.Settings.Entry, Broadcaster: p.suspectReplicator}
	p.suspectReplicator.Suspects = p.suspects
	p.platform = &platform.Client{Addresses: []netip.AddrPort{p.Settings.Platform}, HTTP: jsonhttp.NewPooled()}
	claims := &platform.Claims{Tables: p.platform}
	p.sweeper = &idempotency.Sweeper{Store: claims, Log: p.Log}
	p.atMostOnce = &idempotency.Executor{
		Store:   claims,
		Limits:  idempotency.Limits{WritesPerSecond: maxClaimWritesPerSecond, ReadsPerSecond: maxClaimReadsPerSecond},
		Metrics: p.metrics,
		Log:     p.Log,
	}
	p.engines = &engine.Engines{HTTP: &http.Client{Transport: engine.NewTransport()}}
	p.pool = &scheduler.Pool{Entry: p.Settings.Entry, Lister: p.engines}
	p.client = peer.NewClient()
	p.prefixes = &placement.PrefixIndex{}
	p.views = &report.ViewCache{State: p.state, Zone: p.Settings.Zone}
	p.reporter = &report.Reporter{
		Entry:     p.Settings.Entry,
		Zone:      p.Settings.Zone,
		State:     p.state,
		Owned:     p.pool,
		Transport: &peer.ReportTransport{Client: p.client},
	}
	p.buildPeers()
	p.operator = &operator.Server{
		Address:   p.Settings.OperatorAddress,
		KeyDigest: p.Settings.OperatorKeyDigest,
		Profiling: p.Settings.Profiling,
		Status:    p.status,
		Timeline:  p.timeline,
		Metrics:   p.metrics,
	}
}

// components returns the Run methods of all components except the server for callers.
func (p *Process) components() []lifecycle.Component {
	poller := &platform.Poller{
		Client: p.platform,
		State:  p.state,
		Entry:  p.Settings.Entry,
		Zone:   p.Settings.Zone,
		Gossip: p.gossipStore,
		Listed: &p.state.ListedEntries,
		Log:    p.Log,
	}
	components := []lifecycle.Component{
		poller.Run, p.pool.Run, p.operator.Run, p.suspectReplicator.Run, p.atMostOnce.Run, p.sweeper.Run, p.reporter.Run,
		p.observer().Run, p.cachePoller().Run,
	}
	return append(components, p.peers.components()...)
}

// observer returns the component that records changes of the cluster state in the timeline.
func (p *Process) observer() *observe.Observer {
	return &observe.Observer{State: p.state, Owned: p.pool, Timeline: p.timeline, Metrics: p.metrics}
}

// cachePoller returns the component that polls which prefixes the engines of the zone may have cached.
func (p *Process) cachePoller() *engine.CachePoller {
	return &engine.CachePoller{State: p.state, Zone: p.Settings.Zone, Prefixes: p.prefixes, HTTP: p.engines.HTTP}
}

// serveCallers serves callers until ctx ends. It then makes the entry unready, hands its endpoints over and finishes
// the requests in flight. It ends early when supportCtx ends.
//
// ctx is the context of Run, which ends when the process is to stop. supportCtx is the context of the other components;
// it does not end with ctx, but after serveCallers has returned or when a component has failed.
func (p *Process) serveCallers(ctx, supportCtx context.Context) error {
	servingCtx, stopServing := context.WithCancel(supportCtx)
	defer stopServing()
	group, servingCtx := errgroup.WithContext(servingCtx)
	group.Go(func() error { return p.callerServer().Run(servingCtx) })
	group.Go(func() error {
		defer stopServing()
		if !p.becomeReady(ctx, servingCtx) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-servingCtx.Done():
			return nil
		}
		p.becomeUnready(servingCtx)
		p.peers.leave(servingCtx)
		return nil
	})
	return group.Wait()
}

// becomeReady waits for a configuration and then makes the entry ready for the balancer. It returns false if ctx or
// servingCtx ends first.
func (p *Process) becomeReady(ctx, servingCtx context.Context) bool {
	p.timeline.Record(timeline.Event{Kind: timeline.KindEntryStarted})
	p.Log.Info().Str("entry", string(p.Settings.Entry)).Msg("entry: waiting for a configuration")
	for {
		changed := p.state.Configuration.Changed()
		if _, found := p.state.Configuration.Get(clusterstate.SingleKey{}); found {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-servingCtx.Done():
			return false
		}
	}
	p.operator.SetReady(true)
	p.Log.Info().Msg("entry: ready for the balancer")
	return true
}

// becomeUnready makes the entry unready for the balancer and waits for BalancerDelay, after which the balancer sends
// no new requests.
func (p *Process) becomeUnready(ctx context.Context) {
	p.operator.SetReady(false)
	p.timeline.Record(timeline.Event{Kind: timeline.KindEntryStopping})
	p.Log.Info().Msg("entry: shutting down gracefully")
	timer := time.NewTimer(p.Settings.BalancerDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// callerServer builds the server for callers, with the dispatchers of their model requests and service calls.
func (p *Process) callerServer() *caller.Server {
	policy := &placement.EarliestFinish{Prefixes: p.prefixes}
	server := &caller.Server{
		Address: p.Settings.CallerAddress,
		Entry:   p.Settings.Entry,
		State:   p.state,
		Generator: &segment.Generator{
			State: p.state,
			Next: &dispatch.Dispatcher{
				State:        p.state,
				Views:        p.views,
				Entry:        p.Settings.Entry,
				Zone:         p.Settings.Zone,
				Reservations: &peer.Owners{State: p.state, Entry: p.Settings.Entry, Local: p.peers.leaseGuard, Client: p.client},
				Engines:      p.engines,
				Placement:    policy,
				Prefixes:     engine.PlacementPrefixes,
				Budget:       &retry.Budget{Ratio: retryRatio, Burst: retryBurst},
				Suspects:     p.suspects,
				Timeline:     p.timeline,
				Metrics:      p.metrics,
				Log:          p.Log,
			},
		},
		Caller: &dispatch.InstrumentedCaller{
			Next:     &dispatch.AtMostOnceCaller{Executor: p.atMostOnce, Next: p.serviceDispatcher(policy)},
			Timeline: p.timeline,
			Metrics:  p.metrics,
		},
	}
	p.limitCallers(server)
	return server
}

// serviceDispatcher returns the dispatcher of calls to plain services.
func (p *Process) serviceDispatcher(policy placement.Policy) *dispatch.ServiceDispatcher {
	return &dispatch.ServiceDispatcher{
		Views: p.views,
		Entry: p.Settings.Entry,
		Services: &service.Services{
			AtMostOnce: &service.Client{HTTP: jsonhttp.NewUnpooled()},
			Repeatable: &service.Client{HTTP: jsonhttp.NewPooled()},
		},
		Placement: policy,
		Budget:    &retry.Budget{Ratio: retryRatio, Burst: retryBurst},
	}
}
