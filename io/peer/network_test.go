package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// pipeNetwork connects clients to servers in memory, so that tests may pause and advance the clock.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
	traffic   traffic
}

// traffic counts what all clients have written and read.
type traffic struct {
	bytes       atomic.Int64
	writes      atomic.Int64
	connections atomic.Int64
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	address netip.AddrPort
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// countedConn counts the traffic of one connection.
type countedConn struct {
	net.Conn
	traffic *traffic
}

// newPipeNetwork returns a network without listeners.
func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listeners: make(map[netip.AddrPort]*pipeListener)}
}

// listen returns a listener for an address.
func (n *pipeNetwork) listen(address netip.AddrPort) *pipeListener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dial connects to an address.
func (n *pipeNetwork) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l, found := n.listeners[to]
	n.mu.Unlock()
	if !found {
		return nil, errors.Errorf("no way to %s", to)
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		n.traffic.connections.Add(1)
		return &countedConn{Conn: near, traffic: &n.traffic}, nil
	case <-l.closed:
		return nil, errors.Errorf("%s is closed", to)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address.
func (l *pipeListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}

// Write counts what is sent.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// Read counts what is received.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}
