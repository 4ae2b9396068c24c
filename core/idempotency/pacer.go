package idempotency

import (
	"context"
	"sync"
	"time"
)

// pacer spaces the transactions of a queue of writes, or the batch reads of a queue of reads,
// evenly in time.
type pacer struct {
	mu sync.Mutex
	// rate is in transactions or reads per second; 0 means no bound.
	rate float64
	// next is the earliest start of the next transaction or batch read.
	next time.Time
}

// setRate changes the rate, in transactions or batch reads per second. Those that are already
// waiting keep their start times.
func (p *pacer) setRate(rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

// wait blocks until the next transaction or batch read may start and returns nil, or returns the
// error of ctx if that ends first.
func (p *pacer) wait(ctx context.Context) error {
	delay := p.reserveSlot(time.Now())
	if delay <= 0 {
		return ctx.Err()
	}
	return sleep(ctx, delay)
}

// reserveSlot reserves the next start time and returns the delay until then.
func (p *pacer) reserveSlot(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate <= 0 {
		return 0
	}
	if p.next.Before(now) {
		p.next = now
	}
	delay := p.next.Sub(now)
	p.next = p.next.Add(time.Duration(float64(time.Second) / p.rate))
	return delay
}

// sleep waits for d and returns nil, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
