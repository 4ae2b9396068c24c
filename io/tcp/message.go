package tcp

import (
	"bytes"
	"net"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

// ErrNoMessageMemory means that incomplete messages on other connections take up the memory that is set aside for them.
var ErrNoMessageMemory = errors.New("no memory left for the message")

// MessageCost estimates the memory of a part of a message that was received.
type MessageCost struct {
	// FreeBytes is the memory up to which a message takes nothing of what is set aside.
	FreeBytes int64
	// PerByte is the memory that a received byte takes, and PerLine that of each line beside its bytes.
	PerByte, PerLine int64
}

// message accounts for the message that a connection is receiving.
type message struct {
	cost   MessageCost
	memory *semaphore.Weighted

	mu sync.Mutex
	// taken is the estimated memory of the message, and reserved what is taken from memory for it.
	taken, reserved int64
	ended, closed   bool
}

// received accounts for received bytes; it reports false if there is no memory left for them.
func (m *message) received(part []byte) bool {
	if m.memory == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return true
	}
	m.taken += int64(len(part)) * m.cost.PerByte
	if m.cost.PerLine > 0 {
		m.taken += int64(bytes.Count(part, []byte{'\n'})) * m.cost.PerLine
	}
	missing := m.taken - m.cost.FreeBytes - m.reserved
	if missing <= 0 {
		return true
	}
	if m.closed || !m.memory.TryAcquire(missing) {
		return false
	}
	m.reserved += missing
	return true
}

// end ends the message, which takes the given memory at most. A part of what was received may belong to what follows.
func (m *message) end(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if excess := m.reserved - max(0, bytes-m.cost.FreeBytes); excess > 0 {
		m.memory.Release(excess)
		m.reserved -= excess
	}
}

// start releases the memory of the message and begins the next one.
func (m *message) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.release()
}

// close releases the memory of the message; no other one may begin.
func (m *message) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.release()
}

// release releases the memory of the message. The caller holds the mutex.
func (m *message) release() {
	if m.reserved > 0 {
		m.memory.Release(m.reserved)
	}
	m.taken, m.reserved, m.ended = 0, 0, false
}

// MessageConn is a connection whose incomplete messages take from memory that connections share. Each write starts a new
// message, since a reply has been read completely before the next call.
type MessageConn struct {
	net.Conn
	message message
}

// NewMessageConn returns a connection whose messages take from memory; nil means no bound.
func NewMessageConn(conn net.Conn, cost MessageCost, memory *semaphore.Weighted) *MessageConn {
	return &MessageConn{Conn: conn, message: message{cost: cost, memory: memory}}
}

// Read reads from the connection; it returns ErrNoMessageMemory if there is no memory left for what it has read.
func (c *MessageConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.message.received(b[:n]) {
		return 0, ErrNoMessageMemory
	}
	return n, err
}

// Write writes to the connection.
func (c *MessageConn) Write(b []byte) (int, error) {
	c.message.start()
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *MessageConn) Close() error {
	c.message.close()
	return c.Conn.Close()
}

// StartMessage releases the memory of the message that was received.
func (c *MessageConn) StartMessage() {
	c.message.start()
}
