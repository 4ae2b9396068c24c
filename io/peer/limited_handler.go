package peer

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcctx"

	"wisteriadyke/io/tcp"
)

const (
	// serverReadBytes is the receive buffer of a connection of another entry.
	serverReadBytes = 16 << 10
	// serverFreeBytes is the memory of an incomplete message up to which it takes nothing of Server.Memory.
	serverFreeBytes = 32 << 10
)

// limitedHandler tells the connections of a tcp.LimitListener what their clients do: one is busy from the arrival of a
// message until the call has ended or waits for the next message.
type limitedHandler struct {
	drpc.Handler
}

// HandleRPC handles one call.
func (h limitedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	conn := limitedConnOf(stream.Context())
	if conn == nil {
		return h.Handler.HandleRPC(stream, rpc)
	}
	defer func() {
		conn.StartMessage()
		conn.SetBusy(false)
	}()
	return h.Handler.HandleRPC(limitedStream{Stream: stream, conn: conn}, rpc)
}

// limitedStream is the stream of a call on a limited connection.
type limitedStream struct {
	drpc.Stream
	conn *tcp.LimitedConn
}

// MsgRecv receives a message.
func (s limitedStream) MsgRecv(message drpc.Message, encoding drpc.Encoding) error {
	s.conn.SetBusy(false)
	if err := s.Stream.MsgRecv(message, encoding); err != nil {
		return err
	}
	s.conn.StartMessage()
	s.conn.SetBusy(true)
	return nil
}

// limitedConnOf returns the connection of a call, or nil if it is not limited.
func limitedConnOf(ctx context.Context) *tcp.LimitedConn {
	transport, _ := drpcctx.Transport(ctx)
	conn, _ := transport.(*tcp.LimitedConn)
	return conn
}
