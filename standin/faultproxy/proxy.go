// Package faultproxy is a TCP proxy that injects faults into connections between local clients and a server.
package faultproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Mode specifies how a proxy treats its connections.
type Mode int

// The modes of a proxy.
const (
	// PassThrough forwards all data.
	PassThrough Mode = iota
	// Delay delays each piece of data by pieceDelay.
	Delay
	// Reset resets all open connections, and each new one as soon as it is accepted.
	Reset
	// StallToServer holds back data from the client while the mode lasts.
	StallToServer
	// StallToClient holds back data from the server while the mode lasts.
	StallToClient
	// StallBoth holds back all data while the mode lasts.
	StallBoth
)

const (
	// pieceDelay is how long the mode Delay delays each piece of data, many times the usual local latency.
	pieceDelay = 60 * time.Millisecond
	// pieceBytes is the largest number of bytes forwarded at once.
	pieceBytes = 8 << 10
	// dialTimeout bounds the dial to the server.
	dialTimeout = time.Second
)

// Proxy forwards connections to a server. Target must be set before Start.
type Proxy struct {
	// Target is the address of the server.
	Target netip.AddrPort
	// Listen is the address to listen on; the zero value means a free port of 127.0.0.1. Refuse requires it.
	Listen netip.AddrPort

	mu   sync.Mutex
	mode Mode
	// changed is closed and replaced at each change of the mode.
	changed  chan struct{}
	conns    map[net.Conn]bool
	listener net.Listener
	closed   bool
	stop     context.CancelFunc
	group    errgroup.Group
}

// Start listens and serves in the background, in mode PassThrough.
func (p *Proxy) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.changed = make(chan struct{})
	p.conns = make(map[net.Conn]bool)
	if err := p.listen(ctx); err != nil {
		stop()
		return err
	}
	return nil
}

// listen listens and accepts connections in the background.
func (p *Proxy) listen(ctx context.Context) error {
	address := "127.0.0.1:0"
	if p.Listen.IsValid() {
		address = p.Listen.String()
	}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "fault proxy")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errors.Wrap(listener.Close(), "fault proxy")
	}
	p.listener = listener
	p.group.Go(func() error {
		p.accept(ctx, listener)
		return nil
	})
	return nil
}

// Refuse refuses new connections while the function do runs; open ones go on. It returns an error if the proxy can't
// listen again.
func (p *Proxy) Refuse(do func()) error {
	p.mu.Lock()
	listener := p.listener
	p.mu.Unlock()
	_ = listener.Close()
	do()
	return p.listen(context.Background())
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// SetMode sets the mode of all open and future connections.
func (p *Proxy) SetMode(mode Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == Reset {
		for conn := range p.conns {
			reset(conn)
		}
	}
}

// Close resets all connections, stops listening and waits until all goroutines have ended.
func (p *Proxy) Close() {
	p.stop()
	p.mu.Lock()
	p.closed = true
	listener := p.listener
	p.mu.Unlock()
	_ = listener.Close()
	p.SetMode(Reset)
	_ = p.group.Wait()
}

// accept serves new connections until the listener is closed.
func (p *Proxy) accept(ctx context.Context, listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.currentMode(); mode == Reset {
			reset(client)
			continue
		}
		p.group.Go(func() error {
			p.serve(ctx, client)
			return nil
		})
	}
}

// serve forwards a connection in both directions until both have ended. It resets the connection if the server can't be
// reached.
func (p *Proxy) serve(ctx context.Context, client net.Conn) {
	defer p.closeConn(client)
	p.addConn(client)
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(ctx, "tcp", p.Target.String())
	if err != nil {
		reset(client)
		return
	}
	defer p.closeConn(server)
	p.addConn(server)
	var toServer errgroup.Group
	toServer.Go(func() error {
		p.forward(ctx, server, client, StallToServer)
		return nil
	})
	p.forward(ctx, client, server, StallToClient)
	_ = toServer.Wait()
}

// forward forwards data from a source connection to a destination connection. When the source ends, it closes the write
// side of the destination. If it can't forward data, it resets both connections. The mode stall holds back this
// direction.
func (p *Proxy) forward(ctx context.Context, to, from net.Conn, stall Mode) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && (!p.waitForMode(ctx, stall) || write(to, piece[:n]) != nil) {
			reset(from)
			reset(to)
			return
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
	}
}

// waitForMode waits until the mode allows data to be forwarded. It reports false in mode Reset or if ctx ends; the
// connection is to be reset then.
func (p *Proxy) waitForMode(ctx context.Context, stall Mode) bool {
	for {
		mode, changed := p.currentMode()
		switch mode {
		case Reset:
			return false
		case Delay:
			return sleep(ctx, pieceDelay)
		case StallBoth, stall:
		default:
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// currentMode returns the mode, and a channel that is closed when it changes.
func (p *Proxy) currentMode() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// addConn registers an open connection, and in mode Reset also resets it at once.
func (p *Proxy) addConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	if p.mode == Reset {
		reset(conn)
	}
}

// closeConn closes a connection and unregisters it.
func (p *Proxy) closeConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// write writes piece to a connection.
func write(to net.Conn, piece []byte) error {
	_, err := to.Write(piece)
	return errors.Wrap(err, "fault proxy")
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// sleep waits for d. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
