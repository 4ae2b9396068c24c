package platform_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/io/platform"
	standin "wisteriadyke/standin/platform"
)

// zones are the availability zones of the deployment.
var zones = []fleet.Zone{"a", "b", "c"}

const (
	// gossipInterval is the time between two gossip exchanges of an entry with a peer.
	gossipInterval = 200 * time.Millisecond
	// memberLag is the delay until entries detect that another entry has started or stopped.
	memberLag = 3 * time.Second
	// applyTimeout is the time within which all reachable entries have to apply a change.
	applyTimeout = 5 * time.Second
)

// deployment is a deployment in virtual time: real pollers and record updaters, and the store and instance list of the
// platform stand-in without its HTTP server.
type deployment struct {
	t         *testing.T
	ctx       context.Context
	group     *errgroup.Group
	store     *standin.Store
	instances *standin.Instances

	mu      sync.Mutex
	random  *rand.Rand
	entries map[fleet.EntryID]*entry
	// cutZones and blockedEntries are disconnected from the platform.
	cutZones       map[fleet.Zone]bool
	blockedEntries map[fleet.EntryID]bool
	// pauses holds the time for which an entry is paused before it handles the next instance list.
	pauses map[fleet.EntryID]time.Duration
	// isolatedZones are disconnected from the entries of other zones.
	isolatedZones map[fleet.Zone]bool
	// lateWriteShare is the share of transactions that return ErrUnknownOutcome at once and are applied up to 3 seconds
	// later.
	lateWriteShare float64
	// marks holds the mark of each configuration revision that an entry has applied.
	marks map[uint64]float64
}

// entry is one entry instance.
type entry struct {
	id           fleet.EntryID
	zone         fleet.Zone
	clusterState *clusterstate.State
	gossipStore  *gossip.Store
	stop         context.CancelFunc
}

// newDeployment starts a deployment with two entries and two engines in each zone.
func newDeployment(ctx context.Context, t *testing.T, group *errgroup.Group, seed uint64) *deployment {
	d := &deployment{
		t: t, ctx: ctx, group: group,
		store:          &standin.Store{},
		instances:      &standin.Instances{},
		random:         rand.New(rand.NewPCG(seed, 1)),
		entries:        make(map[fleet.EntryID]*entry),
		cutZones:       make(map[fleet.Zone]bool),
		blockedEntries: make(map[fleet.EntryID]bool),
		pauses:         make(map[fleet.EntryID]time.Duration),
		isolatedZones:  make(map[fleet.Zone]bool),
		marks:          make(map[uint64]float64),
	}
	d.store.Faults.Seed(seed)
	for i := range 6 {
		d.start(fleet.EntryID(fmt.Sprintf("entry-%d", i)), zones[i%3])
		d.instances.Put(standin.Instance{
			ID: fmt.Sprintf("engine-%d", i), Kind: fleet.KindEngine, Pool: "reader", Zone: zones[i%3], State: fleet.StateLive,
		})
	}
	group.Go(d.gossip)
	group.Go(d.updateMembers)
	return d
}

// onOneProcessor limits the rest of a test to one processor.
//
// The Go 1.26 runtime runs the timers of a synctest bubble on several threads with one context of the race detector,
// which crashes sporadically when two of them are due at the same time.
func onOneProcessor(t *testing.T) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// start starts an entry without any state.
func (d *deployment) start(id fleet.EntryID, zone fleet.Zone) {
	ctx, stop := context.WithCancel(d.ctx)
	e := &entry{id: id, zone: zone, clusterState: &clusterstate.State{}, gossipStore: &gossip.Store{}, stop: stop}
	d.mu.Lock()
	d.entries[id] = e
	d.mu.Unlock()
	poller := &platform.Poller{
		Client: &link{deployment: d, zone: zone, entry: id},
		State:  e.clusterState,
		Entry:  id,
		Zone:   zone,
		Gossip: e.gossipStore,
		Listed: &clusterstate.Table[fleet.EntryID, fleet.Entry]{},
	}
	d.group.Go(func() error { return poller.Run(ctx) })
	d.group.Go(func() error { return d.watchConfiguration(ctx, e) })
	d.group.Go(func() error { return d.watchZones(ctx, e) })
}

