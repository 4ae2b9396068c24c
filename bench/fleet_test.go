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
	// oneWay is the delay of every message.
	oneWay = time.Millisecond
	// gossipPeriod is the time between two reports of an owner.
	gossipPeriod = time.Second
	// drainDelay is the time until an operators' decision on a zone is in force.
	drainDelay = time.Second
	// breakDelay is the time until an entry notices a stream that is cut off.
	breakDelay = time.Second
)

// mixedPace is the fraction of the reading pace while streams generate beside reading, as in the stand-in.
const mixedPace = 0.8

// pool is the pool that all endpoints are in.
const pool fleet.PoolName = "reader"

// deployment is the size of a fleet.
type deployment struct {
	name    string
	zones   int
	entries int
	engines int
}

// deployments holds the sizes of both deployments.
var deployments = []deployment{
	{name: "cierzo", zones: 3, entries: 9, engines: 16},
	{name: "kuiseb", zones: 3, entries: 9, engines: 22},
}

// engineSettings is the engine of all deployments.
func engineSettings() standin.Settings {
	s := standin.DefaultSettings()
	s.CacheGap = 10
	return s
}

// capacity returns the prompt tokens that the engines of a deployment read a second while they generate beside it.
func (d deployment) capacity() float64 {
	return float64(d.engines) * engineSettings().PrefillPace * mixedPace
}

// zone is one availability zone of a simulation.
type zone struct {
	name fleet.Zone
	// cut tells that it is cut off from the others.
	cut bool
	// view is what its entries know.
	view placement.View
	// stale tells that the index of the view is to be built.
	stale    bool
	prefixes placement.PrefixIndex
	entries  []*entry
}

// entry is one entry instance of a simulation.
type entry struct {
	id     fleet.EntryID
	zone   *zone
	router router
}

// backend is one engine with its owner.
type backend struct {
	simulation *simulation
	endpoint   fleet.Endpoint
	zone       *zone
	model      *standin.Model
	owner      *owner
	running    []*attempt
	polling    bool
	events     uint64
}

// simulation is a fleet in virtual time; it is for one goroutine.
type simulation struct {
	clock
	deployment deployment
	policy     policy
	random     *rand.Rand
	zones      []*zone
	entries    []*entry
	backends   []*backend
	byID       map[fleet.EndpointID]*backend
	requests   []*request
	open       int
	lapsed     int
	// coldReports counts the reports of owners that take their endpoint for cold.
	coldReports int
}

// newSimulation builds a warm fleet.
func newSimulation(d deployment, p policy, seed uint64) *simulation {
	s := &simulation{
		clock:      clock{now: epoch},
		deployment: d,
		policy:     p,
		random:     rand.New(rand.NewPCG(seed, 3)),
		byID:       make(map[fleet.EndpointID]*backend),
	}
	for i := range d.zones {
		s.zones = append(s.zones, &zone{name: fleet.Zone(rune('a' + i)), stale: true})
	}
	for i := range d.engines {
		s.addBackend(i)
	}
	for _, z := range s.zones {
		s.prepareView(z)
	}
	for i := range d.entries {
		s.addEntry(i)
	}
	for i, b := range s.backends {
		s.every(gossipPeriod*time.Duration(i+1)/time.Duration(d.engines), gossipPeriod, b.gossip)
	}
	return s
}

// addBackend adds a warm engine and its owner.
func (s *simulation) addBackend(i int) {
	z := s.zones[i%len(s.zones)]
	settings := engineSettings()
	settings.ColdTime = 0
	b := &backend{
		simulation: s,
		zone:       z,
		model:      &standin.Model{Settings: settings},
		endpoint: fleet.Endpoint{
			ID:     fleet.EndpointID(fmt.Sprintf("engine-%02d", i)),
			Kind:   fleet.KindEngine,
			Pool:   pool,
			Zone:   z.name,
			State:  fleet.StateLive,
			Memory: settings.Memory,
		},
	}
	b.model.Start(s.now)
	b.model.Settings.ColdTime = engineSettings().ColdTime
	if s.policy.owned {
		b.owner = newOwner(s, b)
	}
	s.backends = append(s.backends, b)
	s.byID[b.endpoint.ID] = b
}

// prepareView fills what the entries of a zone know at first.
func (s *simulation) prepareView(z *zone) {
	z.view = placement.View{
		Endpoints: make(map[fleet.EndpointID]fleet.Endpoint),
		Loads:     make(map[fleet.EndpointID]fleet.Load),
		Reports:   make(map[fleet.EndpointID]placement.Report),
		Zones:     make(map[fleet.Zone]config.ZoneState),
		Local:     z.name,
	}
	for _, b := range s.backends {
		z.view.Endpoints[b.endpoint.ID] = b.endpoint
	}
}

