package idempotency

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a settlement.
var (
	// errOvertaken means that another request has written the row.
	errOvertaken = errors.New("row belongs to another request")
	// errUnsettled means that the record may not have been written.
	errUnsettled = errors.New("record is not confirmed")
)

// finish records the outcome of a held claim and returns the result.
//
// The result is true whether or not its record is written in time: the claim is ours, so that no
// other request can run the call meanwhile. Writing goes on after finish has returned.
func (c *Executor) finish(ctx context.Context, record Record, held claim, result Result) Result {
	c.countResult(result.State)
	record.State = result.State
	record.Answer = result.Answer
	_ = c.settleInBackground(ctx, record, held.version, result)
	return result
}

// countResult counts the outcome of a held claim.
func (c *Executor) countResult(state State) {
	switch state {
	case StateDone:
		c.count.done.Inc(1)
	case StateFailed:
		c.count.failed.Inc(1)
	case StateNotRun:
		c.count.notRun.Inc(1)
	case StateOutcomeUnknown:
		c.count.unknown.Inc(1)
	}
}

// releaseUncertain gives up a claim that may be ours, or become so, and that we won't use.
//
// A row of ours that says "not run" proves it of the key, unless a record could have been forgotten.
func (c *Executor) releaseUncertain(ctx context.Context, record Record, uncertain claim) Result {
	c.count.notClaimed.Inc(1)
	record.State = StateNotRun
	result := refused(ReasonStoreUnavailable, c.comeBack(0))
	if c.settleInBackground(ctx, record, uncertain.version, result) != nil {
		return result
	}
	_, err := c.checkTime(record.Key)
	result.EarlierUnknown = err != nil
	return result
}

// settleInBackground writes an outcome and waits for up to RecordTimeout, or until ctx ends.
//
// It returns nil if the outcome is written, and errOvertaken or errUnsettled.
func (c *Executor) settleInBackground(ctx context.Context, record Record, version int64, result Result) error {
	c.progress.conclude(record.Key, result)
	settled := make(chan error, 1)
	job := func(ctx context.Context) {
		err := c.settle(ctx, record, version)
		c.progress.end(record.Key)
		settled <- err
	}
	select {
	case c.jobs <- job:
	case <-c.stopped:
		c.progress.end(record.Key)
		return c.reportUnsettled(record, errUnsettled)
	}
	timer := time.NewTimer(c.RecordTimeout)
	defer timer.Stop()
	select {
	case err := <-settled:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	return errUnsettled
}

// settle writes an outcome over our claim until that is confirmed or ctx ends.
//
// A conflict is read back: our own claim may have got another version by a write whose answer was
// lost, our outcome may be there already, or, after StateNotRun, another request may have claimed.
func (c *Executor) settle(ctx context.Context, record Record, version int64) error {
	for pause := firstBackoff; ; pause = nextBackoff(pause) {
		_, err := c.batcher.write(ctx, Write{Record: record, IfVersion: version}, true)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrRejected):
			return c.reportUnsettled(record, err)
		case errors.Is(err, ErrConflict):
			row, err := c.batcher.read(ctx, record.Key)
			if err == nil && (row.Record.Token != record.Token || row.Record.State == record.State) {
				return c.reportConflict(record, row)
			}
			if err == nil {
				version = row.Version
			}
		}
		if sleep(ctx, jittered(pause)) != nil {
			return c.reportUnsettled(record, errUnsettled)
		}
	}
}

// reportConflict tells whether a row that can't be written any more holds our outcome.
func (c *Executor) reportConflict(record Record, row Row) error {
	c.count.readBacks.Inc(1)
	if row.Record.Token == record.Token {
		return nil
	}
	if record.State == StateNotRun {
		return errOvertaken
	}
	return c.reportUnsettled(record, errOvertaken)
}

// reportUnsettled counts and logs an outcome that is not recorded.
func (c *Executor) reportUnsettled(record Record, err error) error {
	c.count.unsettled.Inc(1)
	c.Log.Warn().Err(err).Msgf("idempotency: outcome %s of key %s is not recorded", record.State, record.Key.Key)
	return errors.Wrap(errUnsettled, err.Error())
}
