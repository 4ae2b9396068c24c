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
	dialer := &Dialer{Timeout: time.Second, AckTimeout: 800 * time.Millisecond}
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

// TestBuffersAreBounded guards against kernel buffers that grow with what a slow reader leaves unread.
func TestBuffersAreBounded(t *testing.T) {
	const size = 32 << 10
	buffers := Buffers{Read: size, Write: size}
	listener, err := (&net.ListenConfig{Control: buffers.Control}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := (&Dialer{Timeout: time.Second, AckTimeout: time.Second, Buffers: buffers}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = dialed.Close() }()
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	for name, conns := range map[string][2]net.Conn{"dialed": {dialed, accepted}, "accepted": {accepted, dialed}} {
		written := 0
		_ = conns[0].SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		for chunk := make([]byte, 1024); ; written += len(chunk) {
			if _, err := conns[0].Write(chunk); err != nil {
				break
			}
		}
		// Each kernel buffer may hold twice its size.
		if written > 4*size {
			t.Errorf("%s: %d bytes were accepted that nobody reads, want %d at most", name, written, 4*size)
		}
	}
}
