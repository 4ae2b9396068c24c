package platform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of the client; test them with errors.Is.
var (
	// ErrConflict means that a row had another version than asked and nothing was applied; the
	// error is a *ConflictError.
	ErrConflict = errors.New("row has another version")
	// ErrUnavailable means that the platform can't be used now and that nothing was applied; the
	// error is an *UnavailableError.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUnknownOutcome means that the write may or may not have been applied.
	ErrUnknownOutcome = errors.New("outcome of the write is not known")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object is not there")
	// ErrRejected means that the platform found the request wrong and applied nothing.
	ErrRejected = errors.New("platform rejected the request")
)

// ConflictError names the rows that stopped a transaction.
type ConflictError struct {
	// Rows holds the rows with their present versions and no values.
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

// UnavailableError tells why the platform can't be used.
type UnavailableError struct {
	// Throttled tells that a rate limit was met.
	Throttled bool
	// RetryAfter is when to try again, 0 if the platform doesn't say.
	RetryAfter time.Duration
	// Cause is the error from below.
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
