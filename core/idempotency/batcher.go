package idempotency

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Limits bounds the load that one entry puts on the store.
type Limits struct {
	// WritesPerSecond bounds the transactions per second; 0 means no bound.
	WritesPerSecond float64
	// ReadsPerSecond bounds the batch reads per second; 0 means no bound.
	ReadsPerSecond float64
	// MaxBatchRows bounds the rows of one transaction or read; 0 means 64.
	MaxBatchRows int
	// MaxQueuedClaims bounds the claims that wait for a transaction; 0 means 1,024.
	MaxQueuedClaims int
	// MaxConcurrent bounds the transactions, and separately the reads, in flight; 0 means 4.
	MaxConcurrent int
	// Timeout bounds the duration of one transaction or read; 0 means one second.
	Timeout time.Duration
}

// Defaults for fields of Limits that are 0.
const (
	defaultMaxBatchRows    = 64
	defaultMaxQueuedClaims = 1024
	defaultMaxConcurrent   = 4
	defaultTimeout         = time.Second
)

// withDefaults returns the limits with defaults for fields that are 0, except the rates.
func (l Limits) withDefaults() Limits {
	if l.MaxBatchRows == 0 {
		l.MaxBatchRows = defaultMaxBatchRows
	}
	if l.MaxQueuedClaims == 0 {
		l.MaxQueuedClaims = defaultMaxQueuedClaims
	}
	if l.MaxConcurrent == 0 {
		l.MaxConcurrent = defaultMaxConcurrent
	}
	if l.Timeout == 0 {
		l.Timeout = defaultTimeout
	}
	return l
}

// batcher combines reads and writes of single rows into batches (group commit, after Gawlick and
// Kinkade, "Varieties of Concurrency Control in IMS/VS Fast Path", 1985).
type batcher struct {
	store   Store
	timeout time.Duration
	counts  *counters
	writes  queue[Write, int64]
	reads   queue[Key, Row]
}

// newBatcher returns a batcher that sends batches within limits and counts them in counts.
func newBatcher(store Store, limits Limits, counts *counters) *batcher {
	limits = limits.withDefaults()
	b := &batcher{store: store, timeout: limits.Timeout, counts: counts}
	b.writes = queue[Write, int64]{
		id:            func(w Write) keyID { return w.Record.Key.id() },
		serve:         b.serveWrites,
		pacer:         &pacer{rate: limits.WritesPerSecond},
		maxBatch:      limits.MaxBatchRows,
		maxQueue:      limits.MaxQueuedClaims,
		maxConcurrent: limits.MaxConcurrent,
		wake:          make(chan struct{}, 1),
	}
	b.reads = queue[Key, Row]{
		id:            Key.id,
		serve:         b.serveReads,
		pacer:         &pacer{rate: limits.ReadsPerSecond},
		maxBatch:      limits.MaxBatchRows,
		maxQueue:      limits.MaxQueuedClaims,
		maxConcurrent: limits.MaxConcurrent,
		wake:          make(chan struct{}, 1),
	}
	return b
}

// run sends the batches of both queues until ctx ends, and returns when those in flight are done.
func (b *batcher) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.writes.run(ctx) })
	group.Go(func() error { return b.reads.run(ctx) })
	return group.Wait()
}

// write writes one row and returns its new version or an error of Store.Write. It returns ErrUnavailable if the queue
// is full or ctx ends before the write is in a batch, and ErrUnknownOutcome if ctx ends after that.
//
// Urgent writes are sent before others and are not subject to MaxQueuedClaims.
func (b *batcher) write(ctx context.Context, w Write, urgent bool) (int64, error) {
	version, err := b.writes.submit(ctx, w, urgent)
	switch {
	case errors.Is(err, errQueueFull), errors.Is(err, errWithdrawn):
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	case errors.Is(err, errAbandoned):
		return 0, errors.Wrap(ErrUnknownOutcome, err.Error())
	}
	return version, err
}

// read returns one row or an error of Store.Read; the error is ErrUnavailable if ctx ends first.
// Reads are queued as urgent, so that none is refused because of a full queue.
func (b *batcher) read(ctx context.Context, key Key) (Row, error) {
	row, err := b.reads.submit(ctx, key, true)
	if errors.Is(err, errWithdrawn) || errors.Is(err, errAbandoned) {
		return Row{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return row, err
}

// serveReads reads the rows of a batch with one call of the store.
func (b *batcher) serveReads(ctx context.Context, batch []*pending[Key, Row]) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	keys := make([]Key, len(batch))
	for i, p := range batch {
		keys[i] = p.request
	}
	b.counts.reads.Inc(1)
	rows, err := b.store.Read(ctx, keys)
	for i, p := range batch {
		if err != nil {
			p.complete(Row{}, err)
			continue
		}
		p.complete(rows[i], nil)
	}
}

// serveWrites writes a batch. Writes that the store reports as conflicting complete with
// ErrConflict and the remaining ones are retried together. If the store doesn't name the rows that
// made the transaction fail, each row is retried in a transaction of its own.
func (b *batcher) serveWrites(ctx context.Context, batch []*pending[Write, int64]) {
	for len(batch) > 0 {
		versions, err := b.transact(ctx, batch)
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrRejected) {
			completeWrites(batch, versions, err)
			return
		}
		remaining := completeConflicting(batch, err)
		if len(remaining) == len(batch) {
			b.transactOneByOne(ctx, batch, err)
			return
		}
		batch = remaining
		if len(batch) > 0 && b.writes.pacer.wait(ctx) != nil {
			completeWrites(batch, nil, errors.Wrap(ErrUnavailable, "batcher is stopping"))
			return
		}
	}
}

// transact writes a batch in one transaction and returns the new versions.
func (b *batcher) transact(ctx context.Context, batch []*pending[Write, int64]) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	writes := make([]Write, len(batch))
	for i, p := range batch {
		writes[i] = p.request
	}
	b.counts.transactions.Inc(1)
	b.counts.rows.Inc(int64(len(writes)))
	return b.store.Write(ctx, writes)
}

// transactOneByOne sends each write of a failed batch in a transaction of its own. A batch of one
// write is not sent again; it completes with err.
func (b *batcher) transactOneByOne(ctx context.Context, batch []*pending[Write, int64], err error) {
	if len(batch) == 1 {
		completeWrites(batch, nil, err)
		return
	}
	for i := range batch {
		single := batch[i : i+1]
		if err := b.writes.pacer.wait(ctx); err != nil {
			completeWrites(batch[i:], nil, errors.Wrap(ErrUnavailable, "batcher is stopping"))
			return
		}
		versions, err := b.transact(ctx, single)
		completeWrites(single, versions, err)
	}
}

// completeWrites completes all writes of a batch with their versions, or with err if it is not nil.
func completeWrites(batch []*pending[Write, int64], versions []int64, err error) {
	for i, p := range batch {
		if err != nil {
			p.complete(0, err)
			continue
		}
		p.complete(versions[i], nil)
	}
}

// completeConflicting completes the writes that a ConflictError names, each with a ConflictError for its own key, and
// returns the others. It returns the whole batch if err is another error.
func completeConflicting(batch []*pending[Write, int64], err error) []*pending[Write, int64] {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return batch
	}
	conflicting := make(map[keyID]bool, len(conflict.Keys))
	for _, k := range conflict.Keys {
		conflicting[k.id()] = true
	}
	return slices.DeleteFunc(slices.Clone(batch), func(p *pending[Write, int64]) bool {
		key := p.request.Record.Key
		if !conflicting[key.id()] {
			return false
		}
		p.complete(0, &ConflictError{Keys: []Key{key}})
		return true
	})
}
