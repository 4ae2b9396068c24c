package bench_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/warmup"
	standin "wisteriadyke/standin/engine"
)

// Times of the simulated network and control plane.
const (
	// messageDelay is the one-way delay of every message.
	messageDelay = time.Millisecond
	// reportInterval is the time between two reports of an owner, and the extra delay of a report to other zones.
	reportInterval = time.Second
	// drainDelay is the time until an operator's change of a zone state is applied.
	drainDelay = time.Second
	// failureDetectionDelay is the time until an entry detects a broken stream or an unreachable endpoint.
	failureDetectionDelay = time.Second
)

// mixedPace is the fraction of the prefill pace that an engine reaches while it also decodes, as in standin/engine.
const mixedPace = 0.8

// readerPool is the pool of all endpoints.
const readerPool fleet.PoolName = "reader"

// deployment is the name and the size of one deployment.
type deployment struct {
	name    string
	zones   int
	entries int
	engines int
}

// deployments holds the sizes of the deployments that are simulated.
var deployments = []deployment{
	{name: "cierzo", zones: 3, entries: 9, engines: 16},
	{name: "kuiseb", zones: 3, entries: 9, engines: 22},
}

// engineSettings returns the settings of all engines.
func engineSettings() standin.Settings {
	s := standin.DefaultSettings()
	s.CacheGap = 10
	return s
}

// capacity returns the prompt tokens per second that the engines of a deployment prefill while they also decode.
func (d deployment) capacity() float64 {
	return float64(d.engines) * engineSettings().PrefillPace * mixedPace
}

// zone is one availability zone of a simulation.
type zone struct {
	name fleet.Zone
	// isolated is true while the zone is cut off from the others.
	isolated bool
	// view is the placement view of the zone's entries.
	view placement.View
	// indexStale is true if the index of the view has to be rebuilt.
	indexStale bool
	prefixes   placement.PrefixIndex
	entries    []*entry
}

// entry is one simulated entry process.
type entry struct {
	id     fleet.EntryID
	zone   *zone
	router router
}

// endpoint is one simulated engine with its owner.
type endpoint struct {
	simulation *simulation
	info       fleet.Endpoint
	zone       *zone
	model      *standin.Model
	// owner is nil if the policy has no owners.
	owner *owner
	// running holds the attempts that the engine has accepted and that have not ended there.
	running []*attempt
	// polling is true while the engine's next step is scheduled.
	polling bool
	// lastCacheEvent is the sequence number of the last cache event received from the engine.
	lastCacheEvent uint64
}

// simulation is a simulated fleet in virtual time. It is not safe for concurrent use.
type simulation struct {
	clock
	deployment   deployment
	policy       policy
	random       *rand.Rand
	zones        []*zone
	entries      []*entry
	endpoints    []*endpoint
	byID         map[fleet.EndpointID]*endpoint
	requests     []*request
	openRequests int
	// lapsedReservations is the number of attempts that were canceled because the owner did not know their reservation.
	lapsedReservations int
	// coldReports is the number of owner reports in which the endpoint is cold.
	coldReports int
}

// newSimulation returns a simulation in which all engines are warm.
func newSimulation(d deployment, p policy, seed uint64) *simulation {
	s := &simulation{
		clock:      clock{now: epoch},
		deployment: d,
		policy:     p,
		random:     rand.New(rand.NewPCG(seed, 3)),
		byID:       make(map[fleet.EndpointID]*endpoint),
	}
	for i := range d.zones {
		s.zones = append(s.zones, &zone{name: fleet.Zone(rune('a' + i)), indexStale: true})
	}
	for i := range d.engines {
		s.addEndpoint(i)
	}
	for _, z := range s.zones {
		s.prepareView(z)
	}
	for i := range d.entries {
		s.addEntry(i)
	}
	for i, ep := range s.endpoints {
		s.every(reportInterval*time.Duration(i+1)/time.Duration(d.engines), reportInterval, ep.publishReport)
	}
	return s
}

// addEndpoint adds the endpoint with the given number: a warm engine and, if the policy has owners, its owner.
func (s *simulation) addEndpoint(i int) {
	z := s.zones[i%len(s.zones)]
	settings := engineSettings()
	settings.ColdTime = 0
	ep := &endpoint{
		simulation: s,
		zone:       z,
		model:      &standin.Model{Settings: settings},
		info: fleet.Endpoint{
			ID:     fleet.EndpointID(fmt.Sprintf("engine-%02d", i)),
			Kind:   fleet.KindEngine,
			Pool:   readerPool,
			Zone:   z.name,
			State:  fleet.StateLive,
			Memory: settings.Memory,
		},
	}
	ep.model.Start(s.now)
	ep.model.Settings.ColdTime = engineSettings().ColdTime
	if s.policy.hasOwners {
		ep.owner = newOwner(s, ep)
	}
	s.endpoints = append(s.endpoints, ep)
	s.byID[ep.info.ID] = ep
}

// prepareView initializes the placement view of a zone's entries.
func (s *simulation) prepareView(z *zone) {
	z.view = placement.View{
		Endpoints: make(map[fleet.EndpointID]fleet.Endpoint),
		Loads:     make(map[fleet.EndpointID]fleet.Load),
		Reports:   make(map[fleet.EndpointID]placement.Report),
		Zones:     make(map[fleet.Zone]config.ZoneState),
		Local:     z.name,
	}
	for _, ep := range s.endpoints {
		z.view.Endpoints[ep.info.ID] = ep.info
	}
}

