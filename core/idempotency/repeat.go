package idempotency

import "time"

// maxRecordDelay is how long after its deadline a call without an outcome is still answered with a
// RetryAfter, since its outcome may be recorded late and a retry would then return it.
const maxRecordDelay = 5 * time.Minute

// answerInFlight answers a request whose key is in flight in this process, or that was refused because of
// MaxInProgress.
//
// Another process can run a call in StateNotRun as soon as the table contains that state, which may
// be before the write of this process is confirmed. EarlierUnknown is therefore set in StateNotRun.
func (e *Executor) answerInFlight(call inFlightCall, digest Digest) (Result, error) {
	if call.overLimit {
		e.counts.refused.Inc(1)
		return refusedResult(ReasonBusy, e.retryDelay(0)), nil
	}
	if call.digest != digest {
		e.counts.refused.Inc(1)
		return refusedResult(ReasonBodyMismatch, 0), ErrBodyMismatch
	}
	e.counts.repeats.Inc(1)
	if call.result == nil {
		return e.inProgressResult(0), nil
	}
	result := *call.result
	result.Repeated = true
	result.EarlierUnknown = result.State == StateNotRun
	return result, nil
}

// answerFromRow answers a request whose key has a row of another request.
func (e *Executor) answerFromRow(record Record, digest Digest) (Result, error) {
	if record.Digest != digest {
		e.counts.refused.Inc(1)
		return refusedResult(ReasonBodyMismatch, 0), ErrBodyMismatch
	}
	e.counts.repeats.Inc(1)
	result := Result{State: record.State, Answer: record.Answer, Repeated: true}
	switch record.State {
	case StateDispatching:
		return e.answerClaimed(record), nil
	case StateFailed:
		result.Reason = ReasonServiceFailed
	case StateOutcomeUnknown:
		result.Reason = ReasonNoAnswer
	}
	return result, nil
}

// answerClaimed answers a request whose key is claimed by another request: with StateInProgress
// until Skew after the deadline of that request, then with StateOutcomeUnknown.
//
// The claim is not taken over, however old it is: its holder may be paused just before sending the
// call.
func (e *Executor) answerClaimed(record Record) Result {
	overdue := time.Since(record.Deadline)
	if overdue <= e.Skew {
		return e.inProgressResult(min(max(0, -overdue), e.CallTimeout))
	}
	result := Result{State: StateOutcomeUnknown, Reason: ReasonNoAnswer, Repeated: true}
	if overdue <= maxRecordDelay {
		result.RetryAfter = e.retryDelay(0)
	}
	return result
}

// inProgressResult returns the result of a repeated request while the first one may still be
// answered. remaining is the time until the deadline of the first request, or 0 if that is
// unknown or has passed.
func (e *Executor) inProgressResult(remaining time.Duration) Result {
	return Result{
		State:      StateInProgress,
		Reason:     ReasonInProgress,
		RetryAfter: e.retryDelay(remaining / 2),
		Repeated:   true,
	}
}
