package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// FaultSettings configures the faults of the store. The zero value is a healthy store without limits.
type FaultSettings struct {
	// Outage refuses every request but control requests.
	Outage bool
	// Delay is the delay before the effect of every table or object request, and again after that of a transaction.
	Delay time.Duration
	// LoseAnswers is the fraction (0 to 1) of applied transactions whose answers are lost.
	LoseAnswers float64
	// WriteLimit bounds the transactions, object writes and object deletions per second; 0 means no bound.
	WriteLimit float64
	// ReadLimit bounds the batch reads, scans and object reads per second; 0 means no bound.
	ReadLimit float64
}

// Faults applies the current FaultSettings. The zero value is ready to use.
type Faults struct {
	mu       sync.Mutex
	settings FaultSettings
	rand     *rand.Rand
	writes   tokenBucket
	reads    tokenBucket
}

// Seed makes the choice of lost answers reproducible.
func (f *Faults) Seed(seed uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rand = rand.New(rand.NewPCG(seed, 0))
}

// Set replaces the settings.
func (f *Faults) Set(settings FaultSettings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = settings
}

// Settings returns the current settings.
func (f *Faults) Settings() FaultSettings {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settings
}

// delay sleeps for the current Delay, even if the caller disconnects.
func (f *Faults) delay() {
	time.Sleep(f.Settings().Delay)
}

// admitWrite returns ErrOutage or ErrThrottled if a write is to be refused.
func (f *Faults) admitWrite() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.admit(&f.writes, f.settings.WriteLimit)
}

// admitRead returns ErrOutage or ErrThrottled if a read is to be refused.
func (f *Faults) admitRead() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.admit(&f.reads, f.settings.ReadLimit)
}

// admit returns ErrOutage during an outage, and ErrThrottled if a request exceeds the limit of the bucket; the caller
// must hold the lock.
func (f *Faults) admit(b *tokenBucket, limit float64) error {
	if f.settings.Outage {
		return ErrOutage
	}
	if limit > 0 && !b.allow(limit, time.Now()) {
		return ErrThrottled
	}
	return nil
}

// drawLostAnswer decides at random whether the next answer is lost.
func (f *Faults) drawLostAnswer() bool {
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

// tokenBucket is a token bucket whose capacity is one second's worth of its rate.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// allow refills the bucket at a rate of limit tokens per second, and reports whether it could remove one token.
func (b *tokenBucket) allow(limit float64, now time.Time) bool {
	if b.refilledAt.IsZero() {
		b.tokens = limit
	}
	b.tokens = min(limit, b.tokens+limit*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
