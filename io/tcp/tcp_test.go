package tcp

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestConnectionsNoticeSilence(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialer := &Dialer{Timeout: time.Second, IdleTimeout: 800 * time.Millisecond}
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		timeout, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if err != nil || timeout != 800 {
			t.Errorf("got TCP_USER_TIMEOUT of %d ms (error %v), want 800", timeout, err)
		}
		keepAlive, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		if err != nil || keepAlive == 0 {
			t.Errorf("got no keep-alive probes (error %v), want them enabled", err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
