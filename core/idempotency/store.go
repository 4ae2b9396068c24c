package idempotency

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. Use errors.Is to test for them.
var (
	// ErrConflict means that a row didn't have the expected version and that nothing was written.
	// The error is a *ConflictError.
	ErrConflict = errors.New("row has another version")
	// ErrUnavailable means that the store can't be reached or used and that nothing was written.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrThrottled means that a rate limit of the store was exceeded and that nothing was written.
	ErrThrottled = errors.New("store limits the rate")
	// ErrUnknownOutcome means that the write may have been applied, or may still be.
	ErrUnknownOutcome = errors.New("outcome of the write is not known")
	// ErrRejected means that the store will never accept the write; nothing was written.
	ErrRejected = errors.New("store rejected the write")
)

// ConflictError names the rows that made a transaction fail.
type ConflictError struct {
	// Keys holds the keys of the conflicting rows; it may be empty if the store doesn't name them.
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
	// Read returns the rows in the order of keys. Its errors are ErrUnavailable and ErrThrottled.
	Read(ctx context.Context, keys []Key) ([]Row, error)
	// Write applies all writes or none and returns the new versions in the order of writes. Its
	// errors are ErrConflict, ErrUnavailable, ErrThrottled, ErrRejected and ErrUnknownOutcome.
	Write(ctx context.Context, writes []Write) ([]int64, error)
}

// Expirer is the part of the table of claims that lists and deletes old records.
type Expirer interface {
	// Expired returns up to limit rows whose keys were created before a time, oldest first. Its
	// errors are those of Store.Read.
	Expired(ctx context.Context, before time.Time, limit int) ([]Row, error)
	// Delete deletes all rows if each still has the version it was read with, else none. Its errors
	// are those of Store.Write.
	Delete(ctx context.Context, rows []Row) error
}
