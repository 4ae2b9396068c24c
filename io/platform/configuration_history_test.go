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

// Environment variables of TestConfigurationHistories: the number of seeds to run, and the only seed to run.
const (
	configurationSeeds = "CONFIGURATION_SEEDS"
	configurationSeed  = "CONFIGURATION_SEED"
)

const (
	// faultTime is how long faults are injected in a schedule.
	faultTime = 30 * time.Second
	// historyTimeout bounds the check of one history.
	historyTimeout = 30 * time.Second
)

// seedRange returns the first seed and the number of seeds to run, 200 from seed 1 by default.
func seedRange(t *testing.T) (first, count uint64) {
	t.Helper()
	parse := func(name string, fallback uint64) uint64 {
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
	if seed := parse(configurationSeed, 0); seed > 0 {
		return seed, 1
	}
	return 1, parse(configurationSeeds, 200)
}

func TestConfigurationHistories(t *testing.T) {
	onOneProcessor(t)
	first, count := seedRange(t)
	var total outcomeCounts
	for seed := first; seed < first+count; seed++ {
		ok := t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { total.add(runSchedule(t, seed)) })
		})
		if !ok {
			t.Fatalf("seed %d failed; run it alone with %s=%d", seed, configurationSeed, seed)
		}
	}
	t.Logf("%d seeds: %+v", count, total)
	if count >= 100 && (total.accepted == 0 || total.conflicts == 0 || total.unknown == 0 || total.readBack == 0) {
		t.Errorf("got outcomes %+v, want each of them at least once", total)
	}
}

// outcomeCounts counts the outcomes of publications, and the changes of zones. Of the accepted publications, readBack
// counts those during which the store lost a response.
type outcomeCounts struct {
	accepted, conflicts, unknown, unavailable, readBack, zoneChanges int
}

// add adds the counts of one schedule.
func (c *outcomeCounts) add(other outcomeCounts) {
	c.accepted += other.accepted
	c.conflicts += other.conflicts
	c.unknown += other.unknown
	c.unavailable += other.unavailable
	c.readBack += other.readBack
	c.zoneChanges += other.zoneChanges
}

// runSchedule runs one schedule of random faults, then checks the final state and the history.
func runSchedule(t *testing.T, seed uint64) outcomeCounts {
	ctx, stop := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	d := newDeployment(ctx, t, group, seed)
	h := &schedule{deployment: d, startedAt: time.Now()}
	var work errgroup.Group
	for p := range 3 {
		work.Go(func() error { return h.publisher(p) })
	}
	work.Go(h.operator)
	work.Go(h.operator)
	work.Go(h.injectFaults)
	if err := work.Wait(); err != nil {
		t.Error(err)
	}
	d.clearFaults()
	d.sleep(applyTimeout)
	h.checkApplied()
	h.checkZonesInService()
	stop()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	h.checkMarks()
	h.checkHistory()
	return h.counts
}

// clearFaults ends the faults that injectFaults activates.
func (d *deployment) clearFaults() {
	d.store.Faults.Set(standin.FaultSettings{})
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.cutZones)
	clear(d.isolatedZones)
	d.lateWriteShare = 0
}

// outcome is the outcome of a publication.
type outcome int

// Outcomes of a publication.
const (
	accepted outcome = iota + 1
	conflicted
	unknown
	unavailable
)

// publication is the input of one operation of the history.
type publication struct {
	// base is the revision that the publication replaces.
	base uint64
	// mark identifies the new configuration.
	mark float64
}

// publicationResult is the output of one operation of the history.
type publicationResult struct {
	outcome outcome
	// revision is the revision of the new configuration, if it was accepted.
	revision uint64
}

// schedule is one seeded run with its history of publications.
type schedule struct {
	*deployment
	startedAt time.Time

	mu       sync.Mutex
	lastMark float64
	history  []porcupine.Operation
	counts   outcomeCounts
}

