package idempotency

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Errors of a queue.
var (
	// errQueueFull means that a request was not queued because maxQueue requests are waiting.
	errQueueFull = errors.New("queue is full")
	// errWithdrawn means that the context of a request ended before it was in a batch.
	errWithdrawn = errors.New("request was withdrawn")
	// errAbandoned means that the context of a request ended while its batch was being served.
	errAbandoned = errors.New("request was abandoned")
)

// queue collects requests of type Q and serves them in batches, with an answer of type A for each.
type queue[Q, A any] struct {
	// id returns the identity of the row of a request; a batch holds at most one request per row.
	id func(Q) keyID
	// serve completes every request of a batch.
	serve func(ctx context.Context, batch []*pending[Q, A])
	// pacer spaces the batches in time.
	pacer *pacer
	// maxBatch bounds the number of requests in a batch.
	maxBatch int
	// maxQueue bounds the number of waiting requests that are not urgent.
	maxQueue int
	// maxConcurrent bounds the number of batches served concurrently.
	maxConcurrent int

	mu sync.Mutex
	// urgent and waiting hold the queued requests, oldest first; urgent ones are served first.
	urgent  []*pending[Q, A]
	waiting []*pending[Q, A]
	// wake has a buffer of one and receives a signal while requests are queued.
	wake chan struct{}
}

// pending is a queued request.
type pending[Q, A any] struct {
	// request is the read or write to perform.
	request Q
	// done receives the reply; it has a buffer of one.
	done chan reply[A]
}

// reply is the answer to a request, or an error.
type reply[A any] struct {
	// answer is valid if err is nil.
	answer A
	// err is the reason that there is no answer.
	err error
}

// complete sends an answer or an error to the caller that waits for the request.
func (p *pending[Q, A]) complete(answer A, err error) {
	p.done <- reply[A]{answer: answer, err: err}
}

// submit queues a request and waits for its answer or the error of its batch.
//
// It returns errQueueFull or errWithdrawn if the request was never in a batch, and errAbandoned if
// ctx ended while its batch was being served.
func (q *queue[Q, A]) submit(ctx context.Context, request Q, urgent bool) (A, error) {
	var zero A
	p := &pending[Q, A]{request: request, done: make(chan reply[A], 1)}
	if !q.push(p, urgent) {
		return zero, errQueueFull
	}
	select {
	case r := <-p.done:
		return r.answer, r.err
	case <-ctx.Done():
	}
	if q.withdraw(p) {
		return zero, errWithdrawn
	}
	return zero, errAbandoned
}

// push queues a request; it reports false if the queue is full.
func (q *queue[Q, A]) push(p *pending[Q, A], urgent bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case urgent:
		q.urgent = append(q.urgent, p)
	case len(q.waiting) >= q.maxQueue:
		return false
	default:
		q.waiting = append(q.waiting, p)
	}
	q.signal()
	return true
}

// signal wakes run without blocking; one pending signal suffices for all queued requests.
func (q *queue[Q, A]) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// withdraw removes a request from the queue and reports whether it was still queued.
func (q *queue[Q, A]) withdraw(p *pending[Q, A]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := len(q.urgent) + len(q.waiting)
	isRequest := func(other *pending[Q, A]) bool { return other == p }
	q.urgent = slices.DeleteFunc(q.urgent, isRequest)
	q.waiting = slices.DeleteFunc(q.waiting, isRequest)
	return len(q.urgent)+len(q.waiting) < before
}

// nextBatch removes and returns the next batch, urgent requests first. Further requests for a row
// that is already in the batch stay queued.
func (q *queue[Q, A]) nextBatch() []*pending[Q, A] {
	q.mu.Lock()
	defer q.mu.Unlock()
	seen := make(map[keyID]bool)
	var batch []*pending[Q, A]
	add := func(p *pending[Q, A]) bool {
		id := q.id(p.request)
		if len(batch) == q.maxBatch || seen[id] {
			return false
		}
		seen[id] = true
		batch = append(batch, p)
		return true
	}
	q.urgent = slices.DeleteFunc(q.urgent, add)
	q.waiting = slices.DeleteFunc(q.waiting, add)
	if len(q.urgent)+len(q.waiting) > 0 {
		q.signal()
	}
	return batch
}

// run serves batches until ctx ends, and returns when those in flight are done.
//
// A batch is assembled only when it can be sent, so that batches grow while the store is slow.
func (q *queue[Q, A]) run(ctx context.Context) error {
	var group errgroup.Group
	slots := make(chan struct{}, q.maxConcurrent)
	for q.waitForSlot(ctx, slots) {
		batch := q.nextBatch()
		if len(batch) == 0 {
			<-slots
			continue
		}
		group.Go(func() error {
			defer func() { <-slots }()
			q.serve(ctx, batch)
			return nil
		})
	}
	return group.Wait()
}

// waitForSlot waits until wake signals queued requests and the pacer allows a batch, then occupies a slot, which the
// caller must free. It reports false, without a slot, if ctx ends first.
func (q *queue[Q, A]) waitForSlot(ctx context.Context, slots chan<- struct{}) bool {
	select {
	case <-q.wake:
	case <-ctx.Done():
		return false
	}
	if err := q.pacer.wait(ctx); err != nil {
		return false
	}
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
