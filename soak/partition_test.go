package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/faultproxy"
)

const (
	// partitionSettleTime is how long after a partition began or ended callers must be served as before.
	partitionSettleTime = 2 * time.Second
	// partitionCheckTime is how long that is then checked. Traffic swings with a period of swingPeriod: half of the callers
	// pause in its second half.
	partitionCheckTime = 3 * time.Second
	swingPeriod        = time.Second
	// partitionCallers is the number of callers of each entry.
	partitionCallers = 4
)

// crossingProxy is the proxy through which entries of the other zone reach an entry of a zone.
type crossingProxy struct {
	zone  string
	proxy *faultproxy.Proxy
}

// addCrossing adds the proxy through which the entries of the other zone reach an entry.
func (p *endpointPaths) addCrossing(entry, zone string, proxy *faultproxy.Proxy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.crossing == nil {
		p.crossing = make(map[string]crossingProxy)
	}
	p.crossing[entry] = crossingProxy{zone: zone, proxy: proxy}
}

// betweenZones returns the proxies of all connections between the zones: from entries to endpoints and to entries.
func (p *endpointPaths) betweenZones() []*faultproxy.Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	var proxies []*faultproxy.Proxy
	for id, byZone := range p.proxies {
		for zone, proxy := range byZone {
			if zone != p.zones[id] {
				proxies = append(proxies, proxy)
			}
		}
	}
	for _, c := range p.crossing {
		proxies = append(proxies, c.proxy)
	}
	return proxies
}

// checkPartition partitions the two zones of a contended pool while traffic swings, with no other fault, and checks that
// callers are served on both sides, and after the partition, at least two thirds as often as before.
func (w *deployment) checkPartition(r *rand.Rand, log func(format string, args ...any)) {
	w.stateMu.Lock()
	w.contended = true
	w.configure()
	w.stateMu.Unlock()
	time.Sleep(partitionSettleTime)
	kind := cutKinds[r.IntN(len(cutKinds))]
	before := w.servedShares(4000, partitionCheckTime)
	var during map[string]float64
	w.recordSpan(&w.endpointFaults, func() {
		w.cutProxies(w.paths.betweenZones(), kind, func() {
			time.Sleep(partitionSettleTime)
			during = w.servedShares(5000, partitionCheckTime)
		})
	})
	time.Sleep(partitionSettleTime)
	after := w.servedShares(6000, partitionCheckTime)
	log("zones partitioned, mode %d: share served by zone before %v, during %v, after %v", kind, before, during, after)
	for _, zone := range []string{"a", "b"} {
		if min(during[zone], after[zone]) < before[zone]*2/3 {
			w.recordViolation("recover: zone %s served %.2f before a partition, %.2f during and %.2f after it",
				zone, before[zone], during[zone], after[zone])
		}
	}
}

// servedShares sends requests to all entries by callers that are numbered from firstCaller on, with swinging traffic, and
// returns the share of them that was served, by the zone of the entry.
func (w *deployment) servedShares(firstCaller int, total time.Duration) map[string]float64 {
	var mu sync.Mutex
	var group errgroup.Group
	served, sent := make(map[string]float64), make(map[string]float64)
	started := time.Now()
	for i := range partitionCallers * len(w.entries) {
		group.Go(func() error {
			e := w.entries[i%len(w.entries)]
			c := newCaller(w, firstCaller+i)
			for ; time.Since(started) < total; time.Sleep(40 * time.Millisecond) {
				if i%2 == 1 && time.Since(started)%swingPeriod >= swingPeriod/2 {
					continue
				}
				a := c.newAttempt(e.number)
				a.key, a.account = permanentKey, permanentAccount
				ok := c.send(a)
				mu.Lock()
				if !a.cancelled {
					sent[zoneOf(e.number)]++
				}
				if ok && !a.cancelled {
					served[zoneOf(e.number)]++
				}
				mu.Unlock()
			}
			c.client.CloseIdleConnections()
			return nil
		})
	}
	_ = group.Wait()
	for _, zone := range []string{"a", "b"} {
		served[zone] /= max(1, sent[zone])
	}
	return served
}
