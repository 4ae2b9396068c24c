// Package service is a stand-in for a plain service whose calls must not be repeated, used by tests and the local demo.
package service

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of the stand-in.
var (
	// ErrFailed means that the call was refused and did not run.
	ErrFailed = errors.New("service failed before the call")
	// ErrAnswerLost means that the call ran, but its answer must not be sent.
	ErrAnswerLost = errors.New("connection is cut after the call")
)

// FaultSettings configures the faults of the service. The zero value is a healthy service.
type FaultSettings struct {
	// FailBefore is the fraction (0 to 1) of calls that are refused before they run.
	FailBefore float64
	// CutAfter is the fraction (0 to 1) of the other calls that run but are not answered.
	CutAfter float64
	// Delay is the time between the run of a call and its answer.
	Delay time.Duration
}

// Service executes calls and counts them. It doesn't deduplicate: every call to Run that isn't refused counts as a run.
// The zero value is ready to use.
type Service struct {
	// Capacity is the number of concurrent calls given in the load report. It isn't enforced.
	Capacity int
	// LoadLag is the age of the reported load.
	LoadLag time.Duration

	mu       sync.Mutex
	settings FaultSettings
	rand     *rand.Rand
	runs     map[string]int
	running  int
	history  []loadSample
}

// loadSample is the number of running calls since a time.
type loadSample struct {
	at      time.Time
	running int
}

// Seed makes the choice of failing calls reproducible.
func (s *Service) Seed(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rand = rand.New(rand.NewPCG(seed, 0))
}

// Set replaces the fault settings.
func (s *Service) Set(settings FaultSettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = settings
}

// Settings returns the current fault settings.
func (s *Service) Settings() FaultSettings {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings
}

// Run executes a call. It returns ErrFailed if the call did not run, and ErrAnswerLost if it ran but its answer must
// not be sent.
func (s *Service) Run(callID string) error {
	delay, err := s.beginRun(callID)
	if errors.Is(err, ErrFailed) {
		return err
	}
	time.Sleep(delay)
	s.endRun()
	return err
}

// beginRun decides at random whether a call runs and is answered, and counts the run. It returns the delay before the
// answer, and ErrFailed if the call does not run or ErrAnswerLost if it is not answered.
func (s *Service) beginRun(callID string) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.randomFloat() < s.settings.FailBefore {
		return 0, ErrFailed
	}
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[callID]++
	s.recordLoad(1)
	if s.randomFloat() < s.settings.CutAfter {
		return s.settings.Delay, ErrAnswerLost
	}
	return s.settings.Delay, nil
}

// endRun removes a call from the load.
func (s *Service) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordLoad(-1)
}

// randomFloat returns a random number in [0, 1); the caller must hold the lock.
func (s *Service) randomFloat() float64 {
	if s.rand == nil {
		return rand.Float64()
	}
	return s.rand.Float64()
}

// recordLoad changes the load and drops samples that no report needs any more; the caller must hold the lock.
func (s *Service) recordLoad(change int) {
	now := time.Now()
	s.running += change
	s.history = append(s.history, loadSample{at: now, running: s.running})
	for len(s.history) > 1 && !s.history[1].at.After(now.Add(-s.LoadLag)) {
		s.history = s.history[1:]
	}
}

// Runs returns the number of runs of a call.
func (s *Service) Runs(callID string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[callID]
}

// Running returns the number of calls that are running.
func (s *Service) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Load returns the number of calls that were running LoadLag ago.
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
