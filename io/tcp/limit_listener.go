package tcp

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// minSilence is how long a connection must have been silent to make room for another one.
	minSilence = time.Second
	// evictionTime is how long the server has to close a connection that is to make room.
	evictionTime = 2 * time.Second
	// evictionShare is the share of MaxConns by which the number of open connections may exceed it, until those that make
	// room are closed.
	evictionShare = 0.25
)

// LimitListener accepts at most MaxConns connections at a time. If there are more, a new one takes the place of the one that
// has been silent for longest, unless that is busy. netutil.LimitListener makes new connections wait instead, so that
// clients that keep their connections would shut out all others. Its fields must be set before use.
type LimitListener struct {
	net.Listener
	// MaxConns is the maximum number of connections.
	MaxConns int
	// MessageMemory bounds the memory for incomplete messages on all connections together, in bytes; nil means no bound.
	MessageMemory *semaphore.Weighted
	// MessageCost estimates the memory of received parts of messages.
	MessageCost MessageCost

	mu    sync.Mutex
	conns map[*LimitedConn]struct{}
}

// Accept waits for the next connection for which there is room; others are closed.
func (l *LimitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limited := l.admit(conn); limited != nil {
			return limited, nil
		}
		// The client sees that nothing of its request was read.
		_ = conn.Close()
	}
}

// admit adds a connection, or returns nil if there is no room for it.
func (l *LimitListener) admit(conn net.Conn) *LimitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if len(l.conns) >= l.MaxConns && !l.makeRoom(now) {
		return nil
	}
	if l.conns == nil {
		l.conns = make(map[*LimitedConn]struct{})
	}
	limited := &LimitedConn{Conn: conn, listener: l, started: now}
	limited.message.cost, limited.message.memory = l.MessageCost, l.MessageMemory
	l.conns[limited] = struct{}{}
	return limited
}

// makeRoom evicts the connection that has been silent for longest, unless enough connections are being closed already. It
// reports false if there is no such connection or too many are still open.
func (l *LimitListener) makeRoom(now time.Time) bool {
	var silent *LimitedConn
	var silentFor time.Duration
	evicted := 0
	for c := range l.conns {
		since := c.evictedFor(now)
		if since > evictionTime {
			// The server doesn't read, be it that a write to the client holds it up.
			delete(l.conns, c)
			c.message.close()
			_ = c.Conn.Close()
			continue
		}
		if since >= 0 {
			evicted++
			continue
		}
		if s := c.silentFor(now); s > silentFor {
			silent, silentFor = c, s
		}
	}
	if len(l.conns) >= l.MaxConns+max(1, int(float64(l.MaxConns)*evictionShare)) {
		return false
	}
	if len(l.conns)-evicted < l.MaxConns {
		return true
	}
	if silentFor < minSilence {
		return false
	}
	silent.evict(now)
	return true
}

// remove forgets a connection that is closed.
func (l *LimitListener) remove(c *LimitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
