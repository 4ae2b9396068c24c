package faultproxy

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Cut specifies how a path is cut off.
type Cut int

// The kinds of cuts.
const (
	// CutNone is no cut.
	CutNone Cut = iota
	// CutSilent loses all data: new connections time out, and open ones fail after silenceTimeout.
	CutSilent
	// CutReset resets open connections and refuses new ones.
	CutReset
	// CutNew refuses new connections; open ones go on.
	CutNew
)

const (
	// pathDialTimeout bounds the time to connect, as the clients of endpoints do.
	pathDialTimeout = 400 * time.Millisecond
	// silenceTimeout is how long an open connection lasts while a cut loses all its data.
	silenceTimeout = 2 * time.Second
)

// Path connects a client to servers and can be cut off from all of them at once, unlike a Proxy in front of one server.
// Its zero value is ready to use.
type Path struct {
	mu    sync.Mutex
	cut   Cut
	since time.Time
	// only holds the addresses that the cut is limited to; nil means all.
	only  map[string]bool
	conns map[*pathConn]bool
	// changed is closed and replaced at each change of the cut.
	changed chan struct{}
}

// SetCut cuts the path off from some servers, or from all if none is given, or ends the cut.
func (p *Path) SetCut(cut Cut, from ...netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut, p.since, p.only = cut, time.Now(), nil
	for _, address := range from {
		if p.only == nil {
			p.only = make(map[string]bool)
		}
		p.only[address.String()] = true
	}
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
	if cut == CutReset {
		for conn := range p.conns {
			if p.only == nil || p.only[conn.address] {
				reset(conn.Conn)
			}
		}
	}
}

// state returns the cut from a server, when it was set, and a channel that is closed at the next change.
func (p *Path) state(address string) (Cut, time.Time, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	if p.only != nil && !p.only[address] {
		return CutNone, p.since, p.changed
	}
	return p.cut, p.since, p.changed
}

// Dial connects to an address. The error is that of a refused connection or of a timeout while the path is cut off.
func (p *Path) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, pathDialTimeout)
	defer cancel()
	switch cut, _, _ := p.state(address); cut {
	case CutSilent:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
	case CutReset, CutNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	opened := &pathConn{Conn: conn, path: p, address: address, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[*pathConn]bool)
	}
	p.conns[opened] = true
	return opened, nil
}

// pathConn is a connection whose data is held back while its path is silent.
type pathConn struct {
	net.Conn
	path    *Path
	address string
	once    sync.Once
	closed  chan struct{}
}

// Read reads once the path is not silent.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if waitErr := c.await(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write writes once the path is not silent.
func (c *pathConn) Write(b []byte) (int, error) {
	if err := c.await(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *pathConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.Conn.Close()
}

// await waits until the path is not silent. It returns an error once the path has been silent for silenceTimeout or the
// connection is closed.
func (c *pathConn) await() error {
	for {
		cut, since, changed := c.path.state(c.address)
		if cut != CutSilent {
			return nil
		}
		timer := time.NewTimer(time.Until(since.Add(silenceTimeout)))
		select {
		case <-changed:
		case <-c.closed:
			timer.Stop()
			return net.ErrClosed
		case <-timer.C:
			return syscall.ETIMEDOUT
		}
		timer.Stop()
	}
}
