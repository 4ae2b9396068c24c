package idempotency

import "time"

// lateRecord is how long after its deadline a call's outcome may still be written, so that coming
// back can be worth it.
const lateRecord = 5 * time.Minute

// answerProgress answers a request whose key is in progress in this process.
//
// A call that wasn't run may be run by another process as soon as the table says so, which can be
// before this process knows that it does.
func (c *Executor) answerProgress(call progressCall, digest Digest) (Result, error) {
	if call.refused {
		c.count.refused.Inc(1)
		return refused(ReasonBusy, c.comeBack(0)), nil
	}
	if call.digest != digest {
		c.count.refused.Inc(1)
		return refused(ReasonBodyMismatch, 0), ErrBodyMismatch
	}
	c.count.repeats.Inc(1)
	if call.result == nil {
		return c.inProgress(0), nil
	}
	result := *call.result
	result.Repeated = true
	result.EarlierUnknown = result.State == StateNotRun
	return result, nil
}

// answerRow answers a request whose key's row belongs to another request.
func (c *Executor) answerRow(record Record, digest Digest) (Result, error) {
	if record.Digest != digest {
		c.count.refused.Inc(1)
		return refused(ReasonBodyMismatch, 0), ErrBodyMismatch
	}
	c.count.repeats.Inc(1)
	result := Result{State: record.State, Answer: record.Answer, Repeated: true}
	switch record.State {
	case StateDispatching:
		return c.answerDispatching(record), nil
	case StateFailed:
		result.Reason = ReasonServiceFailed
	case StateOutcomeUnknown:
		result.Reason = ReasonNoAnswer
	}
	return result, nil
}

// answerDispatching answers a request whose key is claimed by another request.
//
// The claim is not taken over, however old it is: its holder may be paused just before sending.
func (c *Executor) answerDispatching(record Record) Result {
	late := time.Since(record.Deadline)
	if late <= c.Skew {
		return c.inProgress(min(max(0, -late), c.CallTimeout))
	}
	result := Result{State: StateOutcomeUnknown, Reason: ReasonNoAnswer, Repeated: true}
	if late <= lateRecord {
		result.RetryAfter = c.comeBack(0)
	}
	return result
}

// inProgress returns the result of a request whose key's holder may still get the answer.
func (c *Executor) inProgress(left time.Duration) Result {
	return Result{
		State:      StateInProgress,
		Reason:     ReasonInProgress,
		RetryAfter: c.comeBack(left / 2),
		Repeated:   true,
	}
}
