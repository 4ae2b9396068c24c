package engine

import (
	"fmt"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// ErrAttemptMismatch means that a stream contains an event of another attempt.
var ErrAttemptMismatch = errors.New("event belongs to another attempt")

// Code specifies why an engine call failed.
type Code string

// The codes of failed calls.
const (
	// CodeStaleFence means that the engine has seen a larger fencing token.
	CodeStaleFence Code = "stale_fence"
	// CodeNoMemory means that the engine has too little free KV cache memory.
	CodeNoMemory Code = "no_memory"
	// CodeOverloaded means that the engine runs its maximum number of attempts.
	CodeOverloaded Code = "overloaded"
	// CodeUnknownModel means that the engine has not loaded the model.
	CodeUnknownModel Code = "unknown_model"
	// CodeDuplicateAttempt means that an attempt with the same ID is already running.
	CodeDuplicateAttempt Code = "duplicate_attempt"
	// CodeUnknownAttempt means that no attempt with that ID is running.
	CodeUnknownAttempt Code = "unknown_attempt"
	// CodeUnknownKV means that the engine holds no KV cache under that handle.
	CodeUnknownKV Code = "unknown_kv"
	// CodeKVMismatch means that an imported KV cache does not belong to the prompt before the segment.
	CodeKVMismatch Code = "kv_mismatch"
	// CodeInvalid means that the call is invalid or could not be encoded.
	CodeInvalid Code = "invalid"
	// CodeCancelled means that the attempt was canceled at the engine.
	CodeCancelled Code = "cancelled"
	// CodeUnreachable means that no connection could be established.
	CodeUnreachable Code = "unreachable"
	// CodeConnectionLost means that the connection failed before the response was complete.
	CodeConnectionLost Code = "cut"
	// CodeMalformedResponse means that the response could not be decoded.
	CodeMalformedResponse Code = "unreadable"
)

// Error is the error of a failed engine call.
type Error struct {
	// Endpoint is the engine that was called.
	Endpoint fleet.EndpointID
	// Code specifies why the call failed.
	Code Code
	// Message is a description for humans.
	Message string
	// NotRun reports whether the engine certainly executed no part of the call.
	NotRun bool
	// cause is the underlying error, or nil.
	cause error
}

// Error returns the endpoint, the code and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %s: %s", e.Endpoint, e.Code, e.Message)
}

// Unwrap returns the underlying error, or nil.
func (e *Error) Unwrap() error {
	return e.cause
}

// CodeOf returns the code of the *Error in err, or "" if there is none.
func CodeOf(err error) Code {
	var callErr *Error
	if !errors.As(err, &callErr) {
		return ""
	}
	return callErr.Code
}

// CertainlyNotRun reports whether err is an *Error whose NotRun is set: the engine executed no part of the call.
func CertainlyNotRun(err error) bool {
	var callErr *Error
	return errors.As(err, &callErr) && callErr.NotRun
}
