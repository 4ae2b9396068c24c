package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

const (
	// firstPause is the time before the first repeat of a write whose outcome isn't known.
	firstPause = 100 * time.Millisecond
	// longestPause bounds the time between two repeats.
	longestPause = 2 * time.Second
)

// ConcurrentChangeError means that another operator's change came first; nothing of one's own is in force.
type ConcurrentChangeError struct {
	// Key names the row.
	Key RowKey
	// Other is the change that came first; it has no revision if it couldn't be read.
	Other Change
}

// Error names the other change.
func (e *ConcurrentChangeError) Error() string {
	if e.Other.Revision == 0 {
		return "another change came first and can't be read now; nothing was changed"
	}
	return fmt.Sprintf("revision %d by %s at %s from %v came first and stays in force; nothing was changed",
		e.Other.Revision, e.Other.By, e.Other.At.Format(time.RFC3339), e.Other.From)
}

// Is reports whether target is ErrConflict.
func (e *ConcurrentChangeError) Is(target error) bool {
	return target == ErrConflict
}

// RecordUpdater changes records under compare-and-set on what was read before.
type RecordUpdater struct {
	// Tables is a Client.
	Tables TableService
}

// Read returns the records of keys in their order, absent ones without changes, or ErrUnavailable.
func (r *RecordUpdater) Read(ctx context.Context, keys ...RowKey) ([]Record, error) {
	rows, err := r.Tables.Read(ctx, keys)
	if err != nil {
		return nil, err
	}
	records := make([]Record, len(rows))
	for i, row := range rows {
		if records[i], err = newRecord(row); err != nil {
			return nil, err
		}
	}
	return records, nil
}

// Update makes the next revision of a record and returns its change once that is confirmed.
//
// The writes beside go into the same transaction. A write whose answer is lost is read back by its token and repeated
// under the same condition until ctx ends, so that it is applied once at most. The error is a *ConcurrentChangeError if another
// change came first, ErrUnavailable or ErrRejected if nothing was applied, and ErrUnknownOutcome if ctx ended before
// the outcome was known.
func (r *RecordUpdater) Update(
	ctx context.Context, old Record, change Change, body json.RawMessage, beside ...Write,
) (Change, error) {
	change.Revision = old.Latest().Revision + 1
	value, err := old.encode(change, body)
	if err != nil {
		return change, err
	}
	revision := revision{RecordUpdater: r, old: old, change: change}
	revision.writes = append([]Write{{Key: old.Key, Value: value, IfVersion: old.Version}}, beside...)
	return change, revision.run(ctx)
}

// revision is one change that is being made.
type revision struct {
	*RecordUpdater
	old     Record
	change  Change
	writes  []Write
	unsure  bool
	refused bool
}

// run writes until the outcome is known or ctx ends.
func (v *revision) run(ctx context.Context) error {
	for pause := firstPause; ; pause = min(2*pause, longestPause) {
		_, err := v.Tables.Transact(ctx, v.change.Token, v.writes)
		if err == nil {
			return nil
		}
		v.unsure = v.unsure || errors.Is(err, ErrUnknownOutcome)
		v.refused = v.refused || errors.Is(err, ErrConflict)
		if !v.unsure && !v.refused {
			return err
		}
		if settled, err := v.readBack(ctx); settled {
			return err
		}
		if !sleep(ctx, pause) {
			return v.giveUp()
		}
	}
}

// readBack looks whether the change or another one is in the record; settled means that the outcome is known.
func (v *revision) readBack(ctx context.Context) (settled bool, err error) {
	records, err := v.Read(ctx, v.old.Key)
	if err != nil {
		return false, nil //nolint:nilerr // An unreadable record leaves the outcome open.
	}
	latest := records[0].Latest()
	if latest.Revision < v.change.Revision {
		return false, nil
	}
	for _, c := range records[0].Changes {
		switch {
		case c.Revision != v.change.Revision:
			continue
		case c.Token == v.change.Token:
			return true, nil
		default:
			return true, &ConcurrentChangeError{Key: v.old.Key, Other: c}
		}
	}
	return true, errors.Wrapf(ErrUnknownOutcome, "revision %d is forgotten, revision %d is in force",
		v.change.Revision, latest.Revision)
}

// giveUp returns what is known when the time is over.
func (v *revision) giveUp() error {
	if v.unsure {
		return errors.Wrapf(ErrUnknownOutcome, "revision %d, token %s", v.change.Revision, v.change.Token)
	}
	return &ConcurrentChangeError{Key: v.old.Key}
}

// sleep waits and reports whether ctx still goes on.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