// publisher publishes configurations repeatedly, concurrently with other publishers.
func (h *schedule) publisher(client int) error {
	for time.Since(h.startedAt) < faultTime && h.pause(3*time.Second) {
		updater := platform.RecordUpdater{Tables: &link{deployment: h.deployment}}
		old, err := updater.ReadConfiguration(h.ctx)
		if errors.Is(err, platform.ErrUnavailable) {
			continue
		}
		if err != nil {
			return err
		}
		h.pause(time.Second)
		h.publish(client, updater, old)
	}
	return nil
}

// publish publishes a configuration with a unique mark and records the operation.
func (h *schedule) publish(client int, updater platform.RecordUpdater, old platform.StoredConfiguration) {
	h.mu.Lock()
	h.lastMark++
	in := publication{base: old.Head.Latest().Revision, mark: h.lastMark}
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(h.ctx, time.Duration(h.intN(8)+1)*time.Second)
	defer cancel()
	call := time.Since(h.startedAt)
	change := platform.Change{Token: fmt.Sprintf("token-%v", in.mark), By: fmt.Sprintf("operator-%d", client), At: time.Now()}
	lostBefore := h.store.Stats().LostAnswers
	change, err := updater.Publish(ctx, old, marked(in.mark), change)
	out := publicationResult{revision: change.Revision}
	h.mu.Lock()
	defer h.mu.Unlock()
	end := int64(time.Since(h.startedAt))
	switch {
	case err == nil:
		out.outcome = accepted
		h.counts.accepted++
		if h.store.Stats().LostAnswers > lostBefore {
			h.counts.readBack++
		}
	case errors.Is(err, platform.ErrConflict):
		out.outcome = conflicted
		h.counts.conflicts++
	case errors.Is(err, platform.ErrUnknownOutcome):
		out.outcome = unknown
		h.counts.unknown++
		// The write may still be applied after the call.
		end = math.MaxInt64
	default:
		out.outcome = unavailable
		h.counts.unavailable++
	}
	h.history = append(h.history, porcupine.Operation{
		ClientId: client, Input: in, Call: int64(call), Output: out, Return: end,
	})
}

// operator drains and restores random zones, concurrently with other operators.
func (h *schedule) operator() error {
	for time.Since(h.startedAt) < faultTime && h.pause(2*time.Second) {
		if err := h.toggleZone(zones[h.intN(len(zones))]); err != nil && !isExpectedError(err) {
			return err
		}
	}
	return nil
}

// isExpectedError reports whether an error is one that faults or concurrent changes may cause.
func isExpectedError(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrUnknownOutcome) ||
		errors.Is(err, platform.ErrUnavailable)
}

// toggleZone drains a zone that is in service, unless it is the last one, or restores a drained one.
func (h *schedule) toggleZone(zone fleet.Zone) error {
	updater := platform.RecordUpdater{Tables: &link{deployment: h.deployment}}
	ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
	defer cancel()
	changesRecord, err := updater.ReadZoneChanges(ctx)
	if err != nil {
		return err
	}
	states, err := updater.ReadZones(ctx)
	if err != nil {
		return err
	}
	h.pause(time.Second)
	old, err := updater.ReadZone(ctx, zone)
	if err != nil {
		return err
	}
	if !old.State.Drained && countDrained(states) == len(zones)-1 {
		return nil
	}
	change := platform.Change{Token: fmt.Sprint(h.intN(math.MaxInt)), By: "operator", At: time.Now()}
	_, err = updater.SetZone(ctx, changesRecord, old, !old.State.Drained, change)
	return err
}

// countDrained returns the number of drained zones.
func countDrained(states []platform.Zone) int {
	count := 0
	for _, zone := range states {
		if zone.State.Drained {
			count++
		}
	}
	return count
}

