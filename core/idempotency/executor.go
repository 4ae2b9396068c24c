package idempotency

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// Defaults for fields of Executor that are 0.
const (
	defaultRetention      = 24 * time.Hour
	defaultSkew           = time.Minute
	defaultClaimTimeout   = 2 * time.Second
	defaultRecordTimeout  = time.Second
	defaultCallTimeout    = 30 * time.Second
	defaultDrainTimeout   = 10 * time.Second
	defaultMeanRetryDelay = 2 * time.Second
	defaultMaxInProgress  = 4096
)

// Executor runs calls at most once per idempotency key. Its exported fields must be set before Run
// and Do are called.
//
// It holds no durable state: the table of claims is the only source of truth. It doesn't use the
// cluster state.
type Executor struct {
	// Store is the table of claims.
	Store Store
	// Limits bounds the load on the store.
	Limits Limits
	// Retention is the age from which keys are rejected; 0 means a day.
	Retention time.Duration
	// Skew bounds the difference between the clocks of any two entries; 0 means a minute.
	Skew time.Duration
	// ClaimTimeout bounds the time to claim a key, retries included; 0 means two seconds.
	ClaimTimeout time.Duration
	// RecordTimeout bounds how long a result is held back until its record is written; 0 means a
	// second.
	RecordTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline; 0 means 30 s.
	CallTimeout time.Duration
	// DrainTimeout bounds how long Run continues to write outcomes after its context has ended; 0
	// means 10 s.
	DrainTimeout time.Duration
	// MeanRetryDelay is the mean of the jittered RetryAfter times; 0 means two seconds.
	MeanRetryDelay time.Duration
	// MaxInProgress bounds the calls of this process whose outcomes are not recorded yet; 0 means
	// 4,096.
	MaxInProgress int
	// Metrics is the registry in which the counters are registered; nil means a private one.
	Metrics metrics.Registry
	// Log receives warnings about outcomes that could not be recorded.
	Log zerolog.Logger

	once     sync.Once
	counts   *counters
	batcher  *batcher
	inFlight *inFlightCalls
	// jobs passes writes of outcomes to Run.
	jobs chan func(context.Context)
	// stopped is closed when Run accepts no more jobs.
	stopped chan struct{}
}

// initialize sets defaults and creates the internal components.
func (e *Executor) initialize() {
	setDefault(&e.Retention, defaultRetention)
	setDefault(&e.Skew, defaultSkew)
	setDefault(&e.ClaimTimeout, defaultClaimTimeout)
	setDefault(&e.RecordTimeout, defaultRecordTimeout)
	setDefault(&e.CallTimeout, defaultCallTimeout)
	setDefault(&e.DrainTimeout, defaultDrainTimeout)
	setDefault(&e.MeanRetryDelay, defaultMeanRetryDelay)
	setDefault(&e.MaxInProgress, defaultMaxInProgress)
	e.counts = newCounters(e.Metrics)
	e.batcher = newBatcher(e.Store, e.Limits, e.counts)
	e.inFlight = &inFlightCalls{limit: e.MaxInProgress}
	e.jobs = make(chan func(context.Context))
	e.stopped = make(chan struct{})
}

// setDefault sets target to value if it is the zero value.
func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// SetRates changes the bounds on transactions and batch reads per second. It may be called at any time, as when this
// entry's share of the store's limits changes, and is safe for concurrent use.
func (e *Executor) SetRates(writes, reads float64) {
	e.once.Do(e.initialize)
	e.batcher.writes.pacer.setRate(writes)
	e.batcher.reads.pacer.setRate(reads)
}

// Run sends the reads and writes of Do to the store until ctx ends, and then continues to write
// unrecorded outcomes for up to DrainTimeout. It returns nil. Calls of Do should have returned
// before ctx ends.
func (e *Executor) Run(ctx context.Context) error {
	e.once.Do(e.initialize)
	recordCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group, jobs errgroup.Group
	group.Go(func() error { return e.batcher.run(recordCtx) })
	e.runJobs(ctx, recordCtx, &jobs)
	close(e.stopped)
	drainTimer := time.AfterFunc(e.DrainTimeout, cancel)
	_ = jobs.Wait()
	drainTimer.Stop()
	cancel()
	return group.Wait()
}

// runJobs starts the jobs that Do submits until ctx ends. Each job writes one outcome and gets
// recordCtx, which outlasts ctx.
func (e *Executor) runJobs(ctx, recordCtx context.Context, jobs *errgroup.Group) {
	for {
		select {
		case job := <-e.jobs:
			jobs.Go(func() error {
				job(recordCtx)
				return nil
			})
		case <-ctx.Done():
			return
		}
	}
}

