package tcp

import (
	"net"
	"time"
)

// Listener accepts TCP connections that fail once the peer is silent for too long. Its fields must be set before use.
type Listener struct {
	net.Listener
	// AckTimeout is how long sent bytes may remain unacknowledged (TCP_USER_TIMEOUT).
	AckTimeout time.Duration
}

// Accept waits for the next connection. One whose timeout can't be set is already closed, so that it fails by itself.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = setAckTimeout(raw, l.AckTimeout)
		}
	}
	return conn, nil
}
