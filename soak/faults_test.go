package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/cierzo"
	"wisteriadyke/standin/faultproxy"
)

const (
	// shortest and longest bound how long a fault lasts.
	shortest = 150 * time.Millisecond
	longest  = 2500 * time.Millisecond
	// gap is the mean time between the beginnings of two faults.
	gap = 350 * time.Millisecond
	// aftermath is how long after a fault its consequences excuse what an entry does: time-outs of its own have to pass.
	aftermath = 1500 * time.Millisecond
)

// fault kinds run for a while and undo what they did.
type faultKind struct {
	name string
	run  func(w *world, r *rand.Rand, lasts time.Duration)
}

// faultKinds are all faults that the soak knows.
var faultKinds = []faultKind{
	{"entry killed", (*world).killEntry},
	{"entry stopped gracefully", (*world).stopEntry},
	{"entry stopped gracefully", (*world).stopEntry},
	{"entry paused", (*world).pauseEntry},
	{"entry told to read its settings", (*world).hangUpEntry},
	{"store away", (*world).spoilStore},
	{"store away for one entry", (*world).spoilDoor},
	{"way to the store spoiled", (*world).spoilStoreWay},
	{"way between entries spoiled", (*world).spoilPeers},
	{"way from callers spoiled", (*world).spoilCallers},
	{"way to an endpoint spoiled", (*world).spoilEndpointWay},
	{"endpoint in trouble", (*world).troubleEndpoint},
	{"endpoint leaves", (*world).leave},
	{"key removed", (*world).removeKey},
	{"configuration changed", (*world).reconfigure},
}

// modes are those of a proxy that spoil something.
var modes = []faultproxy.Mode{
	faultproxy.Delay, faultproxy.Reset, faultproxy.StallToServer, faultproxy.StallToClient, faultproxy.StallBoth,
}

// schedule runs faults one after the other, which overlap, until the time is over, and waits for all to end.
func (w *world) schedule(r *rand.Rand, total time.Duration, log func(format string, args ...any)) {
	var group errgroup.Group
	begun := time.Now()
	for time.Since(begun) < total {
		k := faultKinds[r.IntN(len(faultKinds))]
		lasts := shortest + time.Duration(r.Int64N(int64(longest-shortest)))
		// Each fault draws from numbers of its own, so that the order of goroutines doesn't change what a seed means.
		own := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		log("%6.2fs %s for %v", time.Since(begun).Seconds(), k.name, lasts.Round(time.Millisecond))
		group.Go(func() error {
			k.run(w, own, lasts)
			return nil
		})
		time.Sleep(time.Duration(r.Int64N(int64(2 * gap))))
	}
	_ = group.Wait()
}

// entry returns one of the entries.
func (w *world) entry(r *rand.Rand) *entry {
	return w.entries[r.IntN(len(w.entries))]
}

// disturb notes that an entry is disturbed while something is done; it counts from now on, since the oracle also looks
// while the soak runs.
func (w *world) disturb(e *entry, do func()) {
	s := &span{from: time.Now(), to: time.Now().Add(time.Hour)}
	w.changes.Lock()
	w.disturbed[e.number] = append(w.disturbed[e.number], s)
	w.changes.Unlock()
	do()
	w.changes.Lock()
	s.to = time.Now().Add(aftermath)
	w.changes.Unlock()
}

// during notes a stretch in one of the lists of the evidence while something is done.
func (w *world) during(list *[]*span, do func()) {
	s := &span{from: time.Now(), to: time.Now().Add(time.Hour)}
	w.changes.Lock()
	*list = append(*list, s)
	w.changes.Unlock()
	do()
	w.changes.Lock()
	s.to = time.Now().Add(aftermath)
	w.changes.Unlock()
}

// killEntry kills an entry and starts it again.
func (w *world) killEntry(r *rand.Rand, lasts time.Duration) {
	e := w.entry(r)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	w.disturb(e, func() {
		<-e.signal(syscall.SIGKILL)
		time.Sleep(lasts)
		w.restart(e)
	})
}

// stopEntry stops an entry gracefully and starts it again.
func (w *world) stopEntry(r *rand.Rand, lasts time.Duration) {
	e := w.entry(r)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	s := &span{from: time.Now(), to: time.Now().Add(time.Hour)}
	w.changes.Lock()
	w.stopping[e.number] = append(w.stopping[e.number], s)
	w.changes.Unlock()
	exited := e.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(graceTime + time.Second):
		w.complain("entry %d is still there %v after the signal to stop", e.number, graceTime+time.Second)
		w.disturb(e, func() { <-e.signal(syscall.SIGKILL) })
	}
	w.changes.Lock()
	s.to = time.Now()
	w.changes.Unlock()
	w.disturb(e, func() {
		time.Sleep(lasts)
		w.restart(e)
	})
}

// restart starts an entry again.
func (w *world) restart(e *entry) {
	if err := e.start(w); err != nil && !w.anyStoreFault() {
		w.complain("%v", err)
	}
}

// pauseEntry pauses an entry.
func (w *world) pauseEntry(r *rand.Rand, lasts time.Duration) {
	e := w.entry(r)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	w.disturb(e, func() {
		e.signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		e.signal(syscall.SIGCONT)
	})
}

