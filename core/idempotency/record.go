package idempotency

import (
	"crypto/sha256"
	"time"
)

// State is the state of a call.
type State string

// States of a call. StateInProgress occurs only in results, StateDispatching only in records.
const (
	// StateDispatching means that a request holds the claim and may send the call.
	StateDispatching State = "dispatching"
	// StateNotRun means in a record that the call was not run and that no holder of an earlier
	// claim can still run it. In a result it means that this request did not run the call;
	// Result.EarlierUnknown reports whether an earlier one may have run it.
	StateNotRun State = "not_run"
	// StateDone means that the call ran once and was answered.
	StateDone State = "done"
	// StateFailed means that the service answered with a failure; the call is not sent again.
	StateFailed State = "failed"
	// StateOutcomeUnknown means that the call may have run; it is not sent again.
	StateOutcomeUnknown State = "outcome_unknown"
	// StateInProgress means that the holder of the claim may still receive the answer.
	StateInProgress State = "in_progress"
)

// Digest is the SHA-256 hash of the operation and body of a call.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an operation and its body.
func DigestOf(operation string, body []byte) Digest {
	hash := sha256.New()
	_, _ = hash.Write([]byte(operation))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(body)
	return Digest(hash.Sum(nil))
}

// Answer is the answer of the service.
type Answer struct {
	// Body is the answer as the service sent it.
	Body []byte
	// Failed reports whether the answer is a failure.
	Failed bool
}

// Record is a row of the table of claims.
type Record struct {
	// Key is the idempotency key.
	Key Key
	// Token is the random identifier of the claim, by which its holder recognizes its own row.
	Token string
	// State is the state of the call.
	State State
	// Digest is the digest of the call.
	Digest Digest
	// Deadline is the time until which the holder waits for the answer.
	Deadline time.Time
	// Answer is the service's answer in StateDone and StateFailed.
	Answer Answer
}

// Row is a record as read from the store.
type Row struct {
	// Record is the stored record; only its key is set if the row is absent.
	Record Record
	// Version is the version of the row, or AbsentVersion if the row is absent.
	Version int64
}

// AbsentVersion is the version of rows that don't exist. No two writes of a row produce the same
// version.
const AbsentVersion int64 = 0

// Write inserts or replaces a row if the row has the expected version.
type Write struct {
	// Record is the record to write.
	Record Record
	// IfVersion is the version that the row must have; AbsentVersion means that the row must not exist.
	IfVersion int64
}
