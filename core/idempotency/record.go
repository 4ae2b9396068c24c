package idempotency

import (
	"crypto/sha256"
	"time"
)

// State tells how far a call has come.
type State string

// The states of a call. Records hold all but StateInProgress, results all but StateDispatching.
const (
	// StateDispatching means that a holder has the claim and may send the call.
	StateDispatching State = "dispatching"
	// StateNotRun means that the call was not run and that no holder of an earlier claim can run it.
	StateNotRun State = "not_run"
	// StateDone means that the call ran once and was answered.
	StateDone State = "done"
	// StateFailed means that the service answered with a failure; the call is not sent again.
	StateFailed State = "failed"
	// StateOutcomeUnknown means that the call may have run; it is not sent again.
	StateOutcomeUnknown State = "outcome_unknown"
	// StateInProgress means that a holder of the claim may still get the answer.
	StateInProgress State = "in_progress"
)

// Digest tells the bodies of calls apart.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an operation and the body that it is called with.
func DigestOf(operation string, body []byte) Digest {
	hash := sha256.New()
	_, _ = hash.Write([]byte(operation))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(body)
	return Digest(hash.Sum(nil))
}

// Answer is what the service answered.
type Answer struct {
	// Body is the answer as the service gave it.
	Body []byte
	// Failed tells that the answer is a failure.
	Failed bool
}

// Record is a row of the table of claims.
type Record struct {
	// Key is the idempotency key.
	Key Key
	// Token is the random name of the claim, by which its holder knows it again.
	Token string
	// State tells how far the call has come.
	State State
	// Digest is that of the call's body.
	Digest Digest
	// Deadline is until when the holder waits for the answer.
	Deadline time.Time
	// Answer is the service's answer in StateDone and StateFailed.
	Answer Answer
}

// Row is a record as it was read.
type Row struct {
	// Record is what was read, with nothing but its key if the row is absent.
	Record Record
	// Version is the row's version, AbsentVersion if the row is absent.
	Version int64
}

// AbsentVersion is the version of rows that are not there. No two writes of a row lead to one version.
const AbsentVersion int64 = 0

// Write replaces a row.
type Write struct {
	// Record is what to write.
	Record Record
	// IfVersion is the version that the row must have.
	IfVersion int64
}
