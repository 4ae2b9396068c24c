package engine_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/io/engine"
)

// connHandler serves the requests of one connection.
type connHandler func(conn net.Conn, reader *bufio.Reader)

// newTestClient returns a client whose connections are served by handle, and the counter of its connections.
func newTestClient(t *testing.T, handle connHandler) (*engine.Client, *atomic.Int64) {
	t.Helper()
	var group errgroup.Group
	var dials atomic.Int64
	transport := engine.NewTransport()
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		dials.Add(1)
		group.Go(func() error {
			defer func() { _ = serverConn.Close() }()
			handle(serverConn, bufio.NewReader(serverConn))
			return nil
		})
		return clientConn, nil
	}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = group.Wait()
	})
	client := engine.NewHTTPClient()
	client.Transport = transport
	return &engine.Client{Endpoint: "e1", Address: netip.MustParseAddrPort("127.0.0.1:7101"), HTTP: client}, &dials
}

// readRequest reads one request with its body and reports whether it was complete.
func readRequest(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// writeResponse writes a response with a Content-Length.
func writeResponse(conn net.Conn, status, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func TestErrorCertainty(t *testing.T) {
	prompt := strings.Repeat("ledger ", 100_000)
	tests := map[string]struct {
		handle connHandler
		code   engine.Code
		notRun bool
	}{
		"cut before the call is sent": {
			handle: func(net.Conn, *bufio.Reader) {},
			code:   engine.CodeConnectionLost,
			notRun: true,
		},
		"cut in the midst of the call": {
			handle: func(_ net.Conn, reader *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, reader, 1000)
			},
			code:   engine.CodeConnectionLost,
			notRun: true,
		},
		"cut after the call": {
			handle: func(_ net.Conn, reader *bufio.Reader) {
				readRequest(reader)
			},
			code: engine.CodeConnectionLost,
		},
		"cut in the midst of a refusal": {
			handle: func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\n{\"error\":")
			},
			code: engine.CodeConnectionLost,
		},
		"typed refusal": {
			handle: func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				writeResponse(conn, "503 Service Unavailable", `{"error":{"code":"no_memory","message":"full"}}`)
			},
			code:   engine.CodeNoMemory,
			notRun: true,
		},
		"error without a type": {
			handle: func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				writeResponse(conn, "502 Bad Gateway", "<html>")
			},
			code: engine.CodeMalformedResponse,
		},
		"redirect": {
			handle: func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n")
			},
			code: engine.CodeMalformedResponse,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, dials := newTestClient(t, test.handle)
			_, err := client.Generate(t.Context(), engine.Request{AttemptID: "a", Prompt: prompt})
			if engine.CodeOf(err) != test.code || engine.CertainlyNotRun(err) != test.notRun {
				t.Errorf("got error %v, certainly not run %t", err, engine.CertainlyNotRun(err))
			}
			if dials.Load() != 1 {
				t.Errorf("got %d connections, want 1", dials.Load())
			}
		})
	}
}

func TestRefusedConnectionIsCertain(t *testing.T) {
	client, _ := newTestClient(t, nil)
	transport := engine.NewTransport()
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	client.HTTP.Transport = transport
	_, err := client.Generate(t.Context(), engine.Request{AttemptID: "a", Prompt: "x"})
	if engine.CodeOf(err) != engine.CodeUnreachable || !engine.CertainlyNotRun(err) {
		t.Errorf("got error %v, want unreachable and certainly not run", err)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v does not wrap its cause", err)
	}
}

func TestNoReplayOnAReusedConnection(t *testing.T) {
	var calls atomic.Int64
	client, dials := newTestClient(t, func(conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		calls.Add(1)
		writeResponse(conn, "200 OK", "{}")
		if readRequest(reader) {
			calls.Add(1)
		}
	})
	if err := client.Order(t.Context(), engine.Order{Kind: engine.OrderSetRole, Name: "1"}); err != nil {
		t.Fatal(err)
	}
	err := client.Order(t.Context(), engine.Order{Kind: engine.OrderSetRole, Name: "2"})
	if engine.CodeOf(err) != engine.CodeConnectionLost || engine.CertainlyNotRun(err) {
		t.Errorf("second order: got error %v, want a lost connection and an uncertain outcome", err)
	}
	if calls.Load() != 2 || dials.Load() != 1 {
		t.Errorf("got %d calls on %d connections, want 2 on 1", calls.Load(), dials.Load())
	}
}

