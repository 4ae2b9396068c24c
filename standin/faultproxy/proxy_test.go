package faultproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// echoServer starts a server that echoes everything, and returns its address.
func echoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return err
			}
			group.Go(func() error {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// exchange sends a line and reports whether it comes back within wait.
func exchange(conn net.Conn, wait time.Duration) bool {
	_ = conn.SetDeadline(time.Now().Add(wait))
	if _, err := conn.Write([]byte("x\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "x\n"
}

func TestProxy(t *testing.T) {
	const short = 200 * time.Millisecond
	tests := map[string]struct {
		mode Mode
		// open is whether lines come back while the mode is set; after is whether they do so on the same connection once the
		// mode is PassThrough again.
		open, after bool
	}{
		"pass":          {mode: PassThrough, open: true, after: true},
		"delay":         {mode: Delay, open: true, after: true},
		"reset":         {mode: Reset},
		"cut to server": {mode: StallToServer, after: true},
		"cut to client": {mode: StallToClient, after: true},
		"silence":       {mode: StallBoth, after: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Proxy{Target: echoServer(t)}
			if err := p.Start(); err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			var dialer net.Dialer
			conn, err := dialer.DialContext(context.Background(), "tcp", p.Address().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if !exchange(conn, time.Second) {
				t.Fatal("no echo before the mode was set")
			}
			p.SetMode(tc.mode)
			if got := exchange(conn, short); got != tc.open {
				t.Errorf("got echo %t, want %t", got, tc.open)
			}
			p.SetMode(PassThrough)
			if got := exchange(conn, time.Second); got != tc.after {
				t.Errorf("got echo %t after the mode ended, want %t", got, tc.after)
			}
		})
	}
}
