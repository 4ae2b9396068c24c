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

// Times of a Caller whose fields are 0.
const (
	// defaultRetention is how long records are kept.
	defaultRetention = 24 * time.Hour
	// defaultSkew is how far clocks may be apart.
	defaultSkew = time.Minute
	// defaultClaimTimeout bounds the attempts to claim.
	defaultClaimTimeout = 2 * time.Second
	// defaultSettleTimeout bounds how long an answer waits for its record.
	defaultSettleTimeout = time.Second
	// defaultCallTimeout bounds calls without a deadline.
	defaultCallTimeout = 30 * time.Second
	// defaultDrainTimeout bounds how long outcomes are still recorded after Run's context ended.
	defaultDrainTimeout = 10 * time.Second
	// defaultComeBack is the mean time after which a refused caller should come back.
	defaultComeBack = 2 * time.Second
	// defaultInProgress bounds the calls at once.
	defaultInProgress = 4096
)

// Executor runs calls at most once. Its exported fields are set before Run and Do.
//
// It keeps no state that must survive it: what decides is in the table. It reads and writes no
// blackboard table.
type Executor struct {
	// Store is the table of claims.
	Store Store
	// Limits bounds what is asked of the store.
	Limits Limits
	// Retention is the age at which keys are refused; 0 means a day.
	Retention time.Duration
	// Skew bounds how far clocks are apart; 0 means a minute.
	Skew time.Duration
	// ClaimTimeout bounds the attempts to claim; 0 means two seconds.
	ClaimTimeout time.Duration
	// RecordTimeout bounds how long an answer waits until its record is written; 0 means a second.
	RecordTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline; 0 means 30 s.
	CallTimeout time.Duration
	// DrainTimeout bounds how long Run still writes outcomes after its context has ended; 0 means 10 s.
	DrainTimeout time.Duration
	// MeanRetryDelay is the mean of the times to come back; 0 means two seconds.
	MeanRetryDelay time.Duration
	// MaxInProgress bounds the calls at once; 0 means 4,096.
	MaxInProgress int
	// Metrics takes the counters; nil keeps them private.
	Metrics metrics.Registry
	// Log takes the caller's messages.
	Log zerolog.Logger

	once     sync.Once
	count    *counters
	batcher  *batcher
	progress *progress
	jobs     chan func(context.Context)
	stopped  chan struct{}
}

// setUp replaces zeros by defaults and builds the parts.
func (c *Executor) setUp() {
	setDefault(&c.Retention, defaultRetention)
	setDefault(&c.Skew, defaultSkew)
	setDefault(&c.ClaimTimeout, defaultClaimTimeout)
	setDefault(&c.RecordTimeout, defaultSettleTimeout)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.DrainTimeout, defaultDrainTimeout)
	setDefault(&c.MeanRetryDelay, defaultComeBack)
	setDefault(&c.MaxInProgress, defaultInProgress)
	c.count = newCounters(c.Metrics)
	c.batcher = newBatcher(c.Store, c.Limits, c.count)
	c.progress = &progress{limit: c.MaxInProgress}
	c.jobs = make(chan func(context.Context))
	c.stopped = make(chan struct{})
}

// setDefault replaces a zero.
func setDefault[T comparable](target *T, value T) {
	var zero T
	if *target == zero {
		*target = value
	}
}

// SetRates changes the bounds on transactions and batch reads a second, when this entry's share of
// the store's limits changes. It may be called at any time.
func (c *Executor) SetRates(writes, reads float64) {
	c.once.Do(c.setUp)
	c.batcher.writes.budget.setRate(writes)
	c.batcher.reads.budget.setRate(reads)
}

// Run serves calls of Do until ctx ends, and then writes the outcomes that are not recorded yet for
// up to DrainTimeout. Calls of Do should have returned before ctx ends.
func (c *Executor) Run(ctx context.Context) error {
	c.once.Do(c.setUp)
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var group, settling errgroup.Group
	group.Go(func() error { return c.batcher.run(inner) })
	c.runJobs(ctx, inner, &settling)
	close(c.stopped)
	drain := time.AfterFunc(c.DrainTimeout, cancel)
	_ = settling.Wait()
	drain.Stop()
	cancel()
	return group.Wait()
}

// runJobs starts the jobs of Do until ctx ends.
func (c *Executor) runJobs(ctx, inner context.Context, settling *errgroup.Group) {
	for {
		select {
		case job := <-c.jobs:
			settling.Go(func() error {
				job(inner)
				return nil
			})
		case <-ctx.Done():
			return
		}
	}
}

