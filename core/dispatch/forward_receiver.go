package dispatch

import (
	"context"
	"sync"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/fleet"
)

// Reasons for which an entry declines a request from another one.
const (
	// DeclinedCutOff means that the entry can't reach the endpoints either.
	DeclinedCutOff = "cut_off"
	// DeclinedNotReady means that the entry is stopping or has no configuration yet.
	DeclinedNotReady = "not_ready"
	// DeclinedMemory means that the requests of other entries use all memory that is set aside for them.
	DeclinedMemory = "memory"
)

// metricForwardsServed counts requests that this entry accepted from others.
const metricForwardsServed = "dispatch.forwards_served"

// ForwardReceiver serves requests that other entries pass on. Its fields must be set before use.
type ForwardReceiver struct {
	// Generator serves the requests; *Dispatcher implements it.
	Generator interface {
		Generate(ctx context.Context, request Request, sink Sink) error
	}
	// Unreached reports whether this entry can reach no endpoint of a pool.
	Unreached func(fleet.PoolName) bool
	// Ready reports whether this entry serves requests.
	Ready func() bool
	// Memory bounds the memory of all payloads together, in bytes.
	Memory *semaphore.Weighted
	// Metrics is the metrics registry.
	Metrics metrics.Registry

	mu       sync.Mutex
	stopping bool
	inFlight sync.WaitGroup
}

// Accept decides whether to serve a request to a pool with a payload of the given size in bytes. It returns the reason
// if not, else a function that must be called when the request has ended.
func (f *ForwardReceiver) Accept(pool fleet.PoolName, payloadBytes int64) (release func(), declined string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.stopping || !f.Ready():
		return nil, DeclinedNotReady
	case f.Unreached(pool):
		return nil, DeclinedCutOff
	case payloadBytes < 0 || !f.Memory.TryAcquire(payloadBytes):
		return nil, DeclinedMemory
	}
	f.inFlight.Add(1)
	metrics.GetOrRegisterCounter(metricForwardsServed, f.Metrics).Inc(1)
	return func() {
		f.Memory.Release(payloadBytes)
		f.inFlight.Done()
	}, ""
}

// Serve serves an accepted request; its errors are those of Dispatcher.Generate.
func (f *ForwardReceiver) Serve(ctx context.Context, request Request, sink Sink) error {
	return f.Generator.Generate(ctx, request, sink)
}

// Stop declines all further requests and waits until those in flight have ended, or until ctx ends.
func (f *ForwardReceiver) Stop(ctx context.Context) {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	ended := make(chan struct{})
	var waiter sync.WaitGroup
	waiter.Go(func() {
		f.inFlight.Wait()
		close(ended)
	})
	select {
	case <-ended:
	case <-ctx.Done():
	}
}
