package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// limitedPair returns a client connection and the one that a listener has accepted for it, or nil if there is no room.
func limitedPair(l *LimitListener) (client net.Conn, accepted *LimitedConn) {
	client, server := net.Pipe()
	return client, l.admit(server)
}

// TestNewConnectionsFindRoom fills a listener with connections. Another one must take the place of the one that has been
// silent for longest and is not busy, and none if all were active a moment ago.
func TestNewConnectionsFindRoom(t *testing.T) {
	const silence = minSilence + 50*time.Millisecond
	tests := map[string]struct {
		prepare func(conns []*LimitedConn)
		// evicted is the number of the connection that makes room, or -1 if the new one is refused.
		evicted int
	}{
		"longest silent": {func(conns []*LimitedConn) {
			conns[0].touch()
			time.Sleep(silence)
			conns[2].touch()
		}, 1},
		"busy": {func(conns []*LimitedConn) {
			conns[0].SetBusy(true)
			conns[1].SetBusy(true)
			time.Sleep(silence)
		}, 2},
		"all active": {func([]*LimitedConn) {}, -1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := &LimitListener{MaxConns: 3}
			var conns []*LimitedConn
			for range l.MaxConns {
				client, conn := limitedPair(l)
				defer func() { _ = client.Close() }()
				conns = append(conns, conn)
				time.Sleep(time.Millisecond)
			}
			test.prepare(conns)
			client, admitted := limitedPair(l)
			defer func() { _ = client.Close() }()
			if got := admitted != nil; got != (test.evicted >= 0) {
				t.Errorf("admitted %v, want %v", got, test.evicted >= 0)
			}
			for i, conn := range conns {
				if evicted := conn.evictedFor(time.Now()) >= 0; evicted != (i == test.evicted) {
					t.Errorf("connection %d was evicted: %v, want %v", i, evicted, i == test.evicted)
				}
			}
			if test.evicted < 0 {
				return
			}
			// A server may set another deadline for the next request.
			_ = conns[test.evicted].SetReadDeadline(time.Time{})
			if _, err := io.ReadFull(conns[test.evicted], make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("a read of the evicted connection got %v, want a timeout", err)
			}
		})
	}
}
