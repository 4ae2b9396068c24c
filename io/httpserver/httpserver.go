// Package httpserver limits what the clients of an HTTP server can make the process hold.
package httpserver

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/io/tcp"
)

// headCost is the memory of a request head: its bytes, twice while a line grows, and about 200 bytes for each field. Usual
// heads are free.
var headCost = tcp.MessageCost{FreeBytes: 16 << 10, PerByte: 2, PerLine: 256}

// Limits bounds the connections of a server. Its fields must be set before use.
type Limits struct {
	// MaxConns is the maximum number of connections; 0 means no limit.
	MaxConns int
	// HeadMemory bounds the memory of the heads of all requests together, in bytes; nil means no bound.
	HeadMemory *semaphore.Weighted
	// Buffers bounds what the kernel holds for each connection.
	Buffers tcp.Buffers
}

// Listen listens on an address for a server that Track prepares.
func (l Limits) Listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: l.Buffers.Control}
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil || l.MaxConns <= 0 {
		return listener, err
	}
	return &tcp.LimitListener{Listener: listener, MaxConns: l.MaxConns, MessageMemory: l.HeadMemory, MessageCost: headCost}, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Track makes a server tell the connections of a listener of Listen what their clients do. A connection is busy while its
// request is served, but while a body arrives only after BodyRead.
func Track(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := connOf(r.Context()); conn != nil {
			conn.EndMessage(headBytes(r.Header))
			conn.SetBusy(r.Body == nil || r.Body == http.NoBody)
		}
		next.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if limited, ok := conn.(*tcp.LimitedConn); ok {
			return context.WithValue(ctx, connKey{}, limited)
		}
		return ctx
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if limited, ok := conn.(*tcp.LimitedConn); ok && state == http.StateIdle {
			limited.SetBusy(false)
			limited.StartMessage()
		}
	}
}

// headBytes returns the memory that a head takes.
func headBytes(header http.Header) int64 {
	var sum int64
	for name, values := range header {
		for _, value := range values {
			sum += int64(len(name)+len(value))*headCost.PerByte + headCost.PerLine
		}
	}
	return sum
}

// BodyRead records that the body of the request with the given context was read completely.
func BodyRead(ctx context.Context) {
	if conn := connOf(ctx); conn != nil {
		conn.SetBusy(true)
	}
}

// connOf returns the connection of the request with the given context, or nil.
func connOf(ctx context.Context) *tcp.LimitedConn {
	conn, _ := ctx.Value(connKey{}).(*tcp.LimitedConn)
	return conn
}