// checkZonesInService fails the test if all zones were drained at any time. It starts from the final states and undoes
// the recorded changes from the newest to the oldest; each change toggled one zone.
func (h *schedule) checkZonesInService() {
	updater := platform.RecordUpdater{Tables: &link{deployment: h.deployment}}
	changesRecord, err := updater.ReadZoneChanges(h.ctx)
	if err != nil {
		h.t.Error(err)
		return
	}
	states, err := updater.ReadZones(h.ctx)
	if err != nil {
		h.t.Error(err)
		return
	}
	drained := make(map[string]bool)
	count := countDrained(states)
	for _, zone := range states {
		drained[platform.ZoneSource(zone.State.Zone)] = zone.State.Drained
	}
	for _, change := range changesRecord.Changes {
		if count == len(zones) {
			h.t.Errorf("all zones were drained at change %d", change.Revision)
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

// injectFaults replaces the set of active faults and calls restartEntry every few seconds.
func (h *schedule) injectFaults() error {
	for time.Since(h.startedAt) < faultTime && h.pause(4*time.Second) {
		h.store.Faults.Set(standin.FaultSettings{
			Outage:      h.chance(0.2),
			LoseAnswers: float64(h.intN(3)) * 0.3,
			Delay:       time.Duration(h.intN(4)) * 300 * time.Millisecond,
		})
		h.deployment.mu.Lock()
		for _, zone := range zones {
			h.cutZones[zone] = h.random.Float64() < 0.2
			h.isolatedZones[zone] = h.random.Float64() < 0.2
		}
		h.cutZones[""] = h.random.Float64() < 0.1
		h.lateWriteShare = 0.2 * h.random.Float64()
		h.deployment.mu.Unlock()
		h.restartEntry()
	}
	return nil
}

// restartEntry kills a random entry with probability 1/2 and starts it again later without any state.
func (h *schedule) restartEntry() {
	if !h.chance(0.5) {
		return
	}
	live := h.live()
	restarted := live[h.intN(len(live))]
	h.kill(restarted.id)
	if h.pause(2 * time.Second) {
		h.start(restarted.id, restarted.zone)
	}
}

// checkApplied fails the test unless every entry has applied the stored revisions.
func (h *schedule) checkApplied() {
	updater := platform.RecordUpdater{Tables: &link{deployment: h.deployment}}
	stored, err := updater.ReadConfiguration(h.ctx)
	if err != nil {
		h.t.Error(err)
		return
	}
	states, err := updater.ReadZones(h.ctx)
	if err != nil {
		h.t.Error(err)
	}
	for _, e := range h.live() {
		configuration, _ := e.clusterState.Configuration.Get(clusterstate.SingleKey{})
		if configuration.Revision != stored.Configuration.Revision || markOf(configuration) != markOf(stored.Configuration) {
			h.t.Errorf("%s: got revision %d, want %d", e.id, configuration.Revision, stored.Configuration.Revision)
		}
		for _, zone := range states {
			if state, _ := e.clusterState.Zones.Get(zone.State.Zone); state.Revision != zone.State.Revision || state.Drained != zone.State.Drained {
				h.t.Errorf("%s: got zone %s at revision %d, want %d", e.id, zone.State.Zone, state.Revision, zone.State.Revision)
			}
		}
	}
}

// checkMarks fails the test if an entry applied a configuration whose publication was refused, or an accepted revision
// with the mark of another configuration.
func (h *schedule) checkMarks() {
	h.deployment.mu.Lock()
	defer h.deployment.mu.Unlock()
	revisions := make(map[float64]uint64)
	for revision, mark := range h.marks {
		revisions[mark] = revision
	}
	for _, operation := range h.history {
		in, out := operation.Input.(publication), operation.Output.(publicationResult)
		revision, applied := revisions[in.mark]
		switch out.outcome {
		case accepted:
			if other, found := h.marks[out.revision]; found && other != in.mark {
				h.t.Errorf("revision %d was accepted with mark %v, but has mark %v", out.revision, in.mark, other)
			}
		case conflicted, unavailable:
			if applied {
				h.t.Errorf("mark %v was refused, but was applied at revision %d", in.mark, revision)
			}
		}
	}
}
