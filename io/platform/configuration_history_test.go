package platform_test

import (
	"context"
	"fmt"
	"math"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/io/platform"
	standin "wisteriadyke/standin/platform"
)

// Environment variables of the histories of configuration: how many seeds to run, or the only one.
const (
	configurationSeeds = "CONFIGURATION_SEEDS"
	configurationSeed  = "CONFIGURATION_SEED"
)

const (
	// faultTime is how long a schedule has faults.
	faultTime = 30 * time.Second
	// historyTimeout bounds the check of one history.
	historyTimeout = 30 * time.Second
)

// seedRange returns the first seed and the number of seeds to run.
func seedRange(t *testing.T) (first, count uint64) {
	t.Helper()
	number := func(name string, fallback uint64) uint64 {
		text, found := os.LookupEnv(name)
		if !found {
			return fallback
		}
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		return n
	}
	if seed := number(configurationSeed, 0); seed > 0 {
		return seed, 1
	}
	return 1, number(configurationSeeds, 200)
}

func TestConfigurationHistories(t *testing.T) {
	onOneProcessor(t)
	first, count := seedRange(t)
	var total tallies
	for seed := first; seed < first+count; seed++ {
		ok := t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { total.add(runSchedule(t, seed)) })
		})
		if !ok {
			t.Fatalf("failing seed %d; run it alone by %s=%d", seed, configurationSeed, seed)
		}
	}
	t.Logf("%d seeds: %+v", count, total)
	if count >= 100 && (total.accepted == 0 || total.conflicts == 0 || total.unknown == 0 || total.readBack == 0) {
		t.Errorf("the schedules miss an outcome: %+v", total)
	}
}

// tallies counts the outcomes of publishing.
type tallies struct {
	accepted, conflicts, unknown, unavailable, readBack, zoneChanges int
}

// add adds the outcomes of a schedule.
func (y *tallies) add(other tallies) {
	y.accepted += other.accepted
	y.conflicts += other.conflicts
	y.unknown += other.unknown
	y.unavailable += other.unavailable
	y.readBack += other.readBack
	y.zoneChanges += other.zoneChanges
}

// runSchedule runs one schedule of faults and checks its history.
func runSchedule(t *testing.T, seed uint64) tallies {
	ctx, stop := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	d := newDeployment(ctx, t, group, seed)
	h := &publishing{deployment: d, begun: time.Now()}
	var work errgroup.Group
	for p := range 3 {
		work.Go(func() error { return h.publisher(p) })
	}
	work.Go(h.operator)
	work.Go(h.operator)
	work.Go(h.faults)
	if err := work.Wait(); err != nil {
		t.Error(err)
	}
	d.heal()
	d.sleep(inForce)
	h.checkInForce()
	h.checkService()
	stop()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	h.checkMarks()
	h.checkHistory()
	return h.counts
}

// heal ends all faults.
func (d *deployment) heal() {
	d.store.Faults.Set(standin.FaultSettings{})
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.cut)
	clear(d.isolated)
	d.lateness = 0
}

// outcome is how a publication ended.
type outcome int

// The outcomes of a publication.
const (
	accepted outcome = iota + 1
	conflicted
	unknown
	unavailable
)

// publication is the input of one operation.
type publication struct {
	base uint64
	mark float64
}

// published is the output of one operation.
type published struct {
	outcome  outcome
	revision uint64
}

// publishing is the history of one schedule.
type publishing struct {
	*deployment
	begun time.Time

	mu      sync.Mutex
	next    float64
	history []porcupine.Operation
	counts  tallies
}

// publisher reads and publishes again and again, racing with others.
func (h *publishing) publisher(client int) error {
	for time.Since(h.begun) < faultTime && h.pause(3*time.Second) {
		reviser := platform.RecordUpdater{Tables: &link{deployment: h.deployment}}
		old, err := reviser.ReadConfiguration(h.ctx)
		if errors.Is(err, platform.ErrUnavailable) {
			continue
		}
		if err != nil {
			return err
		}
		h.pause(time.Second)
		h.publish(client, reviser, old)
	}
	return nil
}

// publish publishes a configuration of its own and notes the operation.
func (h *publishing) publish(client int, reviser platform.RecordUpdater, old platform.StoredConfiguration) {
	h.mu.Lock()
	h.next++
	in := publication{base: old.Head.Latest().Revision, mark: h.next}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, time.Duration(h.intN(8)+1)*time.Second)
	defer cancel()
	call := time.Since(h.begun)
	change := platform.Change{Token: fmt.Sprintf("token-%v", in.mark), By: fmt.Sprintf("operator-%d", client), At: time.Now()}
	lost := h.store.Stats().LostAnswers
	change, err := reviser.Publish(ctx, old, marked(in.mark), change)
	out := published{revision: change.Revision}
	h.mu.Lock()
	defer h.mu.Unlock()
	end := int64(time.Since(h.begun))
	switch {
	case err == nil:
		out.outcome = accepted
		h.counts.accepted++
		if h.store.Stats().LostAnswers > lost {
			h.counts.readBack++
		}
	case errors.Is(err, platform.ErrConflict):
		out.outcome = conflicted
		h.counts.conflicts++
	case errors.Is(err, platform.ErrUnknownOutcome):
		out.outcome = unknown
		h.counts.unknown++
		end = math.MaxInt64
	default:
		out.outcome = unavailable
		h.counts.unavailable++
	}
	h.history = append(h.history, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(call), Output: out, Return: end,
	})
}