func TestStreamEndings(t *testing.T) {
	started := `data: {"type":"started","attempt_id":"a","incarnation":7}` + "\n\n"
	tests := map[string]struct {
		rest     string
		code     engine.Code
		mismatch bool
		complete bool
	}{
		"whole":           {rest: "data: {\"type\":\"done\",\"attempt_id\":\"a\"}\n\n", complete: true},
		"cut":             {rest: "", code: engine.CodeConnectionLost},
		"cut in a line":   {rest: "data: {\"type\":\"do", code: engine.CodeConnectionLost},
		"cut at its end":  {rest: "data: {\"type\":\"done\",\"attempt_id\":\"a\"}", code: engine.CodeConnectionLost},
		"unreadable":      {rest: "data: <html>\n\n", code: engine.CodeMalformedResponse},
		"ended by engine": {rest: "data: {\"type\":\"error\",\"attempt_id\":\"a\",\"error\":{\"code\":\"cancelled\"}}\n\n", code: engine.CodeCancelled},
		"crossed token":   {rest: "data: {\"type\":\"token\",\"attempt_id\":\"b\",\"text\":\"theirs\"}\n\n", mismatch: true},
		"crossed end":     {rest: "data: {\"type\":\"done\",\"attempt_id\":\"b\"}\n\n", mismatch: true},
		"no attempt":      {rest: "data: {\"type\":\"token\",\"text\":\"whose\"}\n\n", mismatch: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, _ := newTestClient(t, func(conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+started+test.rest)
			})
			stream, err := client.Generate(t.Context(), engine.Request{AttemptID: "a", Prompt: "x"})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = stream.Close() }()
			event, err := stream.Next()
			if err != nil || event.Type != engine.EventStarted || event.Incarnation != 7 {
				t.Fatalf("first event: got %+v, error %v", event, err)
			}
			event, err = stream.Next()
			if test.complete {
				if err != nil || event.Type != engine.EventDone {
					t.Errorf("second event: got %+v, error %v", event, err)
				}
				_, err = stream.Next()
			}
			if errors.Is(err, io.EOF) != test.complete || errors.Is(err, engine.ErrAttemptMismatch) != test.mismatch {
				t.Errorf("stream ended with error %v", err)
			}
			if engine.CodeOf(err) != test.code || engine.CertainlyNotRun(err) {
				t.Errorf("stream ended with error %v, want code %q", err, test.code)
			}
			if _, nextErr := stream.Next(); !errors.Is(nextErr, err) {
				t.Errorf("next error: got %v, want the first error %v", nextErr, err)
			}
		})
	}
}

func TestPrefixes(t *testing.T) {
	tests := map[string]struct {
		bytes int
		want  int
	}{
		"shorter than a block": {bytes: 1023 * engine.BytesPerToken, want: 0},
		"a block":              {bytes: 1024 * engine.BytesPerToken, want: 1},
		"rounded up":           {bytes: 2048*engine.BytesPerToken - 3, want: 2},
		"million tokens":       {bytes: 1_000_000 * engine.BytesPerToken, want: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			prompt := strings.Repeat("x", test.bytes)
			prefixes := engine.Prefixes(prompt)
			if len(prefixes) != test.want {
				t.Fatalf("got %d prefixes, want %d", len(prefixes), test.want)
			}
			for _, prefix := range prefixes {
				if want := engine.DigestText(engine.Segment(prompt, 0, prefix.Tokens)); prefix.Digest != want {
					t.Errorf("digest of %d tokens: got %s, want %s", prefix.Tokens, prefix.Digest, want)
				}
			}
		})
	}
}
