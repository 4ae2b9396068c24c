// Package tcp dials TCP connections that fail once the peer is silent for too long.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer dials connections. Its fields must be set before the first connection.
type Dialer struct {
	// Timeout bounds the time to connect.
	Timeout time.Duration
	// AckTimeout is how long sent bytes may remain unacknowledged (TCP_USER_TIMEOUT), and approximately how long the
	// peer of an idle connection may be unreachable before the connection fails.
	AckTimeout time.Duration
	// Buffers bounds the buffers of the kernel; its zero value leaves them to the kernel.
	Buffers Buffers
}

// keepAliveProbes is the number of unanswered keep-alive probes after which a connection fails.
const keepAliveProbes = 2

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     d.AckTimeout / keepAliveProbes,
			Interval: d.AckTimeout / keepAliveProbes,
			Count:    keepAliveProbes,
		},
		Control: d.control,
	}
	return dialer.DialContext(ctx, network, address)
}

// control sets TCP_USER_TIMEOUT and the buffers of a new socket.
func (d *Dialer) control(network, address string, raw syscall.RawConn) error {
	if err := setAckTimeout(raw, d.AckTimeout); err != nil {
		return err
	}
	return d.Buffers.Control(network, address, raw)
}

// setAckTimeout sets TCP_USER_TIMEOUT on a socket.
func setAckTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
