package bench_test

import (
	"time"
)

// drainTime bounds the time after the last arrival in which requests may end.
const drainTime = 22 * time.Minute

// scenario is one run.
type scenario struct {
	deployment deployment
	policy     policy
	// load is the offered load in parts of the capacity.
	load    float64
	seed    uint64
	lasting time.Duration
	// only keeps the requests that it returns true for, or is nil.
	only func(a arrival) bool
	// change plans what happens during the run, or is nil.
	change func(s *simulation)
}

// run serves the load until every request has ended.
func (c scenario) run() *simulation {
	s := newSimulation(c.deployment, c.policy, c.seed)
	l := load{seed: c.seed, tokens: c.load * c.deployment.capacity(), lasting: c.lasting, only: c.only}
	arrivals := l.arrivals()
	for i, a := range arrivals {
		s.after(a.after, func() { s.arrive(i, a) })
	}
	if c.change != nil {
		c.change(s)
	}
	s.run(epoch.Add(c.lasting+drainTime), func() bool {
		return len(s.requests) == len(arrivals) && s.open == 0
	})
	return s
}

// short keeps short requests.
func short(a arrival) bool {
	return a.tokens <= shortPrompt
}

// phase is a part of a run.
type phase struct {
	name     string
	from, to time.Duration
}

// contains tells whether a time since the start is in the phase.
func (p phase) contains(since time.Duration) bool {
	return since >= p.from && since < p.to
}

// Phases of a run in which a zone is gone for its second third.
func phases(lasting time.Duration) []phase {
	third := lasting / 3
	return []phase{
		{name: "before", from: 0, to: third},
		{name: "during", from: third, to: 2 * third},
		{name: "after", from: 2 * third, to: lasting},
	}
}

// zoneLeaves takes the first zone out of service for the second third of a run; its engines come back cold.
func zoneLeaves(lasting time.Duration) func(s *simulation) {
	return func(s *simulation) {
		z := s.zones[0]
		s.after(lasting/3, func() { s.drain(z, true) })
		s.after(2*lasting/3, func() {
			s.restart(z)
			s.drain(z, false)
		})
	}
}

// zoneCut cuts the first zone off from the others for the second third of a run.
func zoneCut(lasting time.Duration) func(s *simulation) {
	return func(s *simulation) {
		z := s.zones[0]
		s.after(lasting/3, func() { s.cut(z, true) })
		s.after(2*lasting/3, func() { s.cut(z, false) })
	}
}