// Do runs a call at most once across all entries and all requests with the same key.
//
// It calls send at most once, with a context that ends with ctx, or after CallTimeout if ctx has no
// deadline, and only while it holds the claim of the key. The result is also valid if the error is
// not nil; the errors are ErrKeyExpired, ErrKeyFromFuture and ErrBodyMismatch.
func (e *Executor) Do(
	ctx context.Context, key Key, digest Digest, send func(context.Context) (Answer, SendOutcome),
) (Result, error) {
	e.once.Do(e.initialize)
	ctx, cancel := context.WithDeadline(ctx, e.deadline(ctx))
	defer cancel()
	if result, err := e.checkKeyTime(key); err != nil {
		e.counts.refused.Inc(1)
		return result, err
	}
	if e.isStopped() {
		e.counts.refused.Inc(1)
		return refusedResult(ReasonShutdown, e.retryDelay(0)), nil
	}
	existing, added := e.inFlight.add(key, digest)
	if !added {
		return e.answerInFlight(existing, digest)
	}
	return e.claimAndSend(ctx, key, digest, send)
}

// isStopped reports whether Run no longer accepts jobs.
func (e *Executor) isStopped() bool {
	select {
	case <-e.stopped:
		return true
	default:
		return false
	}
}

// deadline returns the deadline of ctx, or CallTimeout from now if it has none.
func (e *Executor) deadline(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(e.CallTimeout)
}

// checkKeyTime rejects keys that are older than Retention or more than Skew in the future.
//
// A record is deleted only after its key has begun to be rejected, and the check is repeated once
// the claim is held. A call whose record was deleted can therefore not be run again.
func (e *Executor) checkKeyTime(key Key) (Result, error) {
	now := time.Now()
	if now.Sub(key.CreatedAt) > e.Retention {
		return refusedResult(ReasonKeyExpired, 0), ErrKeyExpired
	}
	if key.CreatedAt.Sub(now) > e.Skew {
		return refusedResult(ReasonKeyFromFuture, 0), ErrKeyFromFuture
	}
	return Result{}, nil
}

// claimAndSend claims the key. If it holds the claim, it sends the call and records the outcome; otherwise it answers
// without sending.
func (e *Executor) claimAndSend(
	ctx context.Context, key Key, digest Digest, send func(context.Context) (Answer, SendOutcome),
) (Result, error) {
	deadline, _ := ctx.Deadline()
	record := Record{Key: key, Token: rand.Text(), State: StateDispatching, Digest: digest, Deadline: deadline}
	claimed := e.claim(ctx, record)
	switch claimed.status {
	case claimHeld:
		return e.dispatch(ctx, record, claimed, send)
	case claimUncertain:
		return e.releaseUncertainClaim(ctx, record, claimed), nil
	case claimUnavailable:
		e.inFlight.remove(key)
		e.counts.claimsFailed.Inc(1)
		return refusedResult(claimed.reason, e.retryDelay(0)), nil
	default:
		e.inFlight.remove(key)
		return e.answerFromRow(claimed.row.Record, digest)
	}
}

// dispatch sends the call of a held claim and records the outcome. If ctx has ended, it records
// StateNotRun without sending; if the key has expired meanwhile, it neither sends nor records.
func (e *Executor) dispatch(
	ctx context.Context, record Record, claimed claimResult, send func(context.Context) (Answer, SendOutcome),
) (Result, error) {
	e.counts.claims.Inc(1)
	if result, err := e.checkKeyTime(record.Key); err != nil {
		e.inFlight.remove(record.Key)
		return result, err
	}
	if hasEnded(ctx) {
		return e.recordOutcome(ctx, record, claimed, e.notRunResult(ReasonTimeout)), nil
	}
	answer, outcome := send(ctx)
	return e.recordOutcome(ctx, record, claimed, e.resultOfSend(answer, outcome)), nil
}

// hasEnded reports whether the deadline of the call has passed or its caller has disconnected.
func hasEnded(ctx context.Context) bool {
	return ctx.Err() != nil
}

// resultOfSend translates the outcome of sending into a result.
func (e *Executor) resultOfSend(answer Answer, outcome SendOutcome) Result {
	switch {
	case outcome == SendNotSent:
		return e.notRunResult(ReasonNotSent)
	case outcome == SendAnswered && answer.Failed:
		return Result{State: StateFailed, Reason: ReasonServiceFailed, Answer: answer}
	case outcome == SendAnswered:
		return Result{State: StateDone, Answer: answer}
	}
	return Result{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}
}

// notRunResult returns the result of a call that the holder of the claim did not send.
func (e *Executor) notRunResult(reason Reason) Result {
	return Result{State: StateNotRun, Reason: reason, RetryAfter: e.retryDelay(0)}
}

// retryDelay returns base plus a jittered delay with the mean MeanRetryDelay.
func (e *Executor) retryDelay(base time.Duration) time.Duration {
	return base + e.MeanRetryDelay/2 + mathrand.N(e.MeanRetryDelay)
}
