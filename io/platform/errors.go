package platform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of this package, to be matched by errors.Is.
var (
	// ErrConflict means that a row had another version than required and nothing was applied. An error that matches it
	// is a *ConflictError or a *ConcurrentChangeError.
	ErrConflict = errors.New("row has a different version")
	// ErrUnavailable means that the platform is temporarily unavailable and nothing was applied. An error that matches
	// it is an *UnavailableError.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUnknownOutcome means that the write may have been applied, may still be applied later, or may never be
	// applied.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrRejected means that the request is invalid and nothing was applied.
	ErrRejected = errors.New("platform rejected the request")
)

// ConflictError means that rows of a transaction had other versions than required.
type ConflictError struct {
	// Rows contains the conflicting rows with their current versions and without values; it is empty if the platform's
	// response could not be decoded.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction conflicts with %d rows", len(e.Rows))
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// UnavailableError means that the platform is temporarily unavailable.
type UnavailableError struct {
	// Throttled reports whether a rate limit was exceeded.
	Throttled bool
	// RetryAfter is the time to wait before the next try, 0 if the platform does not state one.
	RetryAfter time.Duration
	// Cause is the underlying error.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "platform is unavailable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}

// Is reports whether target is ErrUnavailable.
func (e *UnavailableError) Is(target error) bool {
	return target == ErrUnavailable
}
