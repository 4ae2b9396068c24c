package engine

import (
	"fmt"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// ErrAttemptMismatch means that an engine answered with an event of another attempt.
var ErrAttemptMismatch = errors.New("answer of another attempt")

// Code tells why an engine call failed.
type Code string

// The codes of failed calls.
const (
	// CodeStaleFence means the engine has seen a larger fencing number.
	CodeStaleFence Code = "stale_fence"
	// CodeNoMemory means the KV cache memory has no room for the attempt.
	CodeNoMemory Code = "no_memory"
	// CodeOverloaded means the engine runs as many attempts as it takes.
	CodeOverloaded Code = "overloaded"
	// CodeUnknownModel means the engine has not loaded the model.
	CodeUnknownModel Code = "unknown_model"
	// CodeDuplicateAttempt means an attempt with that id is running already.
	CodeDuplicateAttempt Code = "duplicate_attempt"
	// CodeUnknownAttempt means no attempt with that id is running.
	CodeUnknownAttempt Code = "unknown_attempt"
	// CodeUnknownKV means the engine holds no KV cache under that handle.
	CodeUnknownKV Code = "unknown_kv"
	// CodeKVMismatch means an imported KV cache does not belong to the prompt before the segment.
	CodeKVMismatch Code = "kv_mismatch"
	// CodeInvalid means the engine could not read the call.
	CodeInvalid Code = "invalid"
	// CodeCancelled means the attempt was cancelled at the engine.
	CodeCancelled Code = "cancelled"
	// CodeUnreachable means that no connection could be made.
	CodeUnreachable Code = "unreachable"
	// CodeCut means that the connection ended before the answer did.
	CodeCut Code = "cut"
	// CodeUnreadable means that the answer could not be read.
	CodeUnreadable Code = "unreadable"
)

// Error is a failed call of an engine.
type Error struct {
	// Endpoint is the engine that was called.
	Endpoint fleet.EndpointID
	// Code tells why the call failed.
	Code Code
	// Message is for people.
	Message string
	// NotRun is true if it is certain that the engine did not carry out any of the call.
	NotRun bool
	// cause is the error of the layer below, if there is one.
	cause error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %s: %s", e.Endpoint, e.Code, e.Message)
}

// Unwrap returns the error of the layer below.
func (e *Error) Unwrap() error {
	return e.cause
}

// CodeOf returns the code of a failed call, or "" if err is no failed call.
func CodeOf(err error) Code {
	var failed *Error
	if !errors.As(err, &failed) {
		return ""
	}
	return failed.Code
}

// CertainlyNotRun returns true if it is certain that the engine did not carry out any of the call.
func CertainlyNotRun(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.NotRun
}
