package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
)

const (
	// minFaultDuration and maxFaultDuration bound the random duration of a fault.
	minFaultDuration = 150 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// meanFaultInterval is the mean time between the starts of two consecutive faults.
	meanFaultInterval = 350 * time.Millisecond
	// maxRestorePause bounds the time between two restores of the store; maxRewriteDelay bounds the time after one until
	// operators and endpoints have written their rows again.
	maxRestorePause = 8 * time.Second
	maxRewriteDelay = 800 * time.Millisecond
	// excuseTime is how long after the end of a fault it still excuses violations, since the entry's own timeouts have to
	// expire first.
	excuseTime = 1500 * time.Millisecond
)

// faultKind is a kind of fault. run injects it, and removes it after the given duration if it does not end by itself.
type faultKind struct {
	name string
	run  func(w *deployment, r *rand.Rand, duration time.Duration)
}

// faultKinds lists the kinds to draw from; a kind that is listed twice is twice as likely.
var faultKinds = []faultKind{
	{"entry killed", (*deployment).killEntry},
	{"entry stopped gracefully", (*deployment).stopEntry},
	{"entry stopped gracefully", (*deployment).stopEntry},
	{"entry paused", (*deployment).pauseEntry},
	{"entry reloads its settings", (*deployment).reloadEntry},
	{"store fault", (*deployment).failStore},
	{"store fault for one entry", (*deployment).failStoreForEntry},
	{"store link disrupted", (*deployment).disruptStoreLink},
	{"peer link disrupted", (*deployment).disruptPeerLink},
	{"caller link disrupted", (*deployment).disruptCallerLink},
	{"endpoint link disrupted", (*deployment).disruptEndpointLink},
	{"endpoint fault", (*deployment).failEndpoint},
	{"endpoint drained", (*deployment).drainEndpoint},
	{"key removed", (*deployment).toggleKey},
	{"configuration changed", (*deployment).reconfigure},
}

// disruptiveModes are the proxy modes that disturb connections.
var disruptiveModes = []faultproxy.Mode{
	faultproxy.Delay, faultproxy.Reset, faultproxy.StallToServer, faultproxy.StallToClient, faultproxy.StallBoth,
}

// runFaults starts random faults, which may overlap, for the time total, and waits for all of them to end.
func (w *deployment) runFaults(r *rand.Rand, total time.Duration, log func(format string, args ...any)) {
	var group errgroup.Group
	started := time.Now()
	for time.Since(started) < total {
		k := faultKinds[r.IntN(len(faultKinds))]
		duration := minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
		// Each fault has its own random source, so that the order of goroutines doesn't change the faults of a seed.
		faultRand := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		log("%6.2fs %s for %v", time.Since(started).Seconds(), k.name, duration.Round(time.Millisecond))
		group.Go(func() error {
			k.run(w, faultRand, duration)
			return nil
		})
		time.Sleep(time.Duration(r.Int64N(int64(2 * meanFaultInterval))))
	}
	_ = group.Wait()
}

// randomEntry returns one of the entries.
func (w *deployment) randomEntry(r *rand.Rand) *entry {
	return w.entries[r.IntN(len(w.entries))]
}

// recordDisturbance records that an entry is disturbed while the function do runs and for excuseTime after that. The
// span is added before the call of do, with a provisional end, because the oracle checks concurrently.
func (w *deployment) recordDisturbance(e *entry, do func()) {
	s := &span{from: time.Now(), to: time.Now().Add(time.Hour)}
	w.stateMu.Lock()
	w.disturbed[e.number] = append(w.disturbed[e.number], s)
	w.stateMu.Unlock()
	do()
	w.stateMu.Lock()
	s.to = time.Now().Add(excuseTime)
	w.stateMu.Unlock()
}

// recordSpan adds a span that covers the call of do and excuseTime after that to one of the observations' lists, in the
// same way as recordDisturbance.
func (w *deployment) recordSpan(list *[]*span, do func()) {
	s := &span{from: time.Now(), to: time.Now().Add(time.Hour)}
	w.stateMu.Lock()
	*list = append(*list, s)
	w.stateMu.Unlock()
	do()
	w.stateMu.Lock()
	s.to = time.Now().Add(excuseTime)
	w.stateMu.Unlock()
}

// killEntry kills an entry and starts it again after the given duration.
func (w *deployment) killEntry(r *rand.Rand, duration time.Duration) {
	e := w.randomEntry(r)
	if !e.signalMu.TryLock() {
		return
	}
	defer e.signalMu.Unlock()
	w.recordDisturbance(e, func() {
		<-e.signal(syscall.SIGKILL)
		time.Sleep(duration)
		w.restart(e)
	})
}

