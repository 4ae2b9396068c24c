package dispatch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
)

const (
	// callerBufferBytes bounds the pieces of one answer that wait for their caller. It holds a mean answer of an engine,
	// some 60 events of a kilobyte.
	callerBufferBytes = 64 << 10
	// pieceOverheadBytes is the memory of a piece that waits, in addition to its text.
	pieceOverheadBytes = 64
	// callerWaitTimeout bounds the time for which a request makes its endpoint wait while its caller takes no piece. The slot
	// of the endpoint is lost to others meanwhile.
	callerWaitTimeout = time.Second
	// maxUnreadTime bounds one wait of an endpoint for a caller that does take pieces, since endpoints abort a response that
	// stays unread for some seconds.
	maxUnreadTime = 2 * time.Second
)

// metricSlowCallers counts requests that were ended because their caller read too slowly.
const metricSlowCallers = "dispatch.slow_callers"

// ErrSlowCaller ends a request whose caller reads so slowly that its pieces exceed their buffer.
var ErrSlowCaller = errors.New("caller reads too slowly")

// AbortableSink is a Sink whose blocked writes can be ended by another goroutine.
type AbortableSink interface {
	Sink
	// Abort makes the current write and all later ones fail.
	Abort()
}

// BufferedGenerator puts a bounded buffer between the endpoint and the caller of each request, so that the endpoint is
// read at its own pace. Its fields must be set before use.
//
// Load pattern: callers that read a few bytes a second, beside others that keep up. Each holds at most
// callerBufferBytes, and all together no more than Memory.
type BufferedGenerator struct {
	// Next serves the requests; *Dispatcher implements it.
	Next interface {
		Generate(ctx context.Context, request Request, sink Sink) error
	}
	// Memory bounds the memory of all buffers together, in bytes.
	Memory *semaphore.Weighted
	// Metrics is the metrics registry.
	Metrics metrics.Registry
	// Log receives a line for each request that is ended because of its caller.
	Log zerolog.Logger

	buffered atomic.Int64
}

// Buffered returns the number of bytes that wait for callers now.
func (g *BufferedGenerator) Buffered() int64 {
	return g.buffered.Load()
}

// Generate serves one request and returns when the answer was written to sink. The error is that of Next, of the sink,
// or ErrSlowCaller.
func (g *BufferedGenerator) Generate(ctx context.Context, request Request, sink Sink) error {
	b := &sinkBuffer{
		BufferedGenerator: g,
		ctx:               ctx,
		request:           request.ID,
		sink:              sink,
		freeBytes:         semaphore.NewWeighted(callerBufferBytes),
		wake:              make(chan struct{}, 1),
	}
	var group errgroup.Group
	group.Go(b.run)
	err := g.Next.Generate(ctx, request, b)
	b.close()
	if writeErr := group.Wait(); err == nil {
		err = writeErr
	}
	return err
}
