package httpclient

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// writeWait is how long the end of an answer waits for the write of its request to end.
	writeWait = time.Second
	// flushWait is how long it waits for net/http to write what it has buffered of the request.
	flushWait = 20 * time.Millisecond
	// flushPoll is the time between two checks whether that was written.
	flushPoll = time.Millisecond
)

// ErrBrokenConnection means that an answer ended with its connection, on which the request could not be written.
var ErrBrokenConnection = errors.New("connection failed while the request was written")

// conn is a connection that ends with an error after a write has failed. The kernel reports an error of a connection once:
// if a write gets it, the next read returns what has arrived and then io.EOF, as at the end of a whole answer.
type conn struct {
	net.Conn
	// writing holds an element while a write is in progress.
	writing chan struct{}
	// failed is set before a write that failed ends; lastWrite is when the latest one ended.
	failed    atomic.Bool
	lastWrite atomic.Pointer[time.Time]
}

// newConn returns a connection that remembers failed writes.
func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, writing: make(chan struct{}, 1)}
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failed.Store(true)
	}
	now := time.Now()
	c.lastWrite.Store(&now)
	<-c.writing
	return n, err
}

// Read reads from the connection. It returns ErrBrokenConnection instead of io.EOF after a failed write.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.broken() {
		return n, ErrBrokenConnection
	}
	return n, err
}

// broken reports whether a write has failed, or doesn't end.
func (c *conn) broken() bool {
	timer := time.NewTimer(writeWait)
	defer timer.Stop()
	select {
	case c.writing <- struct{}{}:
		<-c.writing
		return c.failed.Load()
	case <-timer.C:
		return true
	}
}

// awaitWrite waits until a write has ended after the given time, for flushWait at most.
func (c *conn) awaitWrite(after time.Time) {
	for end := time.Now().Add(flushWait); time.Now().Before(end); time.Sleep(flushPoll) {
		if last := c.lastWrite.Load(); last != nil && last.After(after) {
			return
		}
	}
}
