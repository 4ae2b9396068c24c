package idempotency

import (
	"context"
	mathrand "math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Back-off between attempts to write to the store.
const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// claimStatus is the outcome of an attempt to claim a key.
type claimStatus int

// Outcomes of an attempt to claim a key.
const (
	// claimHeld means that this request holds the claim.
	claimHeld claimStatus = iota + 1
	// claimUnavailable means that this request doesn't hold the claim, and that none of its writes
	// can still be applied.
	claimUnavailable
	// claimUncertain means that this request may hold the claim, or that one of its writes may still be applied.
	claimUncertain
	// claimOther means that the row belongs to another request. readClaim returns it for an absent row, too.
	claimOther
)

// claimResult is the result of an attempt to claim.
type claimResult struct {
	// status is the outcome of the attempt.
	status claimStatus
	// version is the version of the row that this request holds if status is claimHeld. If status
	// is claimUncertain, it is the version that the last write expected to replace.
	version int64
	// row is the row that the claim conflicted with if status is claimOther; its version is
	// AbsentVersion if readClaim found no row.
	row Row
	// reason is the reason for the refusal of the request if status is claimUnavailable.
	reason Reason
}

// claim inserts the record if its row is absent, or replaces a row in StateNotRun that has the same
// digest.
//
// A write with an unknown outcome is retried: the expected version prevents a second application,
// and the token in the row identifies the request that wrote it. A row that another request has
// written in the meantime proves that the lost write can no longer be applied; an absent row
// doesn't. An outage ends the attempt at once, unless an earlier write may still be applied;
// throttling is retried until ClaimTimeout.
func (e *Executor) claim(ctx context.Context, record Record) claimResult {
	ctx, cancel := context.WithTimeout(ctx, e.ClaimTimeout)
	defer cancel()
	version := AbsentVersion
	uncertain := false
	for backoff := firstBackoff; ; backoff = nextBackoff(backoff) {
		written, err := e.batcher.write(ctx, Write{Record: record, IfVersion: version}, false)
		switch {
		case err == nil:
			return claimResult{status: claimHeld, version: written}
		case errors.Is(err, ErrConflict):
			found, final := e.readClaim(ctx, record)
			if final {
				return found
			}
			if found.status == claimOther {
				version = found.row.Version
				uncertain = uncertain && version == AbsentVersion
				continue
			}
		case errors.Is(err, ErrUnknownOutcome):
			uncertain = true
		case errors.Is(err, ErrThrottled):
		case !uncertain:
			return claimResult{status: claimUnavailable, reason: ReasonStoreUnavailable}
		}
		if sleep(ctx, jittered(backoff)) != nil {
			return claimResult{status: statusAfterTimeout(uncertain), version: version, reason: ReasonStoreUnavailable}
		}
	}
}

// statusAfterTimeout returns the status of a claim that was not confirmed within ClaimTimeout.
func statusAfterTimeout(uncertain bool) claimStatus {
	if uncertain {
		return claimUncertain
	}
	return claimUnavailable
}

// readClaim reads the row that a claim conflicted with. It returns true if the returned claim is final, and false if
// the row can still be claimed or could not be read.
//
// A row in StateNotRun with the same digest can be replaced at its version, and an absent row can be inserted; its
// version is AbsentVersion. In both cases the status is claimOther.
func (e *Executor) readClaim(ctx context.Context, record Record) (claimResult, bool) {
	e.counts.readBacks.Inc(1)
	row, err := e.batcher.read(ctx, record.Key)
	if err != nil {
		return claimResult{status: claimUnavailable}, false
	}
	found := claimResult{status: claimOther, row: row}
	switch {
	case row.Version == AbsentVersion:
		return found, false
	case row.Record.Token == record.Token:
		return claimResult{status: claimHeld, version: row.Version}, true
	case row.Record.State == StateNotRun && row.Record.Digest == record.Digest:
		return found, false
	}
	return found, true
}

// nextBackoff doubles a back-off up to maxBackoff.
func nextBackoff(backoff time.Duration) time.Duration {
	return min(2*backoff, maxBackoff)
}

// jittered returns a random duration of at least half and less than one and a half times backoff.
func jittered(backoff time.Duration) time.Duration {
	return backoff/2 + mathrand.N(backoff)
}
