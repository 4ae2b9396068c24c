package idempotency

import (
	"context"
	"sync"
	"time"
)

// budget spaces transactions evenly.
type budget struct {
	mu sync.Mutex
	// rate is in transactions a second; 0 means no bound.
	rate float64
	next time.Time
}

// setRate changes the rate; transactions that wait already keep their times.
func (b *budget) setRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate = rate
}

// wait returns when the next transaction may start, or with the error of ctx.
func (b *budget) wait(ctx context.Context) error {
	pause := b.reserve(time.Now())
	if pause <= 0 {
		return ctx.Err()
	}
	return sleep(ctx, pause)
}

// reserve takes the next free time and returns how far off it is.
func (b *budget) reserve(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rate <= 0 {
		return 0
	}
	if b.next.Before(now) {
		b.next = now
	}
	pause := b.next.Sub(now)
	b.next = b.next.Add(time.Duration(float64(time.Second) / b.rate))
	return pause
}

// sleep waits for d or until ctx ends, whose error it returns.
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
