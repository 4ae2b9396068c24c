package tcp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// past is a read deadline that ends all reads.
var past = time.Unix(1, 0)

// LimitedConn is a connection that a LimitListener has accepted. Its client may be silent while the connection is busy;
// otherwise it may have to make room for another one.
type LimitedConn struct {
	net.Conn
	listener *LimitListener
	started  time.Time
	message  message
	// lastActive is when the client sent something or the connection stopped being busy, in nanoseconds since started.
	lastActive atomic.Int64
	busy       atomic.Bool

	mu        sync.Mutex
	evictedAt time.Time
}

// Read reads from the connection; it returns ErrNoMessageMemory if there is no memory left for what it has read.
func (c *LimitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.touch()
		if !c.message.received(b[:n]) {
			return 0, ErrNoMessageMemory
		}
	}
	return n, err
}

// Close closes the connection.
func (c *LimitedConn) Close() error {
	c.listener.remove(c)
	c.message.close()
	return c.Conn.Close()
}

// CloseWrite ends the connection in one direction, where the connection can do that.
func (c *LimitedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// SetDeadline sets the read and write deadlines.
func (c *LimitedConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// SetReadDeadline sets the read deadline, unless the connection makes room for another one.
func (c *LimitedConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.evictedAt.IsZero() {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetBusy sets whether the server is working on a complete request of the client.
func (c *LimitedConn) SetBusy(busy bool) {
	c.touch()
	c.busy.Store(busy)
}

// StartMessage releases the memory of the message that was received; the bytes that follow belong to the next one.
func (c *LimitedConn) StartMessage() {
	c.message.start()
}

// EndMessage ends the message that was received, which takes the given memory in bytes until StartMessage. What arrives
// until then is accounted for elsewhere.
func (c *LimitedConn) EndMessage(bytes int64) {
	c.message.end(bytes)
}

// touch records that the client is active.
func (c *LimitedConn) touch() {
	c.lastActive.Store(int64(time.Since(c.started)))
}

// silentFor returns how long the client has been silent, or 0 if the connection is busy.
func (c *LimitedConn) silentFor(now time.Time) time.Duration {
	if c.busy.Load() {
		return 0
	}
	return now.Sub(c.started) - time.Duration(c.lastActive.Load())
}

// evict makes all reads fail, so that the server ends the request that it is reading and closes the connection.
func (c *LimitedConn) evict(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evictedAt = now
	// The error is that of a connection that is closed already.
	_ = c.Conn.SetReadDeadline(past)
}

// evictedFor returns how long ago the connection was evicted, or a negative duration if it was not.
func (c *LimitedConn) evictedFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evictedAt.IsZero() {
		return -1
	}
	return now.Sub(c.evictedAt)
}
