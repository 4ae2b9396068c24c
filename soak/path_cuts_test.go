package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
	"wisteriadyke/standin/loopback"
)

const (
	// cutSettleTime is how long after the entries of a zone lost their paths to all endpoints their callers must be served
	// again, and cutServeTime how long they are then checked.
	cutSettleTime = 3 * time.Second
	cutServeTime  = time.Second
	// allowedCutFailures of the first tries, and one in cutFailureShare, may fail at the entries that are cut off.
	allowedCutFailures = 10
	cutFailureShare    = 50
	// maxCutPause bounds the time between two cuts.
	maxCutPause = 6 * time.Second
)

// cutKinds are the modes of the open connections during a cut; new ones are refused.
var cutKinds = []faultproxy.Mode{faultproxy.Reset, faultproxy.StallBoth, faultproxy.PassThrough}

// endpointPaths holds the proxies through which the entries of each zone reach each endpoint.
type endpointPaths struct {
	mu      sync.Mutex
	proxies map[string]map[string]*faultproxy.Proxy
	// zones holds the zone of each endpoint, and crossing the proxies through which the entries of the other zone reach
	// each entry.
	zones    map[string]string
	crossing map[string]crossingProxy
}

// add starts the proxies in front of an endpoint.
func (p *endpointPaths) add(w *deployment, id, zone string, target netip.AddrPort) error {
	byZone := make(map[string]*faultproxy.Proxy)
	for number := range 2 {
		listen, err := loopback.FreeAddress(w.t.Context())
		if err != nil {
			return err
		}
		proxy := &faultproxy.Proxy{Target: target, Listen: listen}
		if err := proxy.Start(); err != nil {
			return err
		}
		byZone[zoneOf(number)] = proxy
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proxies == nil {
		p.proxies = make(map[string]map[string]*faultproxy.Proxy)
		p.zones = make(map[string]string)
	}
	p.proxies[id], p.zones[id] = byZone, zone
	return nil
}

// ofZone returns the proxies through which the entries of a zone reach the endpoints.
func (p *endpointPaths) ofZone(zone string) []*faultproxy.Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	var proxies []*faultproxy.Proxy
	for _, byZone := range p.proxies {
		proxies = append(proxies, byZone[zone])
	}
	return proxies
}

// view returns the view of the store in which the endpoints have the addresses of a zone's proxies, and the entries of the
// other zone those of the crossing ones.
func (p *endpointPaths) view(zone string) cierzo.View {
	return func(table, key, value string) string {
		p.mu.Lock()
		proxy, found := p.proxies[key][zone]
		crossing, isEntry := p.crossing[key]
		p.mu.Unlock()
		switch {
		case table == "servers" && found:
			return cierzo.WithAddress(value, proxy.Address())
		case table == "entries" && isEntry && crossing.zone != zone:
			return cierzo.WithAddress(value, crossing.proxy.Address())
		}
		return value
	}
}

// end stops the proxies in front of an endpoint, so that it accepts no connection any more.
func (p *endpointPaths) end(id string) {
	p.mu.Lock()
	byZone := p.proxies[id]
	delete(p.proxies, id)
	p.mu.Unlock()
	for _, proxy := range byZone {
		proxy.Close()
	}
}

// close stops all proxies.
func (p *endpointPaths) close() {
	for number := range 2 {
		for _, proxy := range p.ofZone(zoneOf(number)) {
			proxy.Close()
		}
	}
	for _, c := range p.crossing {
		c.proxy.Close()
	}
}

// cutPaths cuts the paths from the entries of a zone to all endpoints while the function do runs.
func (w *deployment) cutPaths(zone string, kind faultproxy.Mode, do func()) {
	w.cutProxies(w.paths.ofZone(zone), kind, do)
}

// cutProxies cuts the connections through proxies while the function do runs.
func (w *deployment) cutProxies(proxies []*faultproxy.Proxy, kind faultproxy.Mode, do func()) {
	var group errgroup.Group
	ended := make(chan struct{})
	for _, proxy := range proxies {
		group.Go(func() error {
			return proxy.Refuse(func() {
				proxy.SetMode(kind)
				<-ended
				proxy.SetMode(faultproxy.PassThrough)
			})
		})
	}
	do()
	close(ended)
	if err := group.Wait(); err != nil {
		w.t.Error(err)
	}
}

// runPathCuts cuts the paths of a zone to all endpoints at random times, for the time total. It has its own random source,
// so that the other faults of a seed stay the same.
func (w *deployment) runPathCuts(r *rand.Rand, total time.Duration, log func(format string, args ...any)) {
	started := time.Now()
	for {
		pause := time.Duration(r.Int64N(int64(maxCutPause)))
		duration := minFaultDuration + time.Duration(r.Int64N(int64(cutSettleTime+cutServeTime)))
		zone, kind := zoneOf(r.IntN(2)), cutKinds[r.IntN(len(cutKinds))]
		if time.Since(started)+pause+duration > total {
			return
		}
		time.Sleep(pause)
		log("%6.2fs paths of zone %s to all endpoints cut for %v, mode %d", time.Since(started).Seconds(), zone,
			duration.Round(time.Millisecond), kind)
		w.recordSpan(&w.endpointFaults, func() {
			w.cutPaths(zone, kind, func() { time.Sleep(duration) })
		})
	}
}

// checkPathCut cuts the paths of one zone's entries to all endpoints, with no other fault, and checks that their callers
// are served from cutSettleTime on nearly as often as those of the others.
func (w *deployment) checkPathCut(r *rand.Rand, log func(format string, args ...any)) {
	zone, kind := zoneOf(r.IntN(2)), cutKinds[r.IntN(len(cutKinds))]
	log("paths of zone %s to all endpoints cut alone, mode %d", zone, kind)
	sent, served := make(map[bool]int), make(map[bool]int)
	w.recordSpan(&w.endpointFaults, func() {
		w.cutPaths(zone, kind, func() {
			time.Sleep(cutSettleTime)
			var mu sync.Mutex
			var group errgroup.Group
			for _, e := range w.entries {
				group.Go(func() error {
					c := newCaller(w, 3000+e.number)
					for end := time.Now().Add(cutServeTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
						a := c.newAttempt(e.number)
						for a.key != permanentKey {
							a = c.newAttempt(e.number)
						}
						ok := c.send(a)
						cutOff := zoneOf(e.number) == zone
						mu.Lock()
						if !a.cancelled {
							sent[cutOff]++
						}
						if ok && !a.cancelled {
							served[cutOff]++
						}
						mu.Unlock()
					}
					c.client.CloseIdleConnections()
					return nil
				})
			}
			_ = group.Wait()
		})
	})
	failed := sent[true] - served[true]
	tooMany := failed > allowedCutFailures+sent[true]/cutFailureShare
	// Two thirds of the share that the other entries serve, without division.
	if tooMany && 3*served[true]*sent[false] < 2*served[false]*sent[true] {
		w.recordViolation("recover: entries without a path to endpoints served %s, the others %s",
			fmt.Sprintf("%d of %d", served[true], sent[true]), fmt.Sprintf("%d of %d", served[false], sent[false]))
	}
}
