// Package brokenconn provides tests with connections that fail while a request is written, as the kernel shows it where the
// write gets the error: the next read returns what has arrived, and then the end.
package brokenconn

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose first write succeeds and whose later ones fail. Its fields must be set before use.
type Conn struct {
	// Answer is what has arrived when the connection fails.
	Answer string
	// EndFirst makes the end be read before a write fails; otherwise, a write fails first.
	EndFirst bool

	start  sync.Once
	answer *strings.Reader
	// asked, failed and ended are closed by the first write, the first write that fails, and the end of the answer.
	asked, failed, ended       chan struct{}
	askOnce, failOnce, endOnce sync.Once
}

// Dial returns a function that dials connections with an answer.
func Dial(answer string, endFirst bool) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return &Conn{Answer: answer, EndFirst: endFirst}, nil
	}
}

// prepare initializes the connection.
func (c *Conn) prepare() {
	c.start.Do(func() {
		c.answer = strings.NewReader(c.Answer)
		c.asked, c.failed, c.ended = make(chan struct{}), make(chan struct{}), make(chan struct{})
	})
}

// Write accepts what is written first and fails with syscall.ECONNRESET after that.
func (c *Conn) Write(b []byte) (int, error) {
	c.prepare()
	first := false
	c.askOnce.Do(func() {
		first = true
		close(c.asked)
	})
	if first {
		return len(b), nil
	}
	if c.EndFirst {
		<-c.ended
	}
	c.failOnce.Do(func() { close(c.failed) })
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

// Read returns the answer and then io.EOF.
func (c *Conn) Read(b []byte) (int, error) {
	c.prepare()
	<-c.asked
	if n, err := c.answer.Read(b); err == nil {
		return n, nil
	}
	if !c.EndFirst {
		<-c.failed
	}
	c.endOnce.Do(func() { close(c.ended) })
	return 0, io.EOF
}

// Close ends reads and writes.
func (c *Conn) Close() error {
	c.prepare()
	c.askOnce.Do(func() { close(c.asked) })
	c.failOnce.Do(func() { close(c.failed) })
	c.endOnce.Do(func() { close(c.ended) })
	return nil
}

// LocalAddr returns an address.
func (c *Conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr returns an address.
func (c *Conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline does nothing.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }
