package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// FaultSettings says how the store misbehaves; its zero value is a healthy store without limits.
type FaultSettings struct {
	// Outage refuses every call.
	Outage bool
	// Delay passes before and again after the effect of every call.
	Delay time.Duration
	// LoseAnswers is the share (0 to 1) of applied transactions whose answers are lost.
	LoseAnswers float64
	// WriteLimit bounds transactions and object writes a second; 0 means no bound.
	WriteLimit float64
	// ReadLimit bounds batch reads, scans and object reads a second; 0 means no bound.
	ReadLimit float64
}

// Faults holds the settings in force; its zero value is ready to use.
type Faults struct {
	mu       sync.Mutex
	settings FaultSettings
	rand     *rand.Rand
	writes   bucket
	reads    bucket
}

// Seed makes the choice of lost answers repeatable.
func (f *Faults) Seed(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rand = rand.New(rand.NewPCG(seed, 0))
}

// Set puts settings in force.
func (f *Faults) Set(settings FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
}

// Settings returns the settings in force.
func (f *Faults) Settings() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// wait sleeps for the delay in force, also when the caller has gone away.
func (f *Faults) wait() {
	time.Sleep(f.Settings().Delay)
}

// admitWrite returns ErrOutage or ErrThrottled if a write must be refused.
func (f *Faults) admitWrite() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.admit(&f.writes, f.settings.WriteLimit)
}

// admitRead returns ErrOutage or ErrThrottled if a read must be refused.
func (f *Faults) admitRead() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.admit(&f.reads, f.settings.ReadLimit)
}

// admit checks the outage and one rate limit; the caller holds the lock.
func (f *Faults) admit(b *bucket, limit float64) error {
	if f.settings.Outage {
		return ErrOutage
	}
	if limit > 0 && !b.take(limit, time.Now()) {
		return ErrThrottled
	}
	return nil
}

// losesAnswer decides whether the next answer is lost.
func (f *Faults) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settings.LoseAnswers <= 0 {
		return false
	}
	if f.rand == nil {
		return rand.Float64() < f.settings.LoseAnswers
	}
	return f.rand.Float64() < f.settings.LoseAnswers
}

// bucket is a token bucket that holds at most one second of its rate.
type bucket struct {
	level  float64
	filled time.Time
}

// take removes one token if there is one at a rate of limit tokens a second.
func (b *bucket) take(limit float64, now time.Time) bool {
	if b.filled.IsZero() {
		b.level = limit
	}
	b.level = min(limit, b.level+limit*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
