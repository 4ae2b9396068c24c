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

// cuttingServer answers the first request of each connection and cuts the connection in the second
// one, after it has run it.
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

// handle runs the requests of one connection.
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

// start returns a running server and its address.
func start(t *testing.T) (*cuttingServer, netip.AddrPort) {
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

// TestNothingIsReplayed sends a request on a connection that the peer cuts after running it. The
// plain case shows that the peer provokes net/http's own replay.
func TestNothingIsReplayed(t *testing.T) {
	plain := func(ctx context.Context, client *http.Client, target string) error {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader("{}"))
		if err != nil {
			return err
		}
		request.Header.Set("Idempotency-Key", "k")
		answer, err := client.Do(request)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return err
		}
		return answer.Body.Close()
	}
	once := func(ctx context.Context, client *http.Client, target string) error {
		_, err := jsonhttp.Do(ctx, client, http.MethodPost, target, []byte("{}"))
		return err
	}
	tests := map[string]struct {
		client *http.Client
		send   func(context.Context, *http.Client, string) error
		runs   int64
	}{
		"plain net/http replays": {client: &http.Client{Transport: &http.Transport{}}, send: plain, runs: 3},
		"pooled":                 {client: jsonhttp.NewPooled(), send: once, runs: 2},
		"fresh":                  {client: jsonhttp.NewUnpooled(), send: once, runs: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, address := start(t)
			defer test.client.CloseIdleConnections()
			if err := test.send(t.Context(), test.client, jsonhttp.URL(address, "/first", nil)); err != nil {
				t.Fatalf("first request: %v", err)
			}
			err := test.send(t.Context(), test.client, jsonhttp.URL(address, "/cut", nil))
			if err == nil {
				t.Error("cut request got an answer")
			}
			if runs := s.runs.Load(); runs != test.runs {
				t.Errorf("server ran %d requests, want %d", runs, test.runs)
			}
		})
	}
}

// TestRedirectIsNotFollowed checks that a redirect that keeps the method doesn't send the body again.
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
		t.Errorf("status %d after %d runs", response.Status, runs.Load())
	}
}
