package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcwire"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 600
	// settleTime is how long a crowd that is held up may send before ordinary clients come. It is longer than the time after
	// which a silent connection makes room, and shorter than that for which callers may hold their connections.
	settleTime = 5 * time.Second
)

// sender sends what one connection of a crowd sends. Its error, that of the connection, is ignored: the process may close
// the connection at any time.
type sender func(conn io.Writer) error

// head returns the head of a request with the given first line and further header lines.
func head(first string, lines ...string) string {
	return first + " HTTP/1.1\r\nHost: app.example\r\n" + strings.Join(append(lines, "", ""), "\r\n")
}

// withLength sends a body with its length, of which it sends only a part.
func withLength(head func(line string) string, length, sent int64) sender {
	return func(conn io.Writer) error {
		if _, err := io.WriteString(conn, head(fmt.Sprintf("Content-Length: %d", length))); err != nil {
			return err
		}
		_, err := io.CopyN(conn, endless{}, sent)
		return err
	}
}

// inChunks sends the first part of a body in chunks of a size.
func inChunks(head func(line string) string, size, sent int) sender {
	return func(conn io.Writer) error {
		out := bufio.NewWriterSize(conn, 32<<10)
		if _, err := io.WriteString(out, head("Transfer-Encoding: chunked")); err != nil {
			return err
		}
		chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
		for left := sent; left > 0; left -= size {
			if _, err := io.WriteString(out, chunk); err != nil {
				return err
			}
		}
		return out.Flush()
	}
}

// manyFields sends a part of a head: short fields with different names.
func manyFields(length int) sender {
	return func(conn io.Writer) error {
		var head strings.Builder
		head.WriteString("GET /r/x HTTP/1.1\r\nHost: app.example\r\n")
		for i := 0; head.Len() < length; i++ {
			_, _ = fmt.Fprintf(&head, "%x:\r\n", i)
		}
		_, err := io.WriteString(conn, head.String())
		return err
	}
}

// text sends a text.
func text(content string) sender {
	return func(conn io.Writer) error {
		_, err := io.WriteString(conn, content)
		return err
	}
}

// endless is a reader of letters without end.
type endless struct{}

// Read fills b.
func (endless) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

// gather opens the connections of a crowd to an address and returns once each has sent everything or was closed, or after
// settleTime. The connections stay open until leave is called; those that have not sent everything go on.
func gather(t *testing.T, address netip.AddrPort, send sender) (leave func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	var sending sync.WaitGroup
	for range crowdSize {
		sending.Add(1)
		group.Go(func() error {
			stopSending := sync.OnceFunc(sending.Done)
			defer stopSending()
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
			if err != nil {
				return nil
			}
			defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
			defer func() { _ = conn.Close() }()
			_ = send(conn)
			stopSending()
			_, _ = io.Copy(io.Discard, conn)
			// A client that doesn't behave keeps the connection after the other side has closed it.
			<-ctx.Done()
			return nil
		})
	}
	settled := make(chan struct{})
	group.Go(func() error {
		sending.Wait()
		close(settled)
		return nil
	})
	select {
	case <-settled:
	case <-time.After(settleTime):
	}
	return sync.OnceFunc(func() {
		cancel()
		_ = group.Wait()
	})
}

// endure lets a crowd come twice to a port of a process and measures the process meanwhile. expectService is called while
// the crowd is there and after it has gone.
func endure(p *process, port netip.AddrPort, send sender, expectService func(when string)) {
	p.t.Helper()
	before := p.usage().descriptors
	ctx, cancel := context.WithCancel(p.t.Context())
	var group errgroup.Group
	group.Go(func() error {
		p.measure(ctx)
		return nil
	})
	for _, round := range []string{"first", "second"} {
		leave := gather(p.t, port, send)
		defer leave()
		expectService("beside the " + round + " crowd")
		leave()
		waitFor(p.t, "the connections are closed", func() bool { return p.usage().descriptors <= before+crowdSize/20 })
		expectService("after the " + round + " crowd")
	}
	cancel()
	_ = group.Wait()
}

// exchange sends one request on a connection of its own and returns the status and body of the response, or status 0.
func exchange(ctx context.Context, address netip.AddrPort, request string) (status int, body string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	if err != nil {
		return 0, ""
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, ""
	}
	return read(conn)
}

// readStatus returns the status of the response on a connection, or 0.
func readStatus(conn net.Conn) int {
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	status, _ := read(conn)
	return status
}

// read returns the status and body of the response on a connection, or status 0.
func read(conn net.Conn) (status int, body string) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// unfinishedMessage returns the beginning of a DRPC message between entries: frames of a message that doesn't end.
func unfinishedMessage(length int) string {
	const frameBytes = 1 << 10
	var message strings.Builder
	for message.Len() < length {
		frame := drpcwire.Frame{
			Data: make([]byte, frameBytes), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke,
		}
		message.Write(drpcwire.AppendFrame(nil, frame))
	}
	return message.String()
}
