// Package service is a small stand-in for a plain service whose calls must not be repeated.
package service

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of the stand-in.
var (
	// ErrFailed means the call was refused before it ran.
	ErrFailed = errors.New("service failed before the call")
	// ErrCut means the call ran and its answer must not be sent.
	ErrCut = errors.New("connection is cut after the call")
)

// FaultSettings says how the service misbehaves; its zero value is a healthy service.
type FaultSettings struct {
	// FailBefore is the share (0 to 1) of calls that are refused before they run.
	FailBefore float64
	// CutAfter is the share (0 to 1) of calls that run and are not answered.
	CutAfter float64
	// Delay passes after a call has run and before it is answered.
	Delay time.Duration
}

// Service is the state machine behind the stand-in; its zero value is ready to use. It runs a call
// once for each time that it is told to, and recognises no repeats.
type Service struct {
	// Capacity is how many calls the load report says may run at once.
	Capacity int
	// LoadLag is how old the reported load is.
	LoadLag time.Duration

	mu       sync.Mutex
	settings FaultSettings
	rand     *rand.Rand
	runs     map[string]int
	running  int
	history  []loadSample
}

// loadSample is the number of running calls from a time on.
type loadSample struct {
	at      time.Time
	running int
}

// Seed makes the choice of failing calls repeatable.
func (s *Service) Seed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rand = rand.New(rand.NewPCG(seed, 0))
}

// Set puts fault settings in force.
func (s *Service) Set(settings FaultSettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
}

// Settings returns the fault settings in force.
func (s *Service) Settings() FaultSettings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Run runs a call. It returns ErrFailed if the call didn't run and ErrCut if it ran.
func (s *Service) Run(callID string) error {
	delay, err := s.begin(callID)
	if errors.Is(err, ErrFailed) {
		return err
	}
	time.Sleep(delay)
	s.end()
	return err
}

// begin counts a run and decides how it is answered.
func (s *Service) begin(callID string) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draw() < s.settings.FailBefore {
		return 0, ErrFailed
	}
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[callID]++
	s.record(1)
	if s.draw() < s.settings.CutAfter {
		return s.settings.Delay, ErrCut
	}
	return s.settings.Delay, nil
}

// end takes a call off the load.
func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(-1)
}

// draw returns a random number from 0 to 1; the caller holds the lock.
func (s *Service) draw() float64 {
	if s.rand == nil {
		return rand.Float64()
	}
	return s.rand.Float64()
}

// record changes the load and forgets samples that no report needs; the caller holds the lock.
func (s *Service) record(change int) {
	now := time.Now()
	s.running += change
	s.history = append(s.history, loadSample{at: now, running: s.running})
	for len(s.history) > 1 && !s.history[1].at.After(now.Add(-s.LoadLag)) {
		s.history = s.history[1:]
	}
}

// Runs returns how often a call has run.
func (s *Service) Runs(callID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[callID]
}

// Running returns the number of calls that run now.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Load returns the number of running calls as it was LoadLag ago.
func (s *Service) Load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(-s.LoadLag)
	running := 0
	for _, h := range s.history {
		if h.at.After(until) {
			break
		}
		running = h.running
	}
	return running
}
