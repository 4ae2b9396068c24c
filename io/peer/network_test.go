package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// pipeNetwork connects clients to servers in memory, so that tests can run in virtual time.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*pipeListener
	traffic   traffic
}

// traffic counts the bytes, the reads and writes, and the connections of all clients.
type traffic struct {
	bytes       atomic.Int64
	operations  atomic.Int64
	connections atomic.Int64
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	address netip.AddrPort
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// countingConn adds the traffic of one connection to a counter.
type countingConn struct {
	net.Conn
	traffic *traffic
}

// newPipeNetwork returns a network without listeners.
func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listeners: make(map[netip.AddrPort]*pipeListener)}
}

// listen adds a listener at an address.
func (n *pipeNetwork) listen(address netip.AddrPort) *pipeListener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// dial connects to the listener at an address.
func (n *pipeNetwork) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l, found := n.listeners[to]
	n.mu.Unlock()
	if !found {
		return nil, errors.Errorf("no listener at %s", to)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		n.traffic.connections.Add(1)
		return &countingConn{Conn: client, traffic: &n.traffic}, nil
	case <-l.closed:
		return nil, errors.Errorf("listener at %s is closed", to)
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

// Addr returns the address of the listener.
func (l *pipeListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.address)
}

// Write writes to the connection and counts the operation and its bytes.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.operations.Add(1)
	return n, err
}

// Read reads from the connection and counts the operation and its bytes.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.bytes.Add(int64(n))
	c.traffic.operations.Add(1)
	return n, err
}
