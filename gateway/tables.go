package gateway

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/freshness"
	"wisteriadyke/core/mirror"
	"wisteriadyke/io/boottime"
	"wisteriadyke/io/peer"
	"wisteriadyke/platform/store"
)

const (
	// peerMemoryShare is the share of the setting Memory for incomplete messages of other entries.
	peerMemoryShare = 0.1
	// storeMemoryShare is the share of the setting Memory for the bodies of responses of the store.
	storeMemoryShare = 0.1
)

const (
	// maxAnswerShare is the part of the drain time after which an entry that gets no answer of the store refuses to pass on its
	// tables, at most maxAnswerAge. The rest is for reading elsewhere and for the request.
	maxAnswerShare = 0.7
	maxAnswerAge   = 1400 * time.Millisecond
	// heartbeatShare is the part of the drain time for which such an entry lets the store hold a poll, so that two polls in a
	// row end within maxAnswerShare.
	heartbeatShare = 0.25
)

// Names of gauges.
const (
	// metricCallerBuffers is the number of bytes of answers that wait for slow callers.
	metricCallerBuffers = "dispatch.caller_buffer_bytes"
	// metricBodies is the number of bytes that the bodies of callers' requests hold.
	metricBodies = "ingress.body_bytes"
	// metricLinesDropped is the number of log lines dropped because the output was too slow.
	metricLinesDropped = "log.lines_dropped"
	// metricTableReaders is the number of polls of other entries that this entry holds; metricTablesRelayed is 1 if it
	// reads through another entry itself, else 0.
	metricTableReaders  = "mirror.readers"
	metricTablesRelayed = "mirror.relayed"
	// metricSlowEndpoints is the number of endpoints that are known to take longer than published.
	metricSlowEndpoints = "endpoints.slow"
	// metricQuarantinedGroups is the number of quarantined groups of prompt parts.
	metricQuarantinedGroups = "quarantine.groups"
	// metricStoreEra is the latest era of the store.
	metricStoreEra = "store.era"
)

// buildFeed creates the components that read the tables of the store.
func (p *Process) buildFeed() {
	p.evidence = &freshness.Evidence{
		Tracker: p.freshness,
		Peers:   p.peerExchange,
		Alone:   func() bool { return p.entryCount() <= 1 },
		Log:     p.Log,
	}
	p.peerExchange.OnFirstReply = p.evidence.Reconsider
	p.peers = peer.NewClient()
	p.peers.Memory = semaphore.NewWeighted(p.memoryShare(peerMemoryShare))
	p.sources = &mirror.Sources{Self: p.self(), State: p.state, Log: p.Log}
	p.feed = &store.Feed{
		Client: &store.Client{
			Address: p.Settings.Store, HTTP: store.NewHTTPClient(),
			BodyMemory: semaphore.NewWeighted(p.memoryShare(storeMemoryShare)),
		},
		Sources: p.sources,
		Relays:  &peer.RowsTransport{Client: p.peers, Clock: boottime.Now},
		Clock:   boottime.Now,
		Log:     p.Log,
	}
	p.feed.DrainTime = p.Settings.DrainTime
	p.feed.Contact.MinOutage = p.Settings.ReportInterval
	p.registerGauge(metricTableReaders, func() int64 {
		_, readers := p.sources.Status()
		return int64(readers)
	})
	p.registerGauge(metricTablesRelayed, func() int64 {
		if relay, _ := p.sources.Status(); relay != "" {
			return 1
		}
		return 0
	})
	p.registerGauge(metricStoreEra, p.feed.Client.Era)
}

// tableServer returns the component that answers the polls of other entries.
func (p *Process) tableServer() *mirror.Server {
	return &mirror.Server{
		Tables:    p.feed.Tables(),
		Heartbeat: p.feed.Heartbeat(),
		MaxAge:    min(p.shareOfDrainTime(maxAnswerShare), maxAnswerAge),
		Sources:   p.sources,
		StoreAway: p.feed.StoreAway,
		Clock:     boottime.Now,

		StoreSince: p.feed.Contact.Since,
	}
}

// shareOfDrainTime returns a part of the drain time.
func (p *Process) shareOfDrainTime(share float64) time.Duration {
	return time.Duration(share * float64(p.Settings.DrainTime))
}

// hasDependents reports whether other entries rely on this one for the freshness of their configuration. Entries that
// send their usage to this one or read through it do.
func (p *Process) hasDependents() bool {
	_, readers := p.sources.Status()
	return readers > 0 || p.usages.HasReporters(time.Now())
}

// configurationVersion returns the version of the current configuration, or 0 if there is none.
func (p *Process) configurationVersion() int64 {
	if table := p.activeTable.Table(); table != nil {
		return table.Version
	}
	return 0
}

// registerGauge registers a gauge whose value is that of a function.
func (p *Process) registerGauge(name string, value func() int64) {
	p.metrics.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}