// operator drains and restores zones, racing with others, and never takes the last zone out of service.
func (h *publishing) operator() error {
	for time.Since(h.begun) < faultTime && h.pause(2*time.Second) {
		if err := h.changeZone(zones[h.intN(len(zones))]); err != nil && !expected(err) {
			return err
		}
	}
	return nil
}

// expected tells whether an error is one of those by which a change is refused.
func expected(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) ||
		errors.Is(err, platform.ErrUnavailable)
}

// changeZone turns the state of one zone round.
func (h *publishing) changeZone(zone fleet.Zone) error {
	reviser := platform.RecordUpdater{Tables: &link{deployment: h.deployment}}
	ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
	defer cancel()
	order, err := reviser.ReadZoneOrder(ctx)
	if err != nil {
		return err
	}
	states, err := reviser.ReadZones(ctx)
	if err != nil {
		return err
	}
	h.pause(time.Second)
	old, err := reviser.ReadZone(ctx, zone)
	if err != nil {
		return err
	}
	if !old.State.Drained && drainedOf(states) == len(zones)-1 {
		return nil
	}
	change := platform.Change{Token: fmt.Sprint(h.intN(math.MaxInt)), By: "operator", At: time.Now()}
	_, err = reviser.SetZone(ctx, order, old, !old.State.Drained, change)
	return err
}

// drainedOf counts the zones that are out of service.
func drainedOf(states []platform.Zone) int {
	count := 0
	for _, zone := range states {
		if zone.State.Drained {
			count++
		}
	}
	return count
}

// checkService fails the test when all zones were ever out of service: it goes back from the last state, change by change,
// each of which turned the state of one zone round.
func (h *publishing) checkService() {
	reviser := platform.RecordUpdater{Tables: &link{deployment: h.deployment}}
	order, err := reviser.ReadZoneOrder(h.ctx)
	if err != nil {
		h.t.Error(err)
		return
	}
	states, err := reviser.ReadZones(h.ctx)
	if err != nil {
		h.t.Error(err)
		return
	}
	drained := make(map[string]bool)
	count := drainedOf(states)
	for _, zone := range states {
		drained[platform.ZoneSource(zone.State.Zone)] = zone.State.Drained
	}
	for _, change := range order.Changes {
		if count == len(zones) {
			h.t.Errorf("all zones were out of service at change %d", change.Revision)
		}
		zone := change.From[0]
		if drained[zone] {
			count--
		} else {
			count++
		}
		drained[zone] = !drained[zone]
		h.counts.zoneChanges++
	}
}

// faults changes what fails every few seconds, several things at once.
func (h *publishing) faults() error {
	for time.Since(h.begun) < faultTime && h.pause(4*time.Second) {
		h.store.Faults.Set(standin.FaultSettings{
			Outage:      h.chance(0.2),
			LoseAnswers: float64(h.intN(3)) * 0.3,
			Delay:       time.Duration(h.intN(4)) * 300 * time.Millisecond,
		})
		h.deployment.mu.Lock()
		for _, zone := range zones {
			h.cut[zone] = h.random.Float64() < 0.2
			h.isolated[zone] = h.random.Float64() < 0.2
		}
		h.cut[""] = h.random.Float64() < 0.1
		h.lateness = 0.2 * h.random.Float64()
		h.deployment.mu.Unlock()
		h.replace()
	}
	return nil
}

// replace kills an entry now and then and starts it again later with nothing.
func (h *publishing) replace() {
	if !h.chance(0.5) {
		return
	}
	live := h.live()
	victim := live[h.intN(len(live))]
	h.kill(victim.id)
	if h.pause(2 * time.Second) {
		h.start(victim.id, victim.zone)
	}
}

// checkInForce fails the test unless every entry has the stored revisions.
func (h *publishing) checkInForce() {
	reviser := platform.RecordUpdater{Tables: &link{deployment: h.deployment}}
	stored, err := reviser.ReadConfiguration(h.ctx)
	if err != nil {
		h.t.Error(err)
		return
	}
	states, err := reviser.ReadZones(h.ctx)
	if err != nil {
		h.t.Error(err)
	}
	for _, e := range h.live() {
		configuration, _ := e.board.Configuration.Get(clusterstate.SingleKey{})
		if configuration.Revision != stored.Configuration.Revision || markOf(configuration) != markOf(stored.Configuration) {
			h.t.Errorf("%s has revision %d, want %d", e.id, configuration.Revision, stored.Configuration.Revision)
		}
		for _, zone := range states {
			if state, _ := e.board.Zones.Get(zone.State.Zone); state.Revision != zone.State.Revision || state.Drained != zone.State.Drained {
				h.t.Errorf("%s has zone %s at revision %d, want %d", e.id, zone.State.Zone, state.Revision, zone.State.Revision)
			}
		}
	}
}

// checkMarks fails the test when an entry had in force what was refused, or an accepted revision with other content.
func (h *publishing) checkMarks() {
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	revisions := make(map[float64]uint64)
	for revision, mark := range h.seen {
		revisions[mark] = revision
	}
	for _, operation := range h.history {
		in, out := operation.Input.(publication), operation.Output.(published)
		revision, seen := revisions[in.mark]
		switch out.outcome {
		case accepted:
			if other, found := h.seen[out.revision]; found && other != in.mark {
				h.t.Errorf("revision %d was accepted with change %v and holds change %v", out.revision, in.mark, other)
			}
		case conflicted, unavailable:
			if seen {
				h.t.Errorf("change %v was refused and is in force at revision %d", in.mark, revision)
			}
		}
	}
}
