package idempotency

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store; test them with errors.Is.
var (
	// ErrConflict means that a row had another version than asked and that nothing was written; the
	// error is a *ConflictError.
	ErrConflict = errors.New("row has another version")
	// ErrUnavailable means that the store can't be used now and that nothing was written.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrThrottled means that a rate limit was met and that nothing was written.
	ErrThrottled = errors.New("store limits the rate")
	// ErrUnknownOutcome means that the write may have been applied, or may be later.
	ErrUnknownOutcome = errors.New("outcome of the write is not known")
	// ErrRejected means that the store will never take the write; nothing was written.
	ErrRejected = errors.New("store rejected the write")
)

// ConflictError names the rows that stopped a transaction.
type ConflictError struct {
	// Keys names the rows.
	Keys []Key
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflicts with %d rows", len(e.Keys))
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// Store is the transactional table of claims.
type Store interface {
	// Read returns the rows of keys in their order, or ErrUnavailable or ErrThrottled.
	Read(ctx context.Context, keys []Key) ([]Row, error)
	// Write applies all writes or none and returns the new versions in their order. It returns
	// ErrConflict, ErrUnavailable, ErrThrottled, ErrRejected or ErrUnknownOutcome.
	Write(ctx context.Context, writes []Write) ([]int64, error)
}

// Expirer is the part of the table of claims that forgets records.
type Expirer interface {
	// Expired returns up to limit rows whose keys are older than before, the oldest first, or the
	// errors of Store.Read.
	Expired(ctx context.Context, before time.Time, limit int) ([]Row, error)
	// Delete removes rows that still have the versions they were read with. It returns the errors
	// of Store.Write.
	Delete(ctx context.Context, rows []Row) error
}
