package idempotency

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of recording an outcome.
var (
	// errOtherRequest means that another request has written the row.
	errOtherRequest = errors.New("row belongs to another request")
	// errUnconfirmed means that the record may not have been written.
	errUnconfirmed = errors.New("record is not confirmed")
)

// recordOutcome records the outcome of a held claim and returns result.
//
// The result is correct whether or not its record is written in time: this request holds the claim,
// so that no other request can run the call in the meantime. Writing may continue after
// recordOutcome has returned.
func (e *Executor) recordOutcome(ctx context.Context, record Record, held claimResult, result Result) Result {
	e.countResult(result.State)
	record.State = result.State
	record.Answer = result.Answer
	_ = e.recordInBackground(ctx, record, held.version, result)
	return result
}

// countResult increments the counter of the state in which the call of a held claim ended.
func (e *Executor) countResult(state State) {
	switch state {
	case StateDone:
		e.counts.done.Inc(1)
	case StateFailed:
		e.counts.failed.Inc(1)
	case StateNotRun:
		e.counts.notRun.Inc(1)
	case StateOutcomeUnknown:
		e.counts.unknown.Inc(1)
	}
}

// releaseUncertainClaim releases a claim that this request may hold now or later, without sending
// the call. It returns a result in StateNotRun.
//
// EarlierUnknown is false in the result only if the record has been written and the key has not
// expired since. A written record in StateNotRun proves that no request with the key has run,
// unless the record of an earlier request may have been deleted.
func (e *Executor) releaseUncertainClaim(ctx context.Context, record Record, uncertain claimResult) Result {
	e.counts.claimsFailed.Inc(1)
	record.State = StateNotRun
	result := refusedResult(ReasonStoreUnavailable, e.retryDelay(0))
	if e.recordInBackground(ctx, record, uncertain.version, result) != nil {
		return result
	}
	_, err := e.checkKeyTime(record.Key)
	result.EarlierUnknown = err != nil
	return result
}

// recordInBackground starts to write an outcome and waits for the write until RecordTimeout has
// passed or ctx ends.
//
// It returns nil if the outcome is written, else errOtherRequest or errUnconfirmed.
func (e *Executor) recordInBackground(ctx context.Context, record Record, version int64, result Result) error {
	e.inFlight.setResult(record.Key, result)
	written := make(chan error, 1)
	job := func(ctx context.Context) {
		err := e.writeOutcome(ctx, record, version)
		e.inFlight.remove(record.Key)
		written <- err
	}
	select {
	case e.jobs <- job:
	case <-e.stopped:
		e.inFlight.remove(record.Key)
		return e.logUnrecorded(record, errUnconfirmed)
	}
	timer := time.NewTimer(e.RecordTimeout)
	defer timer.Stop()
	select {
	case err := <-written:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	return errUnconfirmed
}

// writeOutcome replaces the claim of this request by its outcome. It retries until the write is
// confirmed, the store rejects it, another request owns the row, or ctx ends, and returns an error
// in the last three cases.
//
// After a conflict it reads the row back: the claim may have another version because of a write
// whose answer was lost, the outcome may already be recorded, or, after StateNotRun, another
// request may have claimed the key.
func (e *Executor) writeOutcome(ctx context.Context, record Record, version int64) error {
	for backoff := firstBackoff; ; backoff = nextBackoff(backoff) {
		_, err := e.batcher.write(ctx, Write{Record: record, IfVersion: version}, true)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrRejected):
			return e.logUnrecorded(record, err)
		case errors.Is(err, ErrConflict):
			row, err := e.batcher.read(ctx, record.Key)
			if err == nil && (row.Record.Token != record.Token || row.Record.State == record.State) {
				return e.resolveConflict(record, row)
			}
			if err == nil {
				version = row.Version
			}
		}
		if sleep(ctx, jittered(backoff)) != nil {
			return e.logUnrecorded(record, errUnconfirmed)
		}
	}
}

// resolveConflict returns nil if the row that a write conflicted with holds the outcome of this
// request, else an error. The error is not logged if the outcome is StateNotRun, since another
// request may then claim the key.
func (e *Executor) resolveConflict(record Record, row Row) error {
	e.counts.readBacks.Inc(1)
	if row.Record.Token == record.Token {
		return nil
	}
	if record.State == StateNotRun {
		return errOtherRequest
	}
	return e.logUnrecorded(record, errOtherRequest)
}

// logUnrecorded counts and logs an outcome that could not be recorded, and returns errUnconfirmed
// with the text of err.
func (e *Executor) logUnrecorded(record Record, err error) error {
	e.counts.unrecorded.Inc(1)
	e.Log.Warn().Err(err).Msgf("idempotency: outcome %s of key %s is not recorded", record.State, record.Key.Key)
	return errors.Wrap(errUnconfirmed, err.Error())
}