// Do runs a call at most once over all entries and all requests with its key.
//
// It calls send at most once, with a context that ends at the deadline of ctx, and only while it
// holds the key's claim. The result is valid beside an error too; the errors are ErrKeyExpired,
// ErrKeyFromFuture and ErrBodyMismatch.
func (c *Executor) Do(
	ctx context.Context, key Key, digest Digest, send func(context.Context) (Answer, SendOutcome),
) (Result, error) {
	c.once.Do(c.setUp)
	ctx, cancel := context.WithDeadline(ctx, c.deadline(ctx))
	defer cancel()
	if result, err := c.checkTime(key); err != nil {
		c.count.refused.Inc(1)
		return result, err
	}
	if c.isStopped() {
		c.count.refused.Inc(1)
		return refused(ReasonShutdown, c.comeBack(0)), nil
	}
	earlier, began := c.progress.begin(key, digest)
	if !began {
		return c.answerProgress(earlier, digest)
	}
	return c.claimAndSend(ctx, key, digest, send)
}

// isStopped reports whether Run takes no more jobs.
func (c *Executor) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// deadline returns when a call must have ended.
func (c *Executor) deadline(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(c.CallTimeout)
}

// checkTime refuses keys whose time is out of bounds.
//
// Records are forgotten only later than their keys are refused, and the check is repeated when the
// claim is held, so that a call whose record was forgotten can't be claimed again.
func (c *Executor) checkTime(key Key) (Result, error) {
	now := time.Now()
	if now.Sub(key.CreatedAt) > c.Retention {
		return refused(ReasonKeyExpired, 0), ErrKeyExpired
	}
	if key.CreatedAt.Sub(now) > c.Skew {
		return refused(ReasonKeyFromFuture, 0), ErrKeyFromFuture
	}
	return Result{}, nil
}

// claimAndSend claims the key, sends the call and records its outcome.
func (c *Executor) claimAndSend(
	ctx context.Context, key Key, digest Digest, send func(context.Context) (Answer, SendOutcome),
) (Result, error) {
	deadline, _ := ctx.Deadline()
	record := Record{Key: key, Token: rand.Text(), State: StateDispatching, Digest: digest, Deadline: deadline}
	claimed := c.claim(ctx, record)
	switch claimed.verdict {
	case verdictHeld:
		return c.dispatch(ctx, record, claimed, send)
	case verdictUncertain:
		return c.releaseUncertain(ctx, record, claimed), nil
	case verdictUnavailable:
		c.progress.end(key)
		c.count.notClaimed.Inc(1)
		return refused(claimed.reason, c.comeBack(0)), nil
	default:
		c.progress.end(key)
		return c.answerRow(claimed.row.Record, digest)
	}
}

// dispatch sends the call of a held claim, if there is still time, and records the outcome.
func (c *Executor) dispatch(
	ctx context.Context, record Record, claimed claim, send func(context.Context) (Answer, SendOutcome),
) (Result, error) {
	c.count.claims.Inc(1)
	if result, err := c.checkTime(record.Key); err != nil {
		c.progress.end(record.Key)
		return result, err
	}
	if hasEnded(ctx) {
		return c.finish(ctx, record, claimed, c.notRun(ReasonTimeout)), nil
	}
	answer, outcome := send(ctx)
	return c.finish(ctx, record, claimed, c.resultOf(answer, outcome)), nil
}

// hasEnded reports whether the time for a call has passed or its caller has left.
func hasEnded(ctx context.Context) bool {
	return ctx.Err() != nil
}

// resultOf returns the result of sending.
func (c *Executor) resultOf(answer Answer, outcome SendOutcome) Result {
	switch {
	case outcome == SendNotSent:
		return c.notRun(ReasonNotSent)
	case outcome == SendAnswered && answer.Failed:
		return Result{State: StateFailed, Reason: ReasonServiceFailed, Answer: answer}
	case outcome == SendAnswered:
		return Result{State: StateDone, Answer: answer}
	}
	return Result{State: StateOutcomeUnknown, Reason: ReasonNoAnswer}
}

// notRun returns the result of a call that the holder of its claim surely did not send.
func (c *Executor) notRun(reason Reason) Result {
	return Result{State: StateNotRun, Reason: reason, RetryAfter: c.comeBack(0)}
}

// comeBack returns a jittered time to come back, not before base has passed.
func (c *Executor) comeBack(base time.Duration) time.Duration {
	return base + c.MeanRetryDelay/2 + mathrand.N(c.MeanRetryDelay)
}