// kill stops an entry for good.
func (d *deployment) kill(id fleet.EntryID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, found := d.entries[id]; found {
		e.stop()
		delete(d.entries, id)
	}
}

// live returns the live entries in the order of their IDs.
func (d *deployment) live() []*entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*entry
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		live = append(live, d.entries[id])
	}
	return live
}

// watchConfiguration returns an error if the revision of an entry decreases or two entries apply different content
// under the same revision.
func (d *deployment) watchConfiguration(ctx context.Context, e *entry) error {
	var last uint64
	for {
		changed := e.clusterState.Configuration.Changed()
		configuration, found := e.clusterState.Configuration.Get(clusterstate.SingleKey{})
		if found {
			if configuration.Revision < last {
				return errors.Errorf("%s: revision decreased from %d to %d", e.id, last, configuration.Revision)
			}
			last = configuration.Revision
			if err := d.recordMark(configuration); err != nil {
				return errors.Wrap(err, string(e.id))
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// recordMark records the mark of an applied revision. It returns an error if an entry has applied the revision with
// another mark.
func (d *deployment) recordMark(configuration config.Configuration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	mark := markOf(configuration)
	if old, found := d.marks[configuration.Revision]; found && old != mark {
		return errors.Errorf("revision %d has marks %v and %v", configuration.Revision, old, mark)
	}
	d.marks[configuration.Revision] = mark
	return nil
}

// watchZones returns an error if the revision of a zone decreases at an entry.
func (d *deployment) watchZones(ctx context.Context, e *entry) error {
	last := make(map[fleet.Zone]uint64)
	for {
		changed := e.clusterState.Zones.Changed()
		for zone, state := range e.clusterState.Zones.Snapshot().Rows {
			if state.Revision < last[zone] {
				return errors.Errorf("%s: revision of zone %s decreased from %d to %d", e.id, zone, last[zone], state.Revision)
			}
			last[zone] = state.Revision
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// gossip lets every entry exchange all items with one random entry per gossipInterval, if it can reach that entry.
func (d *deployment) gossip() error {
	for d.sleep(gossipInterval) {
		live := d.live()
		for _, e := range live {
			peer := live[d.intN(len(live))]
			if !d.canReach(e.zone, peer.zone) {
				continue
			}
			for _, item := range e.gossipStore.List("") {
				peer.gossipStore.Put(item)
			}
			for _, item := range peer.gossipStore.List("") {
				e.gossipStore.Put(item)
			}
		}
	}
	return nil
}

// updateMembers sets at each entry the members of its zone: the entry itself and those that were live memberLag ago.
func (d *deployment) updateMembers() error {
	for {
		live := d.live()
		if !d.sleep(memberLag) {
			return nil
		}
		for _, e := range d.live() {
			rows := map[fleet.EntryID]fleet.Entry{e.id: {ID: e.id, Zone: e.zone, State: fleet.StateLive}}
			for _, other := range live {
				if other.zone == e.zone {
					rows[other.id] = fleet.Entry{ID: other.id, Zone: other.zone, State: fleet.StateLive}
				}
			}
			e.clusterState.Entries.Replace(rows)
		}
	}
}

// canReach reports whether entries of two zones can reach each other.
func (d *deployment) canReach(a, b fleet.Zone) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return a == b || !d.isolatedZones[a] && !d.isolatedZones[b]
}

// sleep waits for a duration and reports true, or returns false as soon as the deployment ends.
func (d *deployment) sleep(duration time.Duration) bool {
	if duration <= 0 {
		return d.ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// intN returns a random number in [0, n).
func (d *deployment) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(n)
}

// chance reports true with the given probability.
func (d *deployment) chance(p float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < p
}

// pause waits for a random time of at most longest and returns the result of sleep.
func (d *deployment) pause(longest time.Duration) bool {
	return d.sleep(time.Duration(d.intN(int(longest/time.Millisecond))+1) * time.Millisecond)
}

// link connects one entry to the platform. The zone "" stands for operators.
type link struct {
	*deployment
	zone  fleet.Zone
	entry fleet.EntryID
}

// blocked returns an error while the zone or the entry is disconnected from the platform.
func (l *link) blocked() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutZones[l.zone] || l.blockedEntries[l.entry] {
		return &platform.UnavailableError{Cause: errors.New("disconnected")}
	}
	return nil
}

// Transact implements platform.TableService. For a random share of the calls, it returns ErrUnknownOutcome at once and
// applies the writes up to 3 seconds later.
func (l *link) Transact(_ context.Context, _ string, writes []platform.Write) ([]int64, error) {
	if err := l.blocked(); err != nil {
		return nil, err
	}
	converted := make([]standin.Write, len(writes))
	for i, w := range writes {
		converted[i] = standin.Write{
			Key: standin.RowKey(w.Key), Value: w.Value, IfVersion: w.IfVersion, Delete: w.Delete,
		}
	}
	if l.chance(l.lateShare()) {
		l.group.Go(func() error {
			if l.pause(3 * time.Second) {
				_, _ = l.store.Transact(converted)
			}
			return nil
		})
		return nil, platform.ErrUnknownOutcome
	}
	versions, err := l.store.Transact(converted)
	return versions, clientError(err)
}

// lateShare returns lateWriteShare, which mu guards.
func (l *link) lateShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lateWriteShare
}

// Read implements platform.TableService.
func (l *link) Read(_ context.Context, keys []platform.RowKey) ([]platform.Row, error) {
	if err := l.blocked(); err != nil {
		return nil, err
	}
	converted := make([]standin.RowKey, len(keys))
	for i, k := range keys {
		converted[i] = standin.RowKey(k)
	}
	rows, err := l.store.Read(converted)
	return clientRows(rows), clientError(err)
}

// Scan implements platform.TableService.
func (l *link) Scan(_ context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	if err := l.blocked(); err != nil {
		return nil, err
	}
	rows, err := l.store.Scan(table, prefix, after, limit)
	return clientRows(rows), clientError(err)
}

// Instances implements platform.PollSource.
func (l *link) Instances(context.Context) ([]platform.Instance, error) {
	if err := l.blocked(); err != nil {
		return nil, err
	}
	if l.store.Faults.Settings().Outage {
		return nil, clientError(standin.ErrOutage)
	}
	var list []platform.Instance
	for _, instance := range l.instances.List() {
		list = append(list, platform.Instance(instance))
	}
	l.sleep(l.store.Faults.Settings().Delay + l.consumePause())
	return list, nil
}

// consumePause returns and clears the time for which the entry is paused before it handles the next instance list.
func (l *link) consumePause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := l.pauses[l.entry]
	delete(l.pauses, l.entry)
	return pause
}

// clientRows converts rows of the stand-in to rows of the client.
func clientRows(rows []standin.Row) []platform.Row {
	converted := make([]platform.Row, len(rows))
	for i, r := range rows {
		converted[i] = platform.Row{Key: platform.RowKey(r.Key), Value: r.Value, Version: r.Version}
	}
	return converted
}

// clientError converts an error of the stand-in to the error that the client returns for its response.
func clientError(err error) error {
	var conflict *standin.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &platform.ConflictError{}
	case errors.Is(err, standin.ErrAnswerLost):
		return platform.ErrUnknownOutcome
	default:
		return &platform.UnavailableError{Cause: err}
	}
}

// marked returns a configuration with the given mark, a number that identifies it. The mark is stored as the weight of
// its account.
func marked(mark float64) config.Configuration {
	return config.Configuration{
		Accounts: map[fleet.AccountID]config.Account{"cierzo": {
			Name: "cierzo", Weight: mark, KeyDigest: fmt.Sprintf("%064x", 1),
		}},
		Classes: map[fleet.ClassName]config.Class{"filing": {
			Name: "filing", Pool: "desk", Kind: fleet.KindService, StartTimeout: time.Second, FinishTimeout: time.Second, AtMostOnce: true,
		}},
	}
}

// markOf returns the mark of a configuration that marked returned.
func markOf(configuration config.Configuration) float64 {
	return configuration.Accounts["cierzo"].Weight
}
