package peer

import (
	"net"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// freeMessageBytes is the length of a message up to which it takes nothing of Client.Memory; usual ones have some
	// kilobytes.
	freeMessageBytes = 64 << 10
	// memoryPerByte is the memory that a byte of an incomplete message takes, at most: buffers double as they grow, and the
	// message is copied from one to another.
	memoryPerByte = 4
)

// errNoMemory means that incomplete messages on other connections take up the memory that is set aside for them.
var errNoMemory = errors.New("no memory left for the message")

// boundedConn is a connection whose incomplete messages take from the memory that all connections share. Each write starts
// a new message, since a reply has been read completely before the next call.
type boundedConn struct {
	net.Conn
	memory *semaphore.Weighted

	mu sync.Mutex
	// received is the number of bytes of the current message, and reserved what is taken from memory for it.
	received, reserved int64
	closed             bool
}

// newBoundedConn returns a connection that takes from memory; nil means no bound.
func newBoundedConn(conn net.Conn, memory *semaphore.Weighted) net.Conn {
	if memory == nil {
		return conn
	}
	return &boundedConn{Conn: conn, memory: memory}
}

// Read reads from the connection; it returns errNoMemory if there is no memory left for what it has read.
func (c *boundedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.reserve(n) {
		return 0, errNoMemory
	}
	return n, err
}

// Write writes to the connection.
func (c *boundedConn) Write(b []byte) (int, error) {
	c.startMessage()
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.startMessage()
	return c.Conn.Close()
}

// reserve counts received bytes and takes memory for them; it reports false if there is none left.
func (c *boundedConn) reserve(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += int64(n)
	missing := (c.received-freeMessageBytes)*memoryPerByte - c.reserved
	if missing <= 0 {
		return true
	}
	if c.closed || !c.memory.TryAcquire(missing) {
		return false
	}
	c.reserved += missing
	return true
}

// startMessage releases the memory of the message that was received.
func (c *boundedConn) startMessage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.Release(c.reserved)
	c.received, c.reserved = 0, 0
}

// startMessage makes a connection of newBoundedConn release the memory of the message that was received.
func startMessage(conn net.Conn) {
	if bounded, ok := conn.(*boundedConn); ok {
		bounded.startMessage()
	}
}
