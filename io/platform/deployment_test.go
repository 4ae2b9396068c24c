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

// zones are the availability zones of the tests.
var zones = []fleet.Zone{"a", "b", "c"}

const (
	// gossipInterval is the time between two exchanges of an entry with a peer.
	gossipInterval = 200 * time.Millisecond
	// memberLag is the time after which entries know who lives.
	memberLag = 3 * time.Second
	// inForce is the bound after which a change is in force at all reachable entries.
	inForce = 5 * time.Second
)

// deployment is a deployment in virtual time: real pollers and revisers over the state machine of the platform stand-in.
type deployment struct {
	t         *testing.T
	ctx       context.Context
	group     *errgroup.Group
	store     *standin.Store
	instances *standin.Instances

	mu       sync.Mutex
	random   *rand.Rand
	entries  map[fleet.EntryID]*entry
	cut      map[fleet.Zone]bool
	barred   map[fleet.EntryID]bool
	paused   map[fleet.EntryID]time.Duration
	isolated map[fleet.Zone]bool
	lateness float64
	seen     map[uint64]float64
}

// entry is one entry instance.
type entry struct {
	id     fleet.EntryID
	zone   fleet.Zone
	board  *clusterstate.State
	spread *gossip.Store
	stop   context.CancelFunc
}

// newDeployment starts two entries in each zone.
func newDeployment(ctx context.Context, t *testing.T, group *errgroup.Group, seed uint64) *deployment {
	d := &deployment{
		t: t, ctx: ctx, group: group,
		store:     &standin.Store{},
		instances: &standin.Instances{},
		random:    rand.New(rand.NewPCG(seed, 1)),
		entries:   make(map[fleet.EntryID]*entry),
		cut:       make(map[fleet.Zone]bool),
		barred:    make(map[fleet.EntryID]bool),
		paused:    make(map[fleet.EntryID]time.Duration),
		isolated:  make(map[fleet.Zone]bool),
		seen:      make(map[uint64]float64),
	}
	d.store.Faults.Seed(seed)
	for i := range 6 {
		d.start(fleet.EntryID(fmt.Sprintf("entry-%d", i)), zones[i%3])
		d.instances.Put(standin.Instance{
			ID: fmt.Sprintf("engine-%d", i), Kind: fleet.KindEngine, Pool: "reader", Zone: zones[i%3], State: fleet.StateLive,
		})
	}
	group.Go(d.gossip)
	group.Go(d.tellMembers)
	return d
}

// onOneProcessor runs the rest of a test on one processor.
//
// The runtime of Go 1.26 runs the timers of a synctest bubble on several threads with one context of the race detector,
// which crashes it now and then when two of them are due at once.
func onOneProcessor(t *testing.T) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// start runs an entry.
func (d *deployment) start(id fleet.EntryID, zone fleet.Zone) {
	ctx, stop := context.WithCancel(d.ctx)
	e := &entry{id: id, zone: zone, board: &clusterstate.State{}, spread: &gossip.Store{}, stop: stop}
	d.mu.Lock()
	d.entries[id] = e
	d.mu.Unlock()
	poller := &platform.Poller{
		Client: &link{deployment: d, zone: zone, entry: id},
		State:  e.board,
		Entry:  id,
		Zone:   zone,
		Gossip: e.spread,
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

// live returns the live entries in the order of their names.
func (d *deployment) live() []*entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*entry
	for _, id := range slices.Sorted(maps.Keys(d.entries)) {
		live = append(live, d.entries[id])
	}
	return live
}

// watchConfiguration fails the test when an entry goes back or two entries disagree on a revision.
func (d *deployment) watchConfiguration(ctx context.Context, e *entry) error {
	var last uint64
	for {
		changed := e.board.Configuration.Changed()
		configuration, found := e.board.Configuration.Get(clusterstate.SingleKey{})
		if found {
			if configuration.Revision < last {
				return errors.Errorf("%s went back from revision %d to %d", e.id, last, configuration.Revision)
			}
			last = configuration.Revision
			if err := d.noteSeen(configuration); err != nil {
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

// noteSeen keeps what a revision holds and refuses another content under the same revision.
func (d *deployment) noteSeen(configuration config.Configuration) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	mark := markOf(configuration)
	if old, found := d.seen[configuration.Revision]; found && old != mark {
		return errors.Errorf("revision %d holds change %v and change %v", configuration.Revision, old, mark)
	}
	d.seen[configuration.Revision] = mark
	return nil
}

// watchZones fails the test when the state of a zone goes back at an entry.
func (d *deployment) watchZones(ctx context.Context, e *entry) error {
	last := make(map[fleet.Zone]uint64)
	for {
		changed := e.board.Zones.Changed()
		for zone, state := range e.board.Zones.Snapshot().Rows {
			if state.Revision < last[zone] {
				return errors.Errorf("%s: zone %s went back from revision %d to %d", e.id, zone, last[zone], state.Revision)
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

// gossip lets every entry exchange all items with one reachable peer at a time.
func (d *deployment) gossip() error {
	for d.sleep(gossipInterval) {
		live := d.live()
		for _, e := range live {
			peer := live[d.intN(len(live))]
			if !d.reaches(e.zone, peer.zone) {
				continue
			}
			for _, item := range e.spread.List("") {
				peer.spread.Put(item)
			}
			for _, item := range peer.spread.List("") {
				e.spread.Put(item)
			}
		}
	}
	return nil
}

// tellMembers tells each entry which entries of its zone lived a while ago.
func (d *deployment) tellMembers() error {
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
			e.board.Entries.Replace(rows)
		}
	}
}

// reaches tells whether entries of two zones reach each other.
func (d *deployment) reaches(a, b fleet.Zone) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return a == b || !d.isolated[a] && !d.isolated[b]
}

// sleep waits and reports whether the deployment goes on.
func (d *deployment) sleep(length time.Duration) bool {
	if length <= 0 {
		return d.ctx.Err() == nil
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-d.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// intN returns a random number below n.
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

// pause waits for a random time up to most.
func (d *deployment) pause(most time.Duration) bool {
	return d.sleep(time.Duration(d.intN(int(most/time.Millisecond))+1) * time.Millisecond)
}

// link is the way from one entry to the platform; the zone "" stands for operators.
type link struct {
	*deployment
	zone  fleet.Zone
	entry fleet.EntryID
}

// blocked returns an error while the zone or the entry is cut off from the platform.
func (l *link) blocked() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut[l.zone] || l.barred[l.entry] {
		return &platform.UnavailableError{Cause: errors.New("cut off")}
	}
	return nil
}

// Transact implements platform.TableService; now and then a write takes effect long after its caller has given up.
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
	if l.chance(l.late()) {
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

// late returns the share of writes that take effect late.
func (l *link) late() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lateness
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
	l.sleep(l.store.Faults.Settings().Delay + l.takePause())
	return list, nil
}

// takePause returns for how long the entry is paused with the next answer in its hands, once.
func (l *link) takePause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := l.paused[l.entry]
	delete(l.paused, l.entry)
	return pause
}

// clientRows turns rows of the stand-in into those of the client.
func clientRows(rows []standin.Row) []platform.Row {
	converted := make([]platform.Row, len(rows))
	for i, r := range rows {
		converted[i] = platform.Row{Key: platform.RowKey(r.Key), Value: r.Value, Version: r.Version}
	}
	return converted
}

// clientError turns an error of the stand-in into the one that the client makes of its answer.
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

// marked returns a configuration that is told apart by its mark.
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

// markOf returns the mark of a configuration.
func markOf(configuration config.Configuration) float64 {
	return configuration.Accounts["cierzo"].Weight
}
