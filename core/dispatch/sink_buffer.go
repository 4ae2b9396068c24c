package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/fleet"
)

// bufferedPiece is a piece of an answer that waits for the caller.
type bufferedPiece struct {
	position fleet.Tokens
	text     string
	// bufferBytes is what the piece takes of the buffer of its request, memoryBytes what it takes of the memory of all buffers.
	bufferBytes, memoryBytes int64
}

// sinkBuffer passes the pieces of one answer on to a sink that may block. Its methods are called by the goroutine that
// reads from the endpoint, except run.
type sinkBuffer struct {
	*BufferedGenerator
	// ctx ends when the caller has disconnected.
	ctx     context.Context
	request fleet.RequestID
	sink    Sink
	// begun reports whether a piece was accepted, after which the response header is settled.
	begun bool
	// waited is how long the endpoints of the request waited for room.
	waited time.Duration
	// freeBytes is the free part of the buffer.
	freeBytes *semaphore.Weighted
	// writtenAt is when the caller took the latest piece, in nanoseconds since the epoch.
	writtenAt atomic.Int64
	// wake tells run that pieces, closed or err have changed.
	wake chan struct{}

	mu     sync.Mutex
	pieces []bufferedPiece
	closed bool
	err    error
}

// SetResponseHeader passes the response header on before the first piece. A later attempt's header comes too late, as it
// does without a buffer.
func (b *sinkBuffer) SetResponseHeader(header any) {
	if sink, ok := b.sink.(ResponseHeaderSink); ok && !b.begun {
		sink.SetResponseHeader(header)
	}
}

// WriteToken adds a piece to the buffer. If there is no room, it waits as long as awaitRoom allows, and then ends the
// request with ErrSlowCaller. A piece that finds no memory waits until all earlier ones are written; it is held
// once, as without a buffer. A piece longer than the buffer is a complete body whose memory its stream accounts for, so
// that it is written before WriteToken returns.
func (b *sinkBuffer) WriteToken(position fleet.Tokens, text string) error {
	b.begun = true
	size := int64(len(text) + pieceOverheadBytes)
	p := bufferedPiece{position: position, text: text, bufferBytes: min(size, callerBufferBytes)}
	if err := b.awaitRoom(p.bufferBytes); err != nil {
		return err
	}
	switch {
	case size <= callerBufferBytes && b.Memory.TryAcquire(size):
		p.memoryBytes = size
		b.buffered.Add(size)
	case size < callerBufferBytes:
		if err := b.awaitRoom(callerBufferBytes - size); err != nil {
			return err
		}
		p.bufferBytes = callerBufferBytes
	}
	if err := b.push(p); err != nil {
		return err
	}
	if size <= callerBufferBytes {
		return nil
	}
	// The write has a deadline of its own.
	if err := b.freeBytes.Acquire(context.WithoutCancel(b.ctx), callerBufferBytes); err != nil {
		return err
	}
	b.freeBytes.Release(callerBufferBytes)
	return b.failure()
}

// awaitRoom takes room in the buffer, and waits for it until the caller has taken no piece for callerWaitTimeout, or until
// maxUnreadTime has passed.
//
// Load pattern: callers that read steadily, but somewhat more slowly than the endpoint decodes, beside callers that have
// stopped reading.
func (b *sinkBuffer) awaitRoom(size int64) error {
	if b.freeBytes.TryAcquire(size) {
		return nil
	}
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(b.ctx, maxUnreadTime)
	defer cancel()
	stopLimit := b.limitWait(startedAt, cancel)
	defer stopLimit()
	err := b.freeBytes.Acquire(ctx, size)
	b.waited += time.Since(startedAt)
	switch {
	case err == nil:
		return nil
	case b.ctx.Err() != nil:
		b.fail(err)
		return err
	}
	b.endSlowCaller()
	return ErrSlowCaller
}