// stopEntry stops an entry gracefully and starts it again after the given duration. Until the process has exited, the
// entry counts as stopping, not as disturbed, because a graceful stop must not interrupt requests. An entry that still
// runs a second after graceTime is a violation and is killed.
func (w *deployment) stopEntry(r *rand.Rand, duration time.Duration) {
	e := w.randomEntry(r)
	if !e.signalMu.TryLock() {
		return
	}
	defer e.signalMu.Unlock()
	s := &span{from: time.Now(), to: time.Now().Add(time.Hour)}
	w.stateMu.Lock()
	w.stopping[e.number] = append(w.stopping[e.number], s)
	w.stateMu.Unlock()
	exited := e.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime + time.Second):
		w.recordViolation("entry %d is still running %v after SIGTERM", e.number, graceTime+time.Second)
		w.recordDisturbance(e, func() { <-e.signal(syscall.SIGKILL) })
	}
	w.stateMu.Lock()
	s.to = time.Now()
	w.stateMu.Unlock()
	w.recordDisturbance(e, func() {
		time.Sleep(duration)
		w.restart(e)
	})
}

// restart starts an entry again; a failure is a violation unless there was a recent store fault.
func (w *deployment) restart(e *entry) {
	if err := e.start(w); err != nil && !w.recentStoreFault() {
		w.recordViolation("%v", err)
	}
}

// pauseEntry pauses the process of an entry with SIGSTOP and continues it after the given duration.
func (w *deployment) pauseEntry(r *rand.Rand, duration time.Duration) {
	e := w.randomEntry(r)
	if !e.signalMu.TryLock() {
		return
	}
	defer e.signalMu.Unlock()
	w.recordDisturbance(e, func() {
		e.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		e.signal(syscall.SIGCONT)
	})
}

// reloadEntry makes an entry reload its settings by SIGHUP.
func (w *deployment) reloadEntry(r *rand.Rand, _ time.Duration) {
	e := w.randomEntry(r)
	if !e.signalMu.TryLock() {
		return
	}
	defer e.signalMu.Unlock()
	e.signal(syscall.SIGHUP)
}

// storeFaultKinds are the faults of the store to draw from.
var storeFaultKinds = []cierzo.Fault{
	cierzo.FaultUnavailable, cierzo.FaultReset, cierzo.FaultHang, cierzo.FaultLostResponse, cierzo.FaultCompacted,
}

// failStore injects a store fault for all entries.
func (w *deployment) failStore(r *rand.Rand, duration time.Duration) {
	f := storeFaultKinds[r.IntN(len(storeFaultKinds))]
	w.recordSpan(&w.storeFaults, func() {
		for _, e := range w.entries {
			e.storeFault.set(f)
		}
		time.Sleep(duration)
		for _, e := range w.entries {
			e.storeFault.set(cierzo.FaultNone)
		}
	})
}

// failStoreForEntry injects a store fault for one entry.
func (w *deployment) failStoreForEntry(r *rand.Rand, duration time.Duration) {
	e, f := w.randomEntry(r), storeFaultKinds[r.IntN(len(storeFaultKinds))]
	w.recordSpan(&w.storeFaults, func() {
		e.storeFault.set(f)
		time.Sleep(duration)
		e.storeFault.set(cierzo.FaultNone)
	})
}

// disruptStoreLink disrupts the connections from one entry to the store.
func (w *deployment) disruptStoreLink(r *rand.Rand, duration time.Duration) {
	e := w.randomEntry(r)
	w.recordSpan(&w.storeFaults, func() { disrupt(e.store, r, duration) })
}

// disruptPeerLink disrupts the connections from the other entries to one entry.
func (w *deployment) disruptPeerLink(r *rand.Rand, duration time.Duration) {
	e := w.randomEntry(r)
	s := &span{from: time.Now(), to: time.Now().Add(duration + excuseTime)}
	w.stateMu.Lock()
	w.peerFaults[e.number] = append(w.peerFaults[e.number], s)
	w.stateMu.Unlock()
	disrupt(e.peers, r, duration)
}

// disruptCallerLink disrupts the connections from callers to one entry.
func (w *deployment) disruptCallerLink(r *rand.Rand, duration time.Duration) {
	e := w.randomEntry(r)
	w.recordDisturbance(e, func() { disrupt(e.callers, r, duration) })
}

// disruptEndpointLink disrupts the connections to one endpoint.
func (w *deployment) disruptEndpointLink(r *rand.Rand, duration time.Duration) {
	e := w.endpoints[r.IntN(len(w.endpoints))]
	w.recordSpan(&w.endpointFaults, func() { disrupt(e.proxy, r, duration) })
}

