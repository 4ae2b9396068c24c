// Package boundedbody reads bodies of HTTP messages into memory that all bodies of a kind share.
package boundedbody

import (
	"io"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// firstBytes is the capacity with which a body of unknown length begins.
const firstBytes = 4 << 10

// Errors of Read.
var (
	// ErrNoMemory means that other bodies take up all memory that is set aside for them.
	ErrNoMemory = errors.New("no memory left for the body")
	// ErrTooLong means that the body exceeds its maximum length.
	ErrTooLong = errors.New("body exceeds the maximum length")
)

// Limits bounds one body and all bodies of a kind.
type Limits struct {
	// MaxBytes is the maximum length of a body; 0 means no limit.
	MaxBytes int64
	// FreeBytes is the capacity up to which a body takes nothing of Memory, so that short ones always find room.
	FreeBytes int64
	// Memory bounds the memory for all bodies together; nil means no bound.
	Memory *semaphore.Weighted
}

// Read reads a complete body. Its memory is taken from Memory as it arrives, so that a sender that is slow holds little;
// Read doesn't wait for memory. The returned function releases it; it must be called once, when the body is no longer
// needed.
func (l Limits) Read(reader io.Reader) (body []byte, release func(), err error) {
	var held reservation
	body, err = read(reader, unknownLength, l.MaxBytes, func(capacity int64) error {
		if l.Memory == nil || capacity <= l.FreeBytes {
			return nil
		}
		if !l.Memory.TryAcquire(capacity) {
			return ErrNoMemory
		}
		held.replace(l.Memory, capacity)
		return nil
	}, held.settle)
	if err != nil {
		held.release()
		return nil, func() {}, err
	}
	return body, held.release, nil
}

// unknownLength is the length of a body that is not announced.
const unknownLength = -1

// read reads a complete body into a buffer whose capacity doubles as the body arrives, at most to the announced length.
// It calls reserve before it allocates another capacity in bytes and settle once the former buffer is no longer needed.
func read(reader io.Reader, length, maxBytes int64, reserve func(capacity int64) error, settle func()) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			capacity := nextCapacity(int64(cap(body)), length)
			if err := reserve(capacity); err != nil {
				return nil, err
			}
			grown := make([]byte, len(body), capacity)
			copy(grown, body)
			body = grown
			settle()
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case maxBytes > 0 && int64(len(body)) > maxBytes:
			return nil, ErrTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextCapacity returns the capacity that follows a full one for a body of the given length. A buffer for an announced
// length has one more byte, so that its end is read without another allocation.
func nextCapacity(capacity, length int64) int64 {
	next := max(2*capacity, firstBytes)
	if length >= capacity {
		next = min(next, length+1)
	}
	return next
}

// memory is memory of which bodies take parts.
type memory interface {
	Release(bytes int64)
}

// reservation is the memory that one body holds. While its buffer grows, it holds that of the former buffer as well.
type reservation struct {
	memory, former     memory
	bytes, formerBytes int64
}

// replace records memory that was acquired for a larger buffer.
func (r *reservation) replace(memory memory, bytes int64) {
	r.former, r.formerBytes = r.memory, r.bytes
	r.memory, r.bytes = memory, bytes
}

// settle releases the memory of the former buffer.
func (r *reservation) settle() {
	if r.former != nil {
		r.former.Release(r.formerBytes)
		r.former = nil
	}
}

// release releases all memory.
func (r *reservation) release() {
	r.settle()
	if r.memory != nil {
		r.memory.Release(r.bytes)
		r.memory = nil
	}
}
