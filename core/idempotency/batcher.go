package idempotency

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Limits bounds what one entry asks of the store.
type Limits struct {
	// WritesPerSecond bounds transactions a second; 0 means no bound.
	WritesPerSecond float64
	// ReadsPerSecond bounds batch reads a second; 0 means no bound.
	ReadsPerSecond float64
	// MaxBatchRows bounds the rows of one transaction or read; 0 means 64.
	MaxBatchRows int
	// MaxQueuedClaims bounds the claims that wait for a transaction; 0 means 1,024.
	MaxQueuedClaims int
	// MaxConcurrent bounds the transactions, and the reads, at once; 0 means 4.
	MaxConcurrent int
	// Timeout bounds one transaction or read; 0 means one second.
	Timeout time.Duration
}

// Bounds of Limits whose fields are 0.
const (
	defaultBatch      = 64
	defaultQueue      = 1024
	defaultConcurrent = 4
	defaultTimeout    = time.Second
)

// withDefaults returns the limits with bounds in place of zeros.
func (l Limits) withDefaults() Limits {
	if l.MaxBatchRows == 0 {
		l.MaxBatchRows = defaultBatch
	}
	if l.MaxQueuedClaims == 0 {
		l.MaxQueuedClaims = defaultQueue
	}
	if l.MaxConcurrent == 0 {
		l.MaxConcurrent = defaultConcurrent
	}
	if l.Timeout == 0 {
		l.Timeout = defaultTimeout
	}
	return l
}

// batcher groups the reads and writes of single rows into few transactions (group commit, after
// Gawlick and Kinkade, "Varieties of Concurrency Control in IMS/VS Fast Path", 1985).
type batcher struct {
	store   Store
	timeout time.Duration
	count   *counters
	writes  queue[Write, int64]
	reads   queue[Key, Row]
}

// newBatcher returns a batcher within limits.
func newBatcher(store Store, limits Limits, count *counters) *batcher {
	limits = limits.withDefaults()
	b := &batcher{store: store, timeout: limits.Timeout, count: count}
	b.writes = queue[Write, int64]{
		id:         func(w Write) keyID { return w.Record.Key.id() },
		serve:      b.serveWrites,
		budget:     &budget{rate: limits.WritesPerSecond},
		maxBatch:   limits.MaxBatchRows,
		maxQueue:   limits.MaxQueuedClaims,
		maxBatches: limits.MaxConcurrent,
		wake:       make(chan struct{}, 1),
	}
	b.reads = queue[Key, Row]{
		id:         Key.id,
		serve:      b.serveReads,
		budget:     &budget{rate: limits.ReadsPerSecond},
		maxBatch:   limits.MaxBatchRows,
		maxQueue:   limits.MaxQueuedClaims,
		maxBatches: limits.MaxConcurrent,
		wake:       make(chan struct{}, 1),
	}
	return b
}

// run serves both queues until ctx ends.
func (b *batcher) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.writes.run(ctx) })
	group.Go(func() error { return b.reads.run(ctx) })
	return group.Wait()
}

// write writes one row and returns its new version or an error of Store.Write.
//
// Urgent writes go before others and are never refused for want of room.
func (b *batcher) write(ctx context.Context, w Write, urgent bool) (int64, error) {
	version, err := b.writes.do(ctx, w, urgent)
	switch {
	case errors.Is(err, errQueueFull), errors.Is(err, errWithdrawn):
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	case errors.Is(err, errAbandoned):
		return 0, errors.Wrap(ErrUnknownOutcome, err.Error())
	}
	return version, err
}

// read returns one row or ErrUnavailable.
func (b *batcher) read(ctx context.Context, key Key) (Row, error) {
	row, err := b.reads.do(ctx, key, true)
	if errors.Is(err, errWithdrawn) || errors.Is(err, errAbandoned) {
		return Row{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return row, err
}

// serveReads answers a batch of reads.
func (b *batcher) serveReads(ctx context.Context, batch []*pending[Key, Row]) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	keys := make([]Key, len(batch))
	for i, p := range batch {
		keys[i] = p.request
	}
	b.count.reads.Inc(1)
	rows, err := b.store.Read(ctx, keys)
	for i, p := range batch {
		if err != nil {
			p.finish(Row{}, err)
			continue
		}
		p.finish(rows[i], nil)
	}
}

// serveWrites answers a batch of writes. When rows conflict, they alone are refused and the others
// are tried again together, or one by one if the store doesn't say which rows are at fault.
func (b *batcher) serveWrites(ctx context.Context, batch []*pending[Write, int64]) {
	for len(batch) > 0 {
		versions, err := b.transact(ctx, batch)
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrRejected) {
			finishWrites(batch, versions, err)
			return
		}
		rest := finishConflicts(batch, err)
		if len(rest) == len(batch) {
			b.serveOneByOne(ctx, batch, err)
			return
		}
		batch = rest
		if len(batch) > 0 && b.writes.budget.wait(ctx) != nil {
			finishWrites(batch, nil, errors.Wrap(ErrUnavailable, "batcher is stopping"))
			return
		}
	}
}

// transact sends one transaction.
func (b *batcher) transact(ctx context.Context, batch []*pending[Write, int64]) ([]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, b.timeout)
	defer cancel()
	writes := make([]Write, len(batch))
	for i, p := range batch {
		writes[i] = p.request
	}
	b.count.transactions.Inc(1)
	b.count.rows.Inc(int64(len(writes)))
	return b.store.Write(ctx, writes)
}

// serveOneByOne sends each write of a batch that got an error in a transaction of its own.
func (b *batcher) serveOneByOne(ctx context.Context, batch []*pending[Write, int64], err error) {
	if len(batch) == 1 {
		finishWrites(batch, nil, err)
		return
	}
	for i := range batch {
		one := batch[i : i+1]
		if err := b.writes.budget.wait(ctx); err != nil {
			finishWrites(batch[i:], nil, errors.Wrap(ErrUnavailable, "batcher is stopping"))
			return
		}
		versions, err := b.transact(ctx, one)
		finishWrites(one, versions, err)
	}
}

// finishWrites gives all writes of a batch their versions or one error.
func finishWrites(batch []*pending[Write, int64], versions []int64, err error) {
	for i, p := range batch {
		if err != nil {
			p.finish(0, err)
			continue
		}
		p.finish(versions[i], nil)
	}
}

// finishConflicts refuses the writes that a conflict names and returns the others.
func finishConflicts(batch []*pending[Write, int64], err error) []*pending[Write, int64] {
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		return batch
	}
	named := make(map[keyID]bool, len(conflict.Keys))
	for _, k := range conflict.Keys {
		named[k.id()] = true
	}
	return slices.DeleteFunc(slices.Clone(batch), func(p *pending[Write, int64]) bool {
		key := p.request.Record.Key
		if !named[key.id()] {
			return false
		}
		p.finish(0, &ConflictError{Keys: []Key{key}})
		return true
	})
}