// limitWait calls expired once the caller has taken no piece for callerWaitTimeout since the wait started. The returned
// function ends the limit.
func (b *sinkBuffer) limitWait(startedAt time.Time, expired func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(b.ctx))
	var check func()
	check = func() {
		latest := startedAt
		if written := time.Unix(0, b.writtenAt.Load()); written.After(latest) {
			latest = written
		}
		left := time.Until(latest.Add(callerWaitTimeout))
		switch {
		case ctx.Err() != nil:
		case left <= 0:
			expired()
		default:
			time.AfterFunc(left, check)
		}
	}
	time.AfterFunc(callerWaitTimeout, check)
	return cancel
}

// callerWait returns how long endpoints waited for the caller so far.
func (b *sinkBuffer) callerWait() time.Duration {
	return b.waited
}

// endSlowCaller drops the pieces and ends the write to the caller.
func (b *sinkBuffer) endSlowCaller() {
	buffered := b.fail(ErrSlowCaller)
	if sink, ok := b.sink.(AbortableSink); ok {
		sink.Abort()
	}
	if b.Metrics != nil {
		metrics.GetOrRegisterCounter(metricSlowCallers, b.Metrics).Inc(1)
	}
	b.Log.Warn().
		Str("request", string(b.request)).
		Int64("buffered_bytes", buffered).
		Dur("waited_ms", b.waited).
		Msg("dispatch: request ended, since its caller reads too slowly")
}

// push appends a piece, unless a write has failed.
func (b *sinkBuffer) push(p bufferedPiece) error {
	b.mu.Lock()
	err := b.err
	if err == nil {
		b.pieces = append(b.pieces, p)
	}
	b.mu.Unlock()
	if err != nil {
		b.release(p)
		return err
	}
	b.notify()
	return nil
}

// run writes the pieces until the buffer is closed and empty, or a write fails; it returns the error of that write.
func (b *sinkBuffer) run() error {
	for {
		p, ok := b.pop()
		if !ok {
			return b.failure()
		}
		err := b.sink.WriteToken(p.position, p.text)
		if err != nil {
			b.fail(err)
		} else {
			b.writtenAt.Store(time.Now().UnixNano())
		}
		b.release(p)
	}
}

// pop waits for the next piece. It reports false if there will be none.
func (b *sinkBuffer) pop() (bufferedPiece, bool) {
	for {
		b.mu.Lock()
		pieces, ended := b.pieces, b.closed || b.err != nil
		if len(pieces) > 0 {
			b.pieces = pieces[1:]
		}
		b.mu.Unlock()
		switch {
		case len(pieces) > 0:
			p := pieces[0]
			// The array behind the slice would keep the text.
			pieces[0] = bufferedPiece{}
			return p, true
		case ended:
			return bufferedPiece{}, false
		}
		<-b.wake
	}
}

// close lets run end once all pieces are written.
func (b *sinkBuffer) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.notify()
}

// fail drops all pieces that wait and makes later calls of WriteToken return the error; the first error counts. It
// returns the number of bytes that waited.
func (b *sinkBuffer) fail(err error) (dropped int64) {
	b.mu.Lock()
	if b.err == nil {
		b.err = err
	}
	pieces := b.pieces
	b.pieces = nil
	b.mu.Unlock()
	for _, p := range pieces {
		dropped += int64(len(p.text))
		b.release(p)
	}
	b.notify()
	return dropped
}

// failure returns the first error.
func (b *sinkBuffer) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// release frees the room and the memory of a piece.
func (b *sinkBuffer) release(p bufferedPiece) {
	b.freeBytes.Release(p.bufferBytes)
	if p.memoryBytes > 0 {
		b.Memory.Release(p.memoryBytes)
		b.buffered.Add(-p.memoryBytes)
	}
}

// notify wakes run.
func (b *sinkBuffer) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

var _ ResponseHeaderSink = (*sinkBuffer)(nil)
