package boundedbody

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// shortBytes is the length up to which a body takes from the part of a Pool for short bodies.
	shortBytes = 64 << 10
	// shortShare is the share of a Pool for short bodies.
	shortShare = 0.25
	// stallTime is how long a client may send nothing while others wait for the memory that its body holds.
	stallTime = 2 * time.Second
	// maxWait and maxWaitShare bound the wait of a body for memory: a time that is longer than stallTime, so that bodies that
	// have stalled make room, and a share of the time left, so that a client that is refused can still go elsewhere.
	maxWait      = 4 * time.Second
	maxWaitShare = 0.5
	// stallCheckPeriod is the time between two searches for bodies that have stalled, while one waits.
	stallCheckPeriod = 250 * time.Millisecond
)

// Pool is memory that the bodies of many clients share. Long bodies leave a part of it to short ones. A body that finds no
// memory waits for a while; meanwhile, bodies whose clients have stopped sending are aborted.
type Pool struct {
	short, long part

	mu      sync.Mutex
	uploads map[*activeUpload]struct{}
	held    int64
}

// part is one part of a pool, of size bytes.
type part struct {
	free *semaphore.Weighted
	size int64
}

// newPart returns a part with the given size in bytes.
func newPart(size int64) part {
	return part{free: semaphore.NewWeighted(size), size: size}
}

// NewPool returns a pool of the given size in bytes.
func NewPool(size int64) *Pool {
	short := int64(float64(size) * shortShare)
	return &Pool{short: newPart(short), long: newPart(size - short), uploads: make(map[*activeUpload]struct{})}
}

// Upload is a body that a client sends.
type Upload struct {
	// Body is the body as it arrives.
	Body io.Reader
	// Length is the announced length in bytes, or -1 if it is unknown.
	Length int64
	// MaxBytes is the maximum length; 0 means no limit.
	MaxBytes int64
	// FreeBytes is the capacity up to which the body takes nothing of the pool.
	FreeBytes int64
	// Factor is the memory that a byte of the body takes; 0 means 1.
	Factor int64
	// Deadline is that of the request.
	Deadline time.Time
	// Abort makes reads of Body fail. It isn't called after Read has returned.
	Abort func()
}

// activeUpload is an upload that is being read.
type activeUpload struct {
	Upload
	pool *Pool
	held reservation
	// waited is how long the upload has waited for memory.
	waited time.Duration
	// The fields below are guarded by the pool's mutex, as are changes of held. lastRead is when the client sent
	// something, waiting reports whether the upload waits for memory.
	lastRead         time.Time
	waiting, aborted bool
}

// Read reads a complete body. The returned function releases its memory; it must be called once, when the body is no longer
// needed. The error is ErrNoMemory, ErrTooLong or that of Body.
func (p *Pool) Read(upload Upload) (body []byte, release func(), err error) {
	u := &activeUpload{Upload: upload, pool: p, lastRead: time.Now()}
	u.Factor = max(1, u.Factor)
	p.mu.Lock()
	p.uploads[u] = struct{}{}
	p.mu.Unlock()
	body, err = read(u, u.Length, u.MaxBytes, u.reserve, u.settle)
	p.mu.Lock()
	delete(p.uploads, u)
	p.mu.Unlock()
	if err != nil {
		u.release()
		return nil, func() {}, err
	}
	return body, u.release, nil
}

// Held returns the number of bytes that bodies hold.
func (p *Pool) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Read reads from the body.
func (u *activeUpload) Read(b []byte) (int, error) {
	n, err := u.Body.Read(b)
	if n > 0 {
		now := time.Now()
		u.pool.mu.Lock()
		u.lastRead = now
		u.pool.mu.Unlock()
	}
	return n, err
}

// reserve takes the memory for a buffer with the given capacity in bytes.
func (u *activeUpload) reserve(capacity int64) error {
	if capacity <= u.FreeBytes {
		return nil
	}
	from := u.pool.long
	if capacity <= shortBytes+1 && u.Length <= shortBytes {
		from = u.pool.short
	}
	bytes := capacity * u.Factor
	if !from.free.TryAcquire(bytes) && !u.wait(from, bytes) {
		return ErrNoMemory
	}
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	u.held.replace(from.free, bytes)
	u.pool.held += bytes
	return nil
}

// wait waits until a part has the given number of bytes; it reports false if it has not in time.
func (u *activeUpload) wait(from part, bytes int64) bool {
	if bytes > from.size {
		return false
	}
	u.setWaiting(true)
	defer u.setWaiting(false)
	start := time.Now()
	defer func() { u.waited += time.Since(start) }()
	left := time.Duration(float64(time.Until(u.Deadline)) * maxWaitShare)
	ctx, cancel := context.WithTimeout(context.Background(), min(maxWait-u.waited, left))
	defer cancel()
	u.pool.abortStalledUntil(ctx, from.free, bytes)
	return from.free.Acquire(ctx, bytes) == nil
}

// abortStalledUntil calls abortStalled again and again until ctx ends.
func (p *Pool) abortStalledUntil(ctx context.Context, memory *semaphore.Weighted, bytes int64) {
	if ctx.Err() != nil {
		return
	}
	p.abortStalled(memory, bytes)
	time.AfterFunc(stallCheckPeriod, func() { p.abortStalledUntil(ctx, memory, bytes) })
}

// abortStalled aborts the uploads that hold some of the given memory and have been silent for longest, at least for
// stallTime, until they hold the given number of bytes together.
func (p *Pool) abortStalled(memory *semaphore.Weighted, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stalledBefore := time.Now().Add(-stallTime)
	var stalled []*activeUpload
	for u := range p.uploads {
		if u.held.memory == memory && !u.waiting && u.lastRead.Before(stalledBefore) {
			stalled = append(stalled, u)
		}
	}
	slices.SortFunc(stalled, func(a, b *activeUpload) int { return a.lastRead.Compare(b.lastRead) })
	for _, u := range stalled {
		if bytes <= 0 {
			return
		}
		bytes -= u.held.bytes
		if !u.aborted {
			u.aborted = true
			u.Abort()
		}
	}
}

// setWaiting records whether the upload waits for memory. Its client can't send meanwhile and hasn't stalled.
func (u *activeUpload) setWaiting(waiting bool) {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	u.waiting = waiting
	u.lastRead = time.Now()
}

// settle releases the memory of the former buffer.
func (u *activeUpload) settle() {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	if u.held.former != nil {
		u.pool.held -= u.held.formerBytes
	}
	u.held.settle()
}

// release releases all memory of the upload.
func (u *activeUpload) release() {
	u.settle()
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	if u.held.memory != nil {
		u.pool.held -= u.held.bytes
	}
	u.held.release()
}
