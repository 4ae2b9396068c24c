// Package tcp connects to peers so that one that has fallen silent is noticed.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Dialer connects to peers. Its fields are set before the first connection.
type Dialer struct {
	// Timeout bounds the time to connect.
	Timeout time.Duration
	// IdleTimeout is how long sent bytes may stay unacknowledged, and about how long an idle peer may stay away.
	IdleTimeout time.Duration
}

// keepAliveProbes is the number of probes that must go unanswered before a peer counts as away.
const keepAliveProbes = 2

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     d.IdleTimeout / keepAliveProbes,
			Interval: d.IdleTimeout / keepAliveProbes,
			Count:    keepAliveProbes,
		},
		Control: d.control,
	}
	return dialer.DialContext(ctx, network, address)
}

// control sets the options of a new socket.
func (d *Dialer) control(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.IdleTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
