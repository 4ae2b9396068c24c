package tcp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers bounds what the kernel holds for a connection, in bytes in each direction; 0 leaves a buffer to the kernel, which
// lets it grow to some megabytes. The kernel reserves twice as much for its own bookkeeping.
type Buffers struct {
	// Read bounds the bytes that were received and not yet read.
	Read int
	// Write bounds the bytes that were written and not yet acknowledged.
	Write int
}

// Control sets the buffers of a new socket. It is a Control function of net.Dialer and of net.ListenConfig, since buffers
// must be set before the connection is opened; accepted connections have those of their listener.
func (b Buffers) Control(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		for option, size := range map[int]int{unix.SO_RCVBUF: b.Read, unix.SO_SNDBUF: b.Write} {
			if size > 0 && setErr == nil {
				setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, size)
			}
		}
	})
	if err != nil {
		return err
	}
	return setErr
}
