// Package entry composes the controllers and servers of one entry instance.
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
	// retryRatio is the number of retries that each request earns.
	retryRatio = 0.1
	// retryBurst is the number of retries that can be saved up.
	retryBurst = 50
	// claimWrites bounds the transactions a second of this entry's at-most-once calls.
	claimWrites = 30
	// claimReads bounds the batch reads a second of this entry's at-most-once calls.
	claimReads = 100
)

// Process is one entry instance. Its fields are set before Run.
type Process struct {
	// Settings are those of the entry.
	Settings settings.Entry
	// Log takes the messages of all parts.
	Log zerolog.Logger

	board    *clusterstate.State
	timeline *timeline.Recorder
	metrics  metrics.Registry
	store    *gossip.Store
	notes    *suspects
	suspects *retry.Suspects
	platform *platform.Client
	once     *idempotency.Executor
	sweeper  *idempotency.Sweeper
	pool     *scheduler.Pool
	client   *peer.Client
	peers    peers
	viewer   *report.ViewCache
	prefixes *placement.PrefixIndex
	reporter *report.Reporter
	engines  *engine.Engines
	operator *operator.Server
}

// Run serves until ctx ends, then shuts down gracefully: the balancer is told first, requests that have begun are
// finished, and only then do the controllers end. It returns the first error of a part.
func (p *Process) Run(ctx context.Context) error {
	p.build()
	err := lifecycle.Run(ctx, p.controllers(), p.serveCallers)
	p.Log.Info().Msg("entry: stopped")
	return err
}

// build makes the parts that others need.
func (p *Process) build() {
	p.board = &clusterstate.State{}
	p.timeline = &timeline.Recorder{Entry: p.Settings.Entry}
	p.metrics = metrics.NewRegistry()
	p.store = &gossip.Store{}
	p.notes = &suspects{Entry: p.Settings.Entry, Store: p.store, Log: p.Log}
	p.suspects = &retry.Suspects{Entry: p.Settings.Entry, Broadcaster: p.notes}
	p.notes.Suspects = p.suspects
	p.platform = &platform.Client{Addresses: []netip.AddrPort{p.Settings.Platform}, HTTP: jsonhttp.NewPooled()}
	claims := &platform.Claims{Tables: p.platform}
	p.sweeper = &idempotency.Sweeper{Store: claims, Log: p.Log}
	p.once = &idempotency.Executor{
		Store:   claims,
		Limits:  idempotency.Limits{WritesPerSecond: claimWrites, ReadsPerSecond: claimReads},
		Metrics: p.metrics,
		Log:     p.Log,
	}
	p.engines = &engine.Engines{HTTP: &http.Client{Transport: engine.NewTransport()}}
	p.pool = &scheduler.Pool{Entry: p.Settings.Entry, Lister: p.engines}
	p.client = peer.NewClient()
	p.prefixes = &placement.PrefixIndex{}
	p.viewer = &report.ViewCache{State: p.board, Zone: p.Settings.Zone}
	p.reporter = &report.Reporter{
		Entry:     p.Settings.Entry,
		Zone:      p.Settings.Zone,
		State:     p.board,
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

// controllers returns all parts that run beside the serving of callers.
func (p *Process) controllers() []lifecycle.Component {
	poller := &platform.Poller{
		Client: p.platform,
		State:  p.board,
		Entry:  p.Settings.Entry,
		Zone:   p.Settings.Zone,
		Gossip: p.store,
		Listed: &p.board.ListedEntries,
		Log:    p.Log,
	}
	runs := []lifecycle.Component{poller.Run, p.pool.Run, p.operator.Run, p.notes.Run, p.once.Run, p.sweeper.Run, p.reporter.Run, p.observer().Run, p.cachePoller().Run}
	return append(runs, p.peers.controllers()...)
}

// observer returns the part that records changes in the time line.
func (p *Process) observer() *observe.Observer {
	return &observe.Observer{State: p.board, Owned: p.pool, Timeline: p.timeline, Metrics: p.metrics}
}

// cachePoller returns the part that learns what the engines of the zone may hold.
func (p *Process) cachePoller() *engine.CachePoller {
	return &engine.CachePoller{State: p.board, Zone: p.Settings.Zone, Prefixes: p.prefixes, HTTP: p.engines.HTTP}
}

// serveCallers serves until ctx ends and finishes what has begun; it ends early when support does.
func (p *Process) serveCallers(ctx, support context.Context) error {
	serving, stopServing := context.WithCancel(support)
	defer stopServing()
	group, serving := errgroup.WithContext(serving)
	group.Go(func() error { return p.callers().Run(serving) })
	group.Go(func() error {
		defer stopServing()
		if !p.joinBalancer(ctx, serving) {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-serving.Done():
			return nil
		}
		p.leaveBalancer(serving)
		p.peers.leave(serving)
		return nil
	})
	return group.Wait()
}

// joinBalancer tells the balancer once a configuration is in force; it reports false if the entry ends before that.
func (p *Process) joinBalancer(ctx, serving context.Context) bool {
	p.timeline.Record(timeline.Event{Kind: timeline.KindEntryStarted})
	p.Log.Info().Str("entry", string(p.Settings.Entry)).Msg("entry: waiting for a configuration")
	for {
		changed := p.board.Configuration.Changed()
		if _, found := p.board.Configuration.Get(clusterstate.SingleKey{}); found {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		case <-serving.Done():
			return false
		}
	}
	p.operator.SetReady(true)
	p.Log.Info().Msg("entry: ready for the balancer")
	return true
}

// leaveBalancer tells the balancer and waits until it sends no new requests.
func (p *Process) leaveBalancer(ctx context.Context) {
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

// callers returns the server of callers.
func (p *Process) callers() *caller.Server {
	policy := &placement.EarliestFinish{Prefixes: p.prefixes}
	return &caller.Server{
		Address: p.Settings.CallerAddress,
		Entry:   p.Settings.Entry,
		State:   p.board,
		Generator: &segment.Generator{
			State: p.board,
			Next: &dispatch.Dispatcher{
				State:        p.board,
				Views:        p.viewer,
				Entry:        p.Settings.Entry,
				Zone:         p.Settings.Zone,
				Reservations: &peer.Owners{State: p.board, Entry: p.Settings.Entry, Local: p.peers.gate, Client: p.client},
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
			Next:     &dispatch.AtMostOnceCaller{Executor: p.once, Next: p.services(policy)},
			Timeline: p.timeline,
			Metrics:  p.metrics,
		},
	}
}

// services returns the dispatcher of calls to plain services.
func (p *Process) services(policy placement.Policy) *dispatch.ServiceDispatcher {
	return &dispatch.ServiceDispatcher{
		Views: p.viewer,
		Entry: p.Settings.Entry,
		Services: &service.Services{
			Once:       &service.Client{HTTP: jsonhttp.NewUnpooled()},
			Repeatable: &service.Client{HTTP: jsonhttp.NewPooled()},
		},
		Placement: policy,
		Budget:    &retry.Budget{Ratio: retryRatio, Burst: retryBurst},
	}
}
