package cierzo

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Flood is a faulty server, an endpoint or the store, that answers each request with bytes without end until the client
// closes the connection. Its fields must be set before Start.
type Flood struct {
	// Prefix is sent once. Each ATTEMPT in it is replaced by the caller attempt ID of the request.
	Prefix string
	// Repeat is sent again and again after Prefix.
	Repeat string
	// Pause is the time between two writes of Repeat; 0 sends as fast as the client reads.
	Pause time.Duration

	listener net.Listener
	group    errgroup.Group
	open     atomic.Int64
	received atomic.Int64
}

// Start listens on a free port of 127.0.0.1 and serves in the background.
func (f *Flood) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.listener = listener
	f.group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return err
			}
			f.open.Add(1)
			f.group.Go(func() error {
				defer f.open.Add(-1)
				f.serve(conn)
				return nil
			})
		}
	})
	return nil
}

// Close stops listening and waits until the clients have closed all connections.
func (f *Flood) Close() {
	_ = f.listener.Close()
	_ = f.group.Wait()
}

// Address returns the address that the server listens on.
func (f *Flood) Address() netip.AddrPort {
	return netip.MustParseAddrPort(f.listener.Addr().String())
}

// Open returns the number of connections that the clients have not closed.
func (f *Flood) Open() int {
	return int(f.open.Load())
}

// Received returns the number of requests received so far.
func (f *Flood) Received() int {
	return int(f.received.Load())
}

// serve answers one request and returns when the client has closed the connection.
func (f *Flood) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	f.received.Add(1)
	prefix := strings.ReplaceAll(f.Prefix, "ATTEMPT", request.Header.Get("X-Attempt-Id"))
	if _, err := conn.Write([]byte(prefix)); err != nil {
		return
	}
	repeat := []byte(f.Repeat)
	for {
		if _, err := conn.Write(repeat); err != nil {
			return
		}
		time.Sleep(f.Pause)
	}
}
