// Package faultproxy stands between a client and a server on this machine and spoils their connections.
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

// Mode is what a proxy does to connections.
type Mode int

// The modes of a proxy.
const (
	// PassThrough passes everything on.
	PassThrough Mode = iota
	// Delay holds each piece back for a while.
	Delay
	// Reset breaks all connections, and each new one at once.
	Reset
	// StallToServer holds back what the client sends, as long as the mode lasts.
	StallToServer
	// StallToClient holds back what the server sends, as long as the mode lasts.
	StallToClient
	// StallBoth holds everything back, as long as the mode lasts.
	StallBoth
)

const (
	// delay is how long Delay holds a piece back: many times a usual way.
	delay = 60 * time.Millisecond
	// pieceSize is the number of bytes that are passed on at once.
	pieceSize = 8 << 10
	// dialTimeout bounds the connection to the server.
	dialTimeout = time.Second
)

// Proxy passes connections on to a server.
type Proxy struct {
	// Target is where the server listens.
	Target netip.AddrPort

	mu       sync.Mutex
	mode     Mode
	changed  chan struct{}
	conns    map[net.Conn]bool
	listener net.Listener
	stop     context.CancelFunc
	group    errgroup.Group
}

// Start listens at a free port of 127.0.0.1.
func (p *Proxy) Start() error {
	ctx, stop := context.WithCancel(context.Background())
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		stop()
		return errors.Wrap(err, "fault proxy")
	}
	p.listener, p.stop = listener, stop
	p.changed = make(chan struct{})
	p.conns = make(map[net.Conn]bool)
	p.group.Go(func() error {
		p.accept(ctx)
		return nil
	})
	return nil
}

// Address is where clients connect.
func (p *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// SetMode changes what is done to all connections from now on.
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

// Close breaks all connections and stops listening.
func (p *Proxy) Close() {
	p.stop()
	_ = p.listener.Close()
	p.SetMode(Reset)
	_ = p.group.Wait()
}

// accept passes on each connection until ctx ends.
func (p *Proxy) accept(ctx context.Context) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode, _ := p.present(); mode == Reset {
			reset(client)
			continue
		}
		p.group.Go(func() error {
			p.serve(ctx, client)
			return nil
		})
	}
}

// serve passes one connection on until either end closes it.
func (p *Proxy) serve(ctx context.Context, client net.Conn) {
	defer p.forget(client)
	p.remember(client)
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(ctx, "tcp", p.Target.String())
	if err != nil {
		reset(client)
		return
	}
	defer p.forget(server)
	p.remember(server)
	var both errgroup.Group
	both.Go(func() error {
		p.copy(ctx, server, client, StallToServer)
		return nil
	})
	p.copy(ctx, client, server, StallToClient)
	_ = both.Wait()
}

// copy passes one direction on; cut is the mode that holds it back.
func (p *Proxy) copy(ctx context.Context, to, from net.Conn, cut Mode) {
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if n > 0 && (!p.hold(ctx, cut) || write(to, piece[:n]) != nil) {
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

// hold waits as the mode demands; it reports false once the connection is to be broken.
func (p *Proxy) hold(ctx context.Context, cut Mode) bool {
	for {
		mode, changed := p.present()
		switch mode {
		case Reset:
			return false
		case Delay:
			return sleep(ctx, delay)
		case StallBoth, cut:
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

// present returns the mode and what is closed when it changes.
func (p *Proxy) present() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// remember notes an open connection; one that opens while connections are reset is broken at once.
func (p *Proxy) remember(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	if p.mode == Reset {
		reset(conn)
	}
}

// forget closes a connection.
func (p *Proxy) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

// write writes all bytes.
func write(to net.Conn, piece []byte) error {
	_, err := to.Write(piece)
	return errors.Wrap(err, "fault proxy")
}

// reset breaks a connection so that its other end sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// sleep waits; it reports false if ctx ends first.
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
