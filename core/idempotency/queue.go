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
	// errQueueFull means that a request was not taken.
	errQueueFull = errors.New("queue is full")
	// errWithdrawn means that a request was given up before it was served.
	errWithdrawn = errors.New("request was withdrawn")
	// errAbandoned means that a request was given up while it was served.
	errAbandoned = errors.New("request was abandoned")
)

// queue collects requests and serves them in batches.
type queue[Q, A any] struct {
	// id identifies a request's row; a batch holds a row once.
	id func(Q) keyID
	// serve answers every request of a batch.
	serve func(ctx context.Context, batch []*pending[Q, A])
	// budget paces the batches.
	budget *budget
	// maxBatch bounds the requests of a batch.
	maxBatch int
	// maxQueue bounds the waiting requests that aren't urgent.
	maxQueue int
	// maxBatches bounds the batches that are served at once.
	maxBatches int

	mu      sync.Mutex
	urgent  []*pending[Q, A]
	waiting []*pending[Q, A]
	wake    chan struct{}
}

// pending is one request of a queue.
type pending[Q, A any] struct {
	// request is what is asked.
	request Q
	// done takes the outcome; it has room for one.
	done chan outcome[A]
}

// outcome is the answer to a request or its error.
type outcome[A any] struct {
	// answer is valid without an error.
	answer A
	// err tells why there is no answer.
	err error
}

// finish answers the request.
func (p *pending[Q, A]) finish(answer A, err error) {
	p.done <- outcome[A]{answer: answer, err: err}
}

// do queues a request and waits for its answer.
//
// It returns errQueueFull or errWithdrawn if the request was never served, and errAbandoned if ctx
// ended while it was.
func (q *queue[Q, A]) do(ctx context.Context, request Q, urgent bool) (A, error) {
	var none A
	p := &pending[Q, A]{request: request, done: make(chan outcome[A], 1)}
	if !q.push(p, urgent) {
		return none, errQueueFull
	}
	select {
	case o := <-p.done:
		return o.answer, o.err
	case <-ctx.Done():
	}
	if q.withdraw(p) {
		return none, errWithdrawn
	}
	return none, errAbandoned
}

// push queues a request unless the queue is full.
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

// signal wakes run.
func (q *queue[Q, A]) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// withdraw takes a request off the queue and reports whether it was still there.
func (q *queue[Q, A]) withdraw(p *pending[Q, A]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := len(q.urgent) + len(q.waiting)
	same := func(other *pending[Q, A]) bool { return other == p }
	q.urgent = slices.DeleteFunc(q.urgent, same)
	q.waiting = slices.DeleteFunc(q.waiting, same)
	return len(q.urgent)+len(q.waiting) < before
}

// take removes the next batch, urgent requests first; a row's second request stays for a later batch.
func (q *queue[Q, A]) take() []*pending[Q, A] {
	q.mu.Lock()
	defer q.mu.Unlock()
	seen := make(map[keyID]bool)
	var batch []*pending[Q, A]
	pick := func(p *pending[Q, A]) bool {
		id := q.id(p.request)
		if len(batch) == q.maxBatch || seen[id] {
			return false
		}
		seen[id] = true
		batch = append(batch, p)
		return true
	}
	q.urgent = slices.DeleteFunc(q.urgent, pick)
	q.waiting = slices.DeleteFunc(q.waiting, pick)
	if len(q.urgent)+len(q.waiting) > 0 {
		q.signal()
	}
	return batch
}

// run serves batches until ctx ends.
//
// A batch is taken when it can be sent, so that batches grow while the store is slow.
func (q *queue[Q, A]) run(ctx context.Context) error {
	var group errgroup.Group
	free := make(chan struct{}, q.maxBatches)
	for q.next(ctx, free) {
		batch := q.take()
		if len(batch) == 0 {
			<-free
			continue
		}
		group.Go(func() error {
			defer func() { <-free }()
			q.serve(ctx, batch)
			return nil
		})
	}
	return group.Wait()
}

// next waits for a request, the budget and a place in free, and reports false if ctx ends before.
func (q *queue[Q, A]) next(ctx context.Context, free chan<- struct{}) bool {
	select {
	case <-q.wake:
	case <-ctx.Done():
		return false
	}
	if err := q.budget.wait(ctx); err != nil {
		return false
	}
	select {
	case free <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
