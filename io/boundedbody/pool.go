package boundedbody

import (
	"io"
	"sync"
	"time"
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
	// yieldTime is how long a body waits until others that wait behind it are refused.
	yieldTime = 500 * time.Millisecond
	// roomCheckPeriod is the time between two searches for bodies that make room, while one waits.
	roomCheckPeriod = 250 * time.Millisecond
)

// Pool is memory that the bodies of many clients share. Long bodies leave a part of it to short ones. A body that finds no
// memory waits for a while; shorter and older ones go first. For the first, bodies whose clients have stopped sending are
// aborted, and the last that wait are refused, so that bodies that hold memory and wait for more don't block each other.
type Pool struct {
	mu          sync.Mutex
	short, long *part
	uploads     map[*activeUpload]struct{}
	// held is the number of bytes that bodies hold, started that of uploads so far.
	held, started int64
}

// NewPool returns a pool of the given size in bytes.
func NewPool(size int64) *Pool {
	short := int64(float64(size) * shortShare)
	p := &Pool{uploads: make(map[*activeUpload]struct{})}
	p.short, p.long = newPart(p, short), newPart(p, size-short)
	return p
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
	// number counts the uploads of the pool in the order of their start.
	number int64
	// The fields below are guarded by the pool's mutex. waited is how long the upload has waited for memory before, lastRead
	// when the client sent something, waiting reports whether the upload waits for memory, and leaving whether it will
	// release what it holds.
	waited           time.Duration
	held             reservation
	lastRead         time.Time
	waiting, leaving bool
}

// Read reads a complete body. The returned function releases its memory; it must be called once, when the body is no longer
// needed. The error is ErrNoMemory, ErrTooLong or that of Body.
func (p *Pool) Read(upload Upload) (body []byte, release func(), err error) {
	u := &activeUpload{Upload: upload, pool: p, lastRead: time.Now()}
	u.Factor = max(1, u.Factor)
	p.mu.Lock()
	p.started++
	u.number = p.started
	p.uploads[u] = struct{}{}
	p.mu.Unlock()
	body, err = read(u, u.Length, u.MaxBytes, u.reserve, u.settle)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.uploads, u)
	if err != nil {
		u.held.release()
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
	if capacity*u.Factor > from.size {
		return ErrNoMemory
	}
	if w := from.request(u, capacity); w != nil && !from.wait(w) {
		return ErrNoMemory
	}
	return nil
}

// settle releases the memory of the former buffer.
func (u *activeUpload) settle() {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	u.held.settle()
}

// release releases all memory of the upload.
func (u *activeUpload) release() {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	u.held.release()
}
