package bench_test

import (
	"time"
)

// completionTime is how long a run may go on after the time in which requests arrive, so that open requests can end.
const completionTime = 22 * time.Minute

// scenario describes one run of a simulation.
type scenario struct {
	deployment deployment
	policy     policy
	// load is the offered load as a fraction of the capacity.
	load     float64
	seed     uint64
	duration time.Duration
	// keep selects the arrivals that are simulated; nil selects all.
	keep func(a arrival) bool
	// scheduleChanges schedules zone changes during the run; nil schedules none.
	scheduleChanges func(s *simulation)
}

// run simulates the scenario until every request has ended, but at most until completionTime after the time in which
// requests arrive. It returns the finished simulation.
func (c scenario) run() *simulation {
	s := newSimulation(c.deployment, c.policy, c.seed)
	l := load{seed: c.seed, tokensPerSecond: c.load * c.deployment.capacity(), duration: c.duration, keep: c.keep}
	arrivals := l.arrivals()
	for i, a := range arrivals {
		s.after(a.offset, func() { s.startRequest(i, a) })
	}
	if c.scheduleChanges != nil {
		c.scheduleChanges(s)
	}
	s.run(epoch.Add(c.duration+completionTime), func() bool {
		return len(s.requests) == len(arrivals) && s.openRequests == 0
	})
	return s
}

// isShortArrival reports whether the prompt of an arrival is short.
func isShortArrival(a arrival) bool {
	return a.tokens <= shortPrompt
}

// phase is a part of a run, between two times since its start.
type phase struct {
	name     string
	from, to time.Duration
}

// contains reports whether a time since the start of the run is in the phase.
func (p phase) contains(since time.Duration) bool {
	return since >= p.from && since < p.to
}

// phases returns the thirds of a run in which a zone is missing for the second third.
func phases(duration time.Duration) []phase {
	third := duration / 3
	return []phase{
		{name: "before", from: 0, to: third},
		{name: "during", from: third, to: 2 * third},
		{name: "after", from: 2 * third, to: duration},
	}
}

// zoneLeaves returns a function that schedules the drain of the first zone for the second third of a run. When the zone
// returns, its engines are restarted and cold.
func zoneLeaves(duration time.Duration) func(s *simulation) {
	return func(s *simulation) {
		z := s.zones[0]
		s.after(duration/3, func() { s.setDrained(z, true) })
		s.after(2*duration/3, func() {
			s.restartEngines(z)
			s.setDrained(z, false)
		})
	}
}

// zoneCut returns a function that schedules the isolation of the first zone from the others for the second third of a
// run.
func zoneCut(duration time.Duration) func(s *simulation) {
	return func(s *simulation) {
		z := s.zones[0]
		s.after(duration/3, func() { s.setIsolated(z, true) })
		s.after(2*duration/3, func() { s.setIsolated(z, false) })
	}
}