// addEntry adds an entry.
func (s *simulation) addEntry(i int) {
	z := s.zones[i%len(s.zones)]
	e := &entry{id: fleet.EntryID(fmt.Sprintf("entry-%d", i)), zone: z}
	e.router = s.policy.router(s, e)
	z.entries = append(z.entries, e)
	s.entries = append(s.entries, e)
}

// reaches tells whether messages pass between two zones.
func reaches(a, b *zone) bool {
	return a == b || !a.cut && !b.cut
}

// gossip spreads the report of an endpoint: at once in its zone, a period later in the others.
func (b *backend) gossip() bool {
	s := b.simulation
	load := b.model.Load(s.now)
	row := fleet.Load{Incarnation: load.Incarnation, Running: load.Running, Waiting: load.Waiting, Used: load.KVUsed, MeasuredAt: load.MeasuredAt}
	events := b.model.CacheEvents(s.now, b.events)
	if b.owner != nil {
		b.owner.do(func(e *scheduler.Endpoint) { e.ObserveLoad(s.now, row) })
	}
	report := b.report()
	for _, z := range s.zones {
		delay := oneWay
		if z != b.zone {
			delay += gossipPeriod
		}
		s.after(delay, func() { z.learn(b, row, report, events.Incarnation, cacheEvents(events)) })
	}
	if len(events.Events) > 0 {
		b.events = events.Events[len(events.Events)-1].Sequence
	}
	return true
}

// report returns what the owner tells of the endpoint.
func (b *backend) report() *placement.Report {
	if b.owner == nil {
		return nil
	}
	status := b.owner.machine.Status(b.simulation.now)
	if status.Warmth.Cold {
		b.simulation.coldReports++
	}
	report := reportOf(status)
	return &report
}

// reportOf turns the status of an owner into what placement needs.
func reportOf(status scheduler.Status) placement.Report {
	report := placement.Report{
		MeasuredAt: status.MeasuredAt,
		Accepting:  status.Accepting,
		Slots:      placement.UnlimitedSlots,
		FreeShort:  status.FreeShort,
		FreeLong:   status.FreeLong,
		WaitShort:  status.WaitShort,
		WaitLong:   status.WaitLong,
		Prefill:    status.Warmth.Pace.Prefill,
		Decode:     status.Warmth.Pace.Decode / (1 + float64(status.Running)/status.Warmth.Pace.Batch),
	}
	if status.Warmth.Cold {
		report.Slots = max(0, status.Warmth.Attempts-status.Running-status.Queue)
	}
	return report
}

// learn takes a report of an endpoint.
func (z *zone) learn(b *backend, load fleet.Load, report *placement.Report, incarnation fleet.Incarnation, events []placement.CacheEvent) {
	if !reaches(z, b.zone) {
		return
	}
	z.view.Loads[b.endpoint.ID] = load
	if report != nil {
		z.view.Reports[b.endpoint.ID] = *report
	}
	z.prefixes.Observe(b.endpoint.ID, incarnation, events)
	z.stale = true
}

// known returns what the entries of a zone know now.
func (z *zone) known() placement.View {
	if z.stale {
		z.view.Index = placement.NewIndex(z.view)
		z.stale = false
	}
	return z.view
}

// drain takes a zone out of service or brings it back; entries of reachable zones learn of it a little later.
func (s *simulation) drain(z *zone, drained bool) {
	s.after(drainDelay, func() {
		state := config.ZoneState{Zone: z.name, Drained: drained, ChangedAt: s.now}
		for _, other := range s.zones {
			other.view.Zones[z.name] = state
			other.stale = true
		}
		for _, b := range s.backends {
			if b.zone == z && b.owner != nil {
				b.owner.update(drained)
			}
		}
	})
}

// restart gives the engines of a zone another life, which begins cold.
func (s *simulation) restart(z *zone) {
	for _, b := range s.backends {
		if b.zone != z {
			continue
		}
		model := &standin.Model{Settings: engineSettings()}
		model.Start(s.now)
		b.model = model
		b.events = 0
		for _, a := range b.running {
			s.after(oneWay, a.broken)
		}
		b.running = nil
	}
}

// cut separates a zone from the others, or joins it again.
func (s *simulation) cut(z *zone, cut bool) {
	z.cut = cut
	if !cut {
		return
	}
	for _, b := range s.backends {
		for _, a := range b.running {
			if !reaches(a.request.entry.zone, b.zone) {
				s.after(breakDelay, a.broken)
			}
		}
	}
}

// warm is the state of an endpoint that has long been warm.
func warm(m *standin.Model) warmup.State {
	settings := engineSettings()
	return warmup.State{
		Incarnation: m.Incarnation(),
		Pace:        warmup.Pace{Prefill: settings.PrefillPace, Decode: settings.DecodePace, Batch: settings.DecodeBatch},
	}
}
