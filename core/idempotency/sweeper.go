package idempotency

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
)

// Timing and batch size of a Sweeper.
const (
	// sweepInterval is the mean time between two sweeps.
	sweepInterval = time.Minute
	// sweepDelay is the time between two transactions of a sweep.
	sweepDelay = 200 * time.Millisecond
	// sweepBatchRows bounds the rows of one transaction.
	sweepBatchRows = 64
	// sweepTimeout bounds one batch: listing and deletion.
	sweepTimeout = 5 * time.Second
)

// Sweeper deletes records whose keys are old enough to be rejected. It doesn't use the cluster
// state.
type Sweeper struct {
	// Store is the table of claims.
	Store Expirer
	// Retention is the Retention of all executors; 0 means a day.
	Retention time.Duration
	// Skew is the Skew of all executors; 0 means a minute.
	Skew time.Duration
	// Log receives warnings about failed sweeps.
	Log zerolog.Logger
}

// Run sweeps periodically until ctx ends. It returns nil.
func (s *Sweeper) Run(ctx context.Context) error {
	setDefault(&s.Retention, defaultRetention)
	setDefault(&s.Skew, defaultSkew)
	for sleep(ctx, sweepInterval/2+mathrand.N(sweepInterval)) == nil {
		if err := s.sweep(ctx); err != nil && ctx.Err() == nil {
			s.Log.Warn().Err(err).Msg("idempotency: sweep of old records failed")
		}
	}
	return nil
}

// sweep deletes all records whose keys were created more than Retention plus 2*Skew ago.
//
// Entries begin to reject a key when it is older than Retention; its record is deleted 2*Skew later. An entry whose
// clock is Skew behind therefore no longer accepts the key when an entry whose clock is Skew ahead deletes the record.
func (s *Sweeper) sweep(ctx context.Context) error {
	for {
		rows, err := s.deleteBatch(ctx, time.Now().Add(-s.Retention-2*s.Skew))
		if err != nil || len(rows) == 0 {
			return err
		}
		if err := sleep(ctx, sweepDelay); err != nil {
			return err
		}
	}
}

// deleteBatch deletes up to sweepBatchRows of the oldest records and returns them, or no rows if none are old enough.
// If one of them has changed since it was listed, none is deleted; they are returned all the same, and the next batch
// lists them again.
func (s *Sweeper) deleteBatch(ctx context.Context, before time.Time) ([]Row, error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := s.Store.Expired(ctx, before, sweepBatchRows)
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	if err := s.Store.Delete(ctx, rows); err != nil && !errors.Is(err, ErrConflict) {
		return nil, err
	}
	return rows, nil
}
