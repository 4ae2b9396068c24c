package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

const (
	// initialBackoff is the time before the first retry of a write whose outcome could not be determined.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff bounds the time between two retries.
	maxBackoff = 2 * time.Second
)

// ConcurrentChangeError means that another operator's change was written first and the caller's change was not applied.
type ConcurrentChangeError struct {
	// Key is the key of the row.
	Key RowKey
	// Other is the change that was written first. Its revision is 0 if it could not be read.
	Other Change
}

// Error describes the other change, if it could be read.
func (e *ConcurrentChangeError) Error() string {
	if e.Other.Revision == 0 {
		return "another change came first and can't be read now; nothing was changed"
	}
	return fmt.Sprintf("revision %d by %s at %s from %v came first and remains current; nothing was changed",
		e.Other.Revision, e.Other.By, e.Other.At.Format(time.RFC3339), e.Other.From)
}

// Is reports whether target is ErrConflict.
func (e *ConcurrentChangeError) Is(target error) bool {
	return target == ErrConflict
}

// RecordUpdater reads records, and updates them by compare-and-set on the version that was read. The poller only reads
// with it.
type RecordUpdater struct {
	// Tables is the table service; *Client implements it.
	Tables TableService
}

// Read returns one record for each key, in the order of keys; the record of an absent row has no changes. The error is
// that of Client.Read or the reason why a record cannot be decoded.
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

// Update replaces a record, which the caller has read and passes as old, by its next revision with the given body. It
// returns the change with its revision once the write is confirmed.
//
// The additional writes are part of the same transaction. If the response to a write is lost or the write conflicts,
// the record is read and its changes are searched for the revision and its token; while the outcome remains unknown,
// the write is retried under the same condition until ctx ends, so that it is applied at most once. The error is a
// *ConcurrentChangeError if another change was written first, ErrUnavailable or ErrRejected if nothing was applied, and
// ErrUnknownOutcome if ctx ended before the outcome was known or the record no longer contains the revision.
func (r *RecordUpdater) Update(
	ctx context.Context, old Record, change Change, body json.RawMessage, additional ...Write,
) (Change, error) {
	change.Revision = old.Latest().Revision + 1
	value, err := old.encode(change, body)
	if err != nil {
		return change, err
	}
	update := pendingUpdate{RecordUpdater: r, old: old, change: change}
	update.writes = append([]Write{{Key: old.Key, Value: value, IfVersion: old.Version}}, additional...)
	return change, update.run(ctx)
}

// pendingUpdate is an update whose outcome is not yet known.
type pendingUpdate struct {
	*RecordUpdater
	old    Record
	change Change
	writes []Write
	// outcomeUnknown reports whether the outcome of any try is unknown; conflicted reports whether any try conflicted.
	outcomeUnknown bool
	conflicted     bool
}

// run tries the write until its outcome is known or ctx ends. Its errors are those of Update.
func (v *pendingUpdate) run(ctx context.Context) error {
	for pause := initialBackoff; ; pause = min(2*pause, maxBackoff) {
		_, err := v.Tables.Transact(ctx, v.change.Token, v.writes)
		if err == nil {
			return nil
		}
		v.outcomeUnknown = v.outcomeUnknown || errors.Is(err, ErrUnknownOutcome)
		v.conflicted = v.conflicted || errors.Is(err, ErrConflict)
		if !v.outcomeUnknown && !v.conflicted {
			return err
		}
		if settled, err := v.readBack(ctx); settled {
			return err
		}
		if !sleep(ctx, pause) {
			return v.expiredError()
		}
	}
}

// readBack reads the record to find out whether this change or another one was applied. If settled is true, err is the
// result of the update: the outcome is known, or the record no longer contains the revision. If settled is false, the
// record could not be read or does not have the revision yet.
func (v *pendingUpdate) readBack(ctx context.Context) (settled bool, err error) {
	records, err := v.Read(ctx, v.old.Key)
	if err != nil {
		return false, nil //nolint:nilerr // The outcome stays unknown while the record cannot be read.
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
	return true, errors.Wrapf(ErrUnknownOutcome, "revision %d is no longer recorded, the current revision is %d",
		v.change.Revision, latest.Revision)
}

// expiredError returns the error for an update whose context ended before the outcome was known: ErrUnknownOutcome if
// the outcome of any try is unknown, else a *ConcurrentChangeError without the other change.
func (v *pendingUpdate) expiredError() error {
	if v.outcomeUnknown {
		return errors.Wrapf(ErrUnknownOutcome, "revision %d, token %s", v.change.Revision, v.change.Token)
	}
	return &ConcurrentChangeError{Key: v.old.Key}
}

// sleep waits for pause and reports true, or returns false as soon as ctx ends.
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
