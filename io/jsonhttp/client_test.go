package jsonhttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/io/jsonhttp"
)

// cuttingServer counts the requests that it executes. It closes the connection instead of responding to a
// request for /cut, except if that is the first request of all.
type cuttingServer struct {
	listener net.Listener
	runs     atomic.Int64
}

// serve accepts connections until the listener closes.
func (s *cuttingServer) serve(group *errgroup.Group) error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		group.Go(func() error { return s.handle(conn) })
	}
}

// handle executes up to two requests of one connection.
func (s *cuttingServer) handle(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 2 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return nil
		}
		_ = request.Body.Close()
		if s.runs.Add(1) > 1 && request.URL.Path == "/cut" {
			return nil
		}
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")); err != nil {
			return nil
		}
	}
	return nil
}

// startServer starts a cuttingServer and returns it with its address.
func startServer(t *testing.T) (*cuttingServer, netip.AddrPort) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &cuttingServer{listener: listener}
	var group errgroup.Group
	group.Go(func() error { return s.serve(&group) })
	t.Cleanup(func() {
		_ = listener.Close()
		_ = group.Wait()
	})
	return s, netip.MustParseAddrPort(listener.Addr().String())
}

// TestNothingIsReplayed guards against a request that is executed twice because net/http replays it on a new
// connection after the server has closed a reused one. The plain case shows that net/http does so by default.
func TestNothingIsReplayed(t *testing.T) {
	plain := func(ctx context.Context, client *http.Client, target string) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("{}"))
		if err != nil {
			return err
		}
		request.Header.Set("Idempotency-Key", "k")
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		return response.Body.Close()
	}
	throughDo := func(ctx context.Context, client *http.Client, target string) error {
		_, err := jsonhttp.Do(ctx, client, http.MethodPost, target, []byte("{}"))
		return err
	}
	tests := map[string]struct {
		client *http.Client
		send   func(context.Context, *http.Client, string) error
		runs   int64
	}{
		"plain net/http replays": {client: &http.Client{Transport: &http.Transport{}}, send: plain, runs: 3},
		"pooled":                 {client: jsonhttp.NewPooled(), send: throughDo, runs: 2},
		"fresh":                  {client: jsonhttp.NewUnpooled(), send: throughDo, runs: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, address := startServer(t)
			defer test.client.CloseIdleConnections()
			if err := test.send(t.Context(), test.client, jsonhttp.URL(address, "/first", nil)); err != nil {
				t.Fatalf("first request: %v", err)
			}
			err := test.send(t.Context(), test.client, jsonhttp.URL(address, "/cut", nil))
			if err == nil {
				t.Error("got a response to the cut request, want an error")
			}
			if runs := s.runs.Load(); runs != test.runs {
				t.Errorf("server executed %d requests, want %d", runs, test.runs)
			}
		})
	}
}

// TestRedirectIsNotFollowed checks that a redirect that preserves the method does not send the body again.
func TestRedirectIsNotFollowed(t *testing.T) {
	var runs atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	})}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(listener) })
	defer func() {
		_ = server.Close()
		_ = group.Wait()
	}()
	address := netip.MustParseAddrPort(listener.Addr().String())
	response, err := jsonhttp.Post(t.Context(), jsonhttp.NewUnpooled(), jsonhttp.URL(address, "/", nil), struct{}{})
	if err != nil {
		t.Fatal(err)
	}
	if response.Status != http.StatusTemporaryRedirect || runs.Load() != 1 {
		t.Errorf("got status %d after %d requests, want status 307 after 1", response.Status, runs.Load())
	}
}
