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

// script answers the calls of one connection.
type script func(conn net.Conn, calls *bufio.Reader)

// clientOf returns a client whose every connection is answered by answer, and a count of its connections.
func clientOf(t *testing.T, answer script) (*engine.Client, *atomic.Int64) {
	t.Helper()
	var group errgroup.Group
	var dials atomic.Int64
	transport := engine.NewTransport()
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		dials.Add(1)
		group.Go(func() error {
			defer func() { _ = far.Close() }()
			answer(far, bufio.NewReader(far))
			return nil
		})
		return near, nil
	}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = group.Wait()
	})
	client := engine.NewHTTPClient()
	client.Transport = transport
	return &engine.Client{Endpoint: "e1", Address: netip.MustParseAddrPort("127.0.0.1:7101"), HTTP: client}, &dials
}

// readCall reads one call to its end.
func readCall(calls *bufio.Reader) bool {
	request, err := http.ReadRequest(calls)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// reply writes an answer of a known length.
func reply(conn net.Conn, status, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func TestErrorCertainty(t *testing.T) {
	prompt := strings.Repeat("ledger ", 100_000)
	tests := map[string]struct {
		answer script
		code   engine.Code
		notRun bool
	}{
		"cut before the call is sent": {
			answer: func(net.Conn, *bufio.Reader) {},
			code:   engine.CodeCut,
			notRun: true,
		},
		"cut in the midst of the call": {
			answer: func(_ net.Conn, calls *bufio.Reader) {
				_, _ = io.CopyN(io.Discard, calls, 1000)
			},
			code:   engine.CodeCut,
			notRun: true,
		},
		"cut after the call": {
			answer: func(_ net.Conn, calls *bufio.Reader) {
				readCall(calls)
			},
			code: engine.CodeCut,
		},
		"cut in the midst of a refusal": {
			answer: func(conn net.Conn, calls *bufio.Reader) {
				readCall(calls)
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\n{\"error\":")
			},
			code: engine.CodeCut,
		},
		"typed refusal": {
			answer: func(conn net.Conn, calls *bufio.Reader) {
				readCall(calls)
				reply(conn, "503 Service Unavailable", `{"error":{"code":"no_memory","message":"full"}}`)
			},
			code:   engine.CodeNoMemory,
			notRun: true,
		},
		"error without a type": {
			answer: func(conn net.Conn, calls *bufio.Reader) {
				readCall(calls)
				reply(conn, "502 Bad Gateway", "<html>")
			},
			code: engine.CodeUnreadable,
		},
		"redirect": {
			answer: func(conn net.Conn, calls *bufio.Reader) {
				readCall(calls)
				_, _ = io.WriteString(conn, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n")
			},
			code: engine.CodeUnreadable,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, dials := clientOf(t, test.answer)
			_, err := client.Generate(t.Context(), engine.Request{AttemptID: "a", Prompt: prompt})
			if engine.CodeOf(err) != test.code || engine.CertainlyNotRun(err) != test.notRun {
				t.Errorf("got %v, certainly not run: %v", err, engine.CertainlyNotRun(err))
			}
			if dials.Load() != 1 {
				t.Errorf("%d connections were made", dials.Load())
			}
		})
	}
}

func TestRefusedConnectionIsCertain(t *testing.T) {
	client, _ := clientOf(t, nil)
	transport := engine.NewTransport()
	transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	client.HTTP.Transport = transport
	_, err := client.Generate(t.Context(), engine.Request{AttemptID: "a", Prompt: "x"})
	if engine.CodeOf(err) != engine.CodeUnreachable || !engine.CertainlyNotRun(err) {
		t.Errorf("got %v", err)
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("%v hides its cause", err)
	}
}

func TestNoReplayOnAReusedConnection(t *testing.T) {
	var calls atomic.Int64
	client, dials := clientOf(t, func(conn net.Conn, reader *bufio.Reader) {
		readCall(reader)
		calls.Add(1)
		reply(conn, "200 OK", "{}")
		if readCall(reader) {
			calls.Add(1)
		}
	})
	if err := client.Order(t.Context(), engine.Order{Kind: engine.OrderSetRole, Name: "1"}); err != nil {
		t.Fatal(err)
	}
	err := client.Order(t.Context(), engine.Order{Kind: engine.OrderSetRole, Name: "2"})
	if engine.CodeOf(err) != engine.CodeCut || engine.CertainlyNotRun(err) {
		t.Errorf("second order: %v", err)
	}
	if calls.Load() != 2 || dials.Load() != 1 {
		t.Errorf("%d calls on %d connections, want 2 on 1", calls.Load(), dials.Load())
	}
}

func TestStreamEndings(t *testing.T) {
	started := `data: {"type":"started","attempt_id":"a","incarnation":7}` + "\n\n"
	tests := map[string]struct {
		rest    string
		code    engine.Code
		crossed bool
		whole   bool
	}{
		"whole":           {rest: "data: {\"type\":\"done\",\"attempt_id\":\"a\"}\n\n", whole: true},
		"cut":             {rest: "", code: engine.CodeCut},
		"cut in a line":   {rest: "data: {\"type\":\"do", code: engine.CodeCut},
		"cut at its end":  {rest: "data: {\"type\":\"done\",\"attempt_id\":\"a\"}", code: engine.CodeCut},
		"unreadable":      {rest: "data: <html>\n\n", code: engine.CodeUnreadable},
		"ended by engine": {rest: "data: {\"type\":\"error\",\"attempt_id\":\"a\",\"error\":{\"code\":\"cancelled\"}}\n\n", code: engine.CodeCancelled},
		"crossed token":   {rest: "data: {\"type\":\"token\",\"attempt_id\":\"b\",\"text\":\"theirs\"}\n\n", crossed: true},
		"crossed end":     {rest: "data: {\"type\":\"done\",\"attempt_id\":\"b\"}\n\n", crossed: true},
		"no attempt":      {rest: "data: {\"type\":\"token\",\"text\":\"whose\"}\n\n", crossed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, _ := clientOf(t, func(conn net.Conn, calls *bufio.Reader) {
				readCall(calls)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+started+test.rest)
			})
			stream, err := client.Generate(t.Context(), engine.Request{AttemptID: "a", Prompt: "x"})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = stream.Close() }()
			event, err := stream.Next()
			if err != nil || event.Type != engine.EventStarted || event.Incarnation != 7 {
				t.Fatalf("first event is %+v, %v", event, err)
			}
			event, err = stream.Next()
			if test.whole {
				if err != nil || event.Type != engine.EventDone {
					t.Errorf("second event is %+v, %v", event, err)
				}
				_, err = stream.Next()
			}
			if errors.Is(err, io.EOF) != test.whole || errors.Is(err, engine.ErrAttemptMismatch) != test.crossed {
				t.Errorf("ended with %v", err)
			}
			if engine.CodeOf(err) != test.code || engine.CertainlyNotRun(err) {
				t.Errorf("ended with %v, want code %q", err, test.code)
			}
			if _, again := stream.Next(); !errors.Is(again, err) {
				t.Errorf("next error is %v, want the first, %v", again, err)
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
				t.Fatalf("%d prefixes, want %d", len(prefixes), test.want)
			}
			for _, prefix := range prefixes {
				if want := engine.DigestText(engine.Segment(prompt, 0, prefix.Tokens)); prefix.Digest != want {
					t.Errorf("digest of %d tokens is %s, want %s", prefix.Tokens, prefix.Digest, want)
				}
			}
		})
	}
}