// addEntry adds the entry with the given number. The entries are assigned to the zones in turn.
func (s *simulation) addEntry(i int) {
	z := s.zones[i%len(s.zones)]
	e := &entry{id: fleet.EntryID(fmt.Sprintf("entry-%d", i)), zone: z}
	e.router = s.policy.router(s, e)
	z.entries = append(z.entries, e)
	s.entries = append(s.entries, e)
}

// reaches reports whether two zones can exchange messages.
func reaches(a, b *zone) bool {
	return a == b || !a.isolated && !b.isolated
}

// publishReport sends the endpoint's load, owner report and cache events to the entries of its zone and, delayed by
// reportInterval, to those of the others. It always returns true, so that clock.every goes on.
func (ep *endpoint) publishReport() bool {
	s := ep.simulation
	measured := ep.model.Load(s.now)
	load := fleet.Load{
		Incarnation: measured.Incarnation,
		Running:     measured.Running,
		Waiting:     measured.Waiting,
		UsedMemory:  measured.KVUsed,
		MeasuredAt:  measured.MeasuredAt,
	}
	events := ep.model.CacheEvents(s.now, ep.lastCacheEvent)
	if ep.owner != nil {
		ep.owner.apply(func(e *scheduler.Endpoint) { e.ObserveLoad(s.now, load) })
	}
	report := ep.ownerReport()
	for _, z := range s.zones {
		delay := messageDelay
		if z != ep.zone {
			delay += reportInterval
		}
		s.after(delay, func() { z.applyReport(ep, load, report, events.Incarnation, cacheEvents(events)) })
	}
	if len(events.Events) > 0 {
		ep.lastCacheEvent = events.Events[len(events.Events)-1].Sequence
	}
	return true
}

// ownerReport returns the owner's report on the endpoint, or nil if there is no owner. A report in which the endpoint
// is cold is counted in coldReports.
func (ep *endpoint) ownerReport() *placement.Report {
	if ep.owner == nil {
		return nil
	}
	status := ep.owner.scheduler.Status(ep.simulation.now)
	if status.Warmth.Cold {
		ep.simulation.coldReports++
	}
	report := reportOf(status)
	return &report
}

// reportOf converts the status of an owner to a placement report.
func reportOf(status scheduler.Status) placement.Report {
	report := placement.Report{
		MeasuredAt: status.MeasuredAt,
		Accepting:  status.Accepting,
		FreeSlots:  placement.UnlimitedFreeSlots,
		FreeShort:  status.FreeShort,
		FreeLong:   status.FreeLong,
		WaitShort:  status.WaitShort,
		WaitLong:   status.WaitLong,
		Prefill:    status.Warmth.Pace.Prefill,
		Decode:     status.Warmth.Pace.Decode / (1 + float64(status.Running)/status.Warmth.Pace.Batch),
	}
	if status.Warmth.Cold {
		report.FreeSlots = max(0, status.Warmth.Attempts-status.Running-status.Queue)
	}
	return report
}

// applyReport applies the load, owner report and cache events of an endpoint to z's view, if the endpoint's zone can
// reach z.
func (z *zone) applyReport(
	ep *endpoint, load fleet.Load, report *placement.Report,
	incarnation fleet.Incarnation, events []placement.CacheEvent,
) {
	if !reaches(z, ep.zone) {
		return
	}
	z.view.Loads[ep.info.ID] = load
	if report != nil {
		z.view.Reports[ep.info.ID] = *report
	}
	z.prefixes.Observe(ep.info.ID, incarnation, events)
	z.indexStale = true
}

// currentView returns the placement view of the zone's entries with an up-to-date index.
func (z *zone) currentView() placement.View {
	if z.indexStale {
		z.view.Index = placement.NewIndex(z.view)
		z.indexStale = false
	}
	return z.view
}

// setDrained drains or restores a zone. All entries and the owners of the zone's endpoints apply the change after
// drainDelay.
func (s *simulation) setDrained(z *zone, drained bool) {
	s.after(drainDelay, func() {
		state := config.ZoneState{Zone: z.name, Drained: drained, ChangedAt: s.now}
		for _, other := range s.zones {
			other.view.Zones[z.name] = state
			other.indexStale = true
		}
		for _, ep := range s.endpoints {
			if ep.zone == z && ep.owner != nil {
				ep.owner.setDrained(drained)
			}
		}
	})
}

// restartEngines replaces the engines of a zone by cold ones, which breaks the attempts on the old engines.
func (s *simulation) restartEngines(z *zone) {
	for _, ep := range s.endpoints {
		if ep.zone != z {
			continue
		}
		model := &standin.Model{Settings: engineSettings()}
		model.Start(s.now)
		ep.model = model
		ep.lastCacheEvent = 0
		for _, a := range ep.running {
			s.after(messageDelay, a.handleBroken)
		}
		ep.running = nil
	}
}

// setIsolated isolates a zone from the others, which breaks the attempts across its border, or reconnects it.
func (s *simulation) setIsolated(z *zone, isolated bool) {
	z.isolated = isolated
	if !isolated {
		return
	}
	for _, ep := range s.endpoints {
		for _, a := range ep.running {
			if !reaches(a.request.entry.zone, ep.zone) {
				s.after(failureDetectionDelay, a.handleBroken)
			}
		}
	}
}

// warmState returns the state of a warm endpoint whose paces are known.
func warmState(model *standin.Model) warmup.State {
	settings := engineSettings()
	return warmup.State{
		Incarnation: model.Incarnation(),
		Pace: warmup.Pace{
			Prefill: settings.PrefillPace,
			Decode:  settings.DecodePace,
			Batch:   settings.DecodeBatch,
		},
	}
}
