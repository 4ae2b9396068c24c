package idempotency

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Pace of a Sweeper.
const (
	// sweepInterval is the mean time between two sweeps.
	sweepInterval = time.Minute
	// sweepPause is the time between two transactions of a sweep.
	sweepPause = 200 * time.Millisecond
	// sweepRows bounds the rows of one transaction.
	sweepRows = 64
	// sweepTimeout bounds one call of the store.
	sweepTimeout = 5 * time.Second
)

// Sweeper forgets records whose keys are refused for their age. It reads and writes no blackboard
// table.
type Sweeper struct {
	// Store is the table of claims.
	Store Expirer
	// Retention is that of the callers; 0 means a day.
	Retention time.Duration
	// Skew is that of the callers; 0 means a minute.
	Skew time.Duration
	// Log takes the sweeper's messages.
	Log zerolog.Logger
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	setDefault(&s.Retention, defaultRetention)
	setDefault(&s.Skew, defaultSkew)
	for sleep(ctx, sweepInterval/2+mathrand.N(sweepInterval)) == nil {
		if err := s.sweep(ctx); err != nil && ctx.Err() == nil {
			s.Log.Warn().Err(err).Msg("idempotency: old records can't be removed now")
		}
	}
	return nil
}

// sweep removes all records that are old enough.
//
// Between the refusal of a key and the removal of its record lie two skews, so that no entry whose
// clock is a skew behind still takes the key when another whose clock is a skew ahead removes it.
func (s *Sweeper) sweep(ctx context.Context) error {
	for {
		rows, err := s.page(ctx, time.Now().Add(-s.Retention-2*s.Skew))
		if err != nil || len(rows) == 0 {
			return err
		}
		if err := sleep(ctx, sweepPause); err != nil {
			return err
		}
	}
}

// page removes the oldest records, except those that change meanwhile.
func (s *Sweeper) page(ctx context.Context, before time.Time) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := s.Store.Expired(ctx, before, sweepRows)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	if err := s.Store.Delete(ctx, rows); err != nil && !errors.Is(err, ErrConflict) {
		return nil, err
	}
	return rows, nil
}