// disrupt sets a proxy to a random disruptive mode for the given duration.
func disrupt(p *faultproxy.Proxy, r *rand.Rand, duration time.Duration) {
	p.SetMode(disruptiveModes[r.IntN(len(disruptiveModes))])
	time.Sleep(duration)
	p.SetMode(faultproxy.PassThrough)
}

// failEndpoint gives an endpoint a random request fault for the given duration.
func (w *deployment) failEndpoint(r *rand.Rand, duration time.Duration) {
	e := w.endpoints[r.IntN(len(w.endpoints))]
	fault := requestFault(1 + r.IntN(int(requestFaultExtraAnswer)))
	w.recordSpan(&w.endpointFaults, func() {
		e.setFault(fault)
		time.Sleep(duration)
		e.setFault(requestFaultNone)
	})
}

// drainEndpoint registers an endpoint as draining. After drainTime and the given duration it replaces the endpoint by
// one with another ID. It does nothing if the endpoint is already draining.
func (w *deployment) drainEndpoint(r *rand.Rand, duration time.Duration) {
	i := r.IntN(len(w.endpoints))
	w.stateMu.Lock()
	e := w.endpoints[i]
	if _, draining := w.drainingSince[e.ID]; draining {
		w.stateMu.Unlock()
		return
	}
	w.drainingSince[e.ID] = time.Now()
	w.stateMu.Unlock()
	e.Register(w.store, "draining")
	time.Sleep(drainTime + duration)
	w.store.Remove("servers", e.ID)
	w.replace(e)
}

// replace replaces an endpoint by one with another ID, unless that was done.
func (w *deployment) replace(e *endpoint) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	i := slices.Index(w.endpoints, e)
	if i < 0 {
		return
	}
	w.replacedCount++
	replacement, err := newEndpoint(w, fmt.Sprintf("%s-%d", e.Service, w.replacedCount+100), e.Service, e.Zone)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.removedEndpoints = append(w.removedEndpoints, e)
	w.endpoints[i] = replacement
}

// toggleKey removes the account other than permanentAccount, together with its key, from the configuration. If there is
// no such account, it adds one with a new key.
func (w *deployment) toggleKey(*rand.Rand, time.Duration) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	for account, keys := range w.keys {
		if account != permanentAccount {
			delete(w.keys, account)
			w.configure()
			w.removedKeys[keys[0]] = time.Now()
			return
		}
	}
	key := fmt.Sprintf("key-%d", w.version)
	w.keys["account-of-"+key] = []string{key}
	w.configure()
}

// reconfigure writes the same configuration under the next version.
func (w *deployment) reconfigure(*rand.Rand, time.Duration) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.configure()
}

// runRestores lets the store come back from an older copy at random times, for the time total. It has its own random
// source, so that the other faults of a seed stay the same.
func (w *deployment) runRestores(r *rand.Rand, total time.Duration, log func(format string, args ...any)) {
	started := time.Now()
	for {
		pause := time.Duration(r.Int64N(int64(maxRestorePause)))
		age := minFaultDuration + time.Duration(r.Int64N(int64(maxFaultDuration-minFaultDuration)))
		rewriteDelay := time.Duration(r.Int64N(int64(maxRewriteDelay)))
		if time.Since(started)+pause+age > total {
			return
		}
		time.Sleep(pause)
		copied := w.store.Copy()
		time.Sleep(age)
		log("%6.2fs store comes back from a copy that is %v old", time.Since(started).Seconds(), age.Round(time.Millisecond))
		w.recordSpan(&w.storeFaults, func() {
			w.store.Restore(copied)
			time.Sleep(rewriteDelay)
			w.rewriteRows()
		})
	}
}

// rewriteRows writes again what operators and endpoints have written: the current configuration and the states of all
// endpoints.
func (w *deployment) rewriteRows() {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	cierzo.Configuration(w.store, w.version, w.keys, cierzo.Routes()...)
	for _, e := range w.endpoints {
		state := "ready"
		if _, draining := w.drainingSince[e.ID]; draining {
			state = "draining"
		}
		e.Register(w.store, state)
	}
	for _, e := range w.removedEndpoints {
		if _, found := w.store.Row("servers", e.ID); found {
			w.store.Remove("servers", e.ID)
		}
	}
}

// recentStoreFault reports whether the store or the connections to it had a fault within the last startTime.
func (w *deployment) recentStoreFault() bool {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	return anyOverlap(w.storeFaults, time.Now().Add(-startTime), time.Now())
}

// recordViolation records a violation that is not visible in the attempts.
func (w *deployment) recordViolation(format string, args ...any) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	w.otherViolations = append(w.otherViolations, fmt.Sprintf(format, args...))
}