// hangUpEntry lets an entry read its settings again.
func (w *world) hangUpEntry(r *rand.Rand, _ time.Duration) {
	e := w.entry(r)
	if !e.busy.TryLock() {
		return
	}
	defer e.busy.Unlock()
	e.signal(syscall.SIGHUP)
}

// storeFaultKinds are the faults of the store that spoil something.
var storeFaultKinds = []cierzo.Fault{cierzo.FaultUnavailable, cierzo.FaultReset, cierzo.FaultHang, cierzo.FaultLostResponse, cierzo.FaultCompacted}

// spoilStore lets the store have a fault for all.
func (w *world) spoilStore(r *rand.Rand, lasts time.Duration) {
	f := storeFaultKinds[r.IntN(len(storeFaultKinds))]
	w.during(&w.storeFaults, func() {
		for _, e := range w.entries {
			e.doorFault.set(f)
		}
		time.Sleep(lasts)
		for _, e := range w.entries {
			e.doorFault.set(cierzo.FaultNone)
		}
	})
}

// spoilDoor lets the store have a fault for one entry.
func (w *world) spoilDoor(r *rand.Rand, lasts time.Duration) {
	e, f := w.entry(r), storeFaultKinds[r.IntN(len(storeFaultKinds))]
	w.during(&w.storeFaults, func() {
		e.doorFault.set(f)
		time.Sleep(lasts)
		e.doorFault.set(cierzo.FaultNone)
	})
}

// spoilStoreWay spoils the way from one entry to the store.
func (w *world) spoilStoreWay(r *rand.Rand, lasts time.Duration) {
	e := w.entry(r)
	w.during(&w.storeFaults, func() { spoil(e.store, r, lasts) })
}

// spoilPeers spoils the way from the other entries to one.
func (w *world) spoilPeers(r *rand.Rand, lasts time.Duration) {
	spoil(w.entry(r).peers, r, lasts)
}

// spoilCallers spoils the way from callers to an entry.
func (w *world) spoilCallers(r *rand.Rand, lasts time.Duration) {
	e := w.entry(r)
	w.disturb(e, func() { spoil(e.callers, r, lasts) })
}

// spoilEndpointWay spoils the way to an endpoint.
func (w *world) spoilEndpointWay(r *rand.Rand, lasts time.Duration) {
	e := w.endpoints[r.IntN(len(w.endpoints))]
	w.during(&w.endpointFaults, func() { spoil(e.proxy, r, lasts) })
}

// spoil sets a proxy to some mode for a while.
func spoil(p *faultproxy.Proxy, r *rand.Rand, lasts time.Duration) {
	p.SetMode(modes[r.IntN(len(modes))])
	time.Sleep(lasts)
	p.SetMode(faultproxy.PassThrough)
}

// troubleEndpoint lets an endpoint treat its requests badly.
func (w *world) troubleEndpoint(r *rand.Rand, lasts time.Duration) {
	e := w.endpoints[r.IntN(len(w.endpoints))]
	t := trouble(1 + r.IntN(int(troubleExtra)))
	w.during(&w.endpointFaults, func() {
		e.set(t)
		time.Sleep(lasts)
		e.set(troubleNone)
	})
}

// leave lets an endpoint tell that it leaves, serve on for a while and come back under another name.
func (w *world) leave(r *rand.Rand, lasts time.Duration) {
	i := r.IntN(len(w.endpoints))
	w.changes.Lock()
	e := w.endpoints[i]
	if _, gone := w.leaving[e.ID]; gone {
		w.changes.Unlock()
		return
	}
	w.leaving[e.ID] = time.Now()
	w.changes.Unlock()
	e.Register(w.store, "draining")
	time.Sleep(drainTime + lasts)
	w.store.Remove("servers", e.ID)
	w.changes.Lock()
	defer w.changes.Unlock()
	w.replaced++
	next, err := newEndpoint(w, fmt.Sprintf("%s-%d", e.Service, w.replaced+100), e.Service, e.Zone)
	if err != nil {
		w.t.Error(err)
		return
	}
	w.gone = append(w.gone, e)
	w.endpoints[i] = next
}

// removeKey gives an account a key, or takes its key away.
func (w *world) removeKey(*rand.Rand, time.Duration) {
	w.changes.Lock()
	defer w.changes.Unlock()
	for account, keys := range w.keys {
		if account != lastingAccount {
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
func (w *world) reconfigure(*rand.Rand, time.Duration) {
	w.changes.Lock()
	defer w.changes.Unlock()
	w.configure()
}

// anyStoreFault tells whether the store or the way to it was spoiled lately.
func (w *world) anyStoreFault() bool {
	w.changes.Lock()
	defer w.changes.Unlock()
	return anyOverlap(w.storeFaults, time.Now().Add(-startTime), time.Now())
}

// complain notes a broken promise that no attempt shows.
func (w *world) complain(format string, args ...any) {
	w.changes.Lock()
	defer w.changes.Unlock()
	w.unexpected = append(w.unexpected, fmt.Sprintf(format, args...))
}
