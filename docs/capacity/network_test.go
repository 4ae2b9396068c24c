package capacity

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// messageDelay is the one-way delay of a message between entries.
const messageDelay = time.Millisecond

// network connects entries in memory and counts the bytes and messages that they send.
type network struct {
	bytes    atomic.Int64
	messages atomic.Int64

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
}

// listener accepts connections in memory.
type listener struct {
	address netip.AddrPort
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// countingConn counts the bytes and messages that one end of a connection sends.
type countingConn struct {
	net.Conn
	network *network
}

// listen returns a listener for an address.
func (n *network) listen(address netip.AddrPort) *listener {
	l := &listener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dial connects to an address. It returns an error if nothing listens there, the listener is closed or ctx ends.
func (n *network) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l, found := n.listeners[to]
	n.mu.Unlock()
	if !found {
		return nil, errors.Errorf("no listener at %s", to)
	}
	near, far := net.Pipe()
	select {
	case l.conns <- &countingConn{Conn: far, network: n}:
		return &countingConn{Conn: near, network: n}, nil
	case <-l.closed:
		return nil, errors.Errorf("listener at %s is closed", to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// Write counts b as one message and sends it after messageDelay.
func (c *countingConn) Write(b []byte) (int, error) {
	time.Sleep(messageDelay)
	c.network.bytes.Add(int64(len(b)))
	c.network.messages.Add(1)
	return c.Conn.Write(b)
}
