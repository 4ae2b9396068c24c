package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// dialTimeout bounds the time to connect to another entry.
	dialTimeout = time.Second
	// idleConnectionTime is how long an unused connection is kept.
	idleConnectionTime = time.Minute
	// idleConnectionsPerPeer bounds the unused connections to one entry.
	idleConnectionsPerPeer = 16
	// idleGossipPerPeer bounds the unused connections for gossip to one entry.
	idleGossipPerPeer = 2
	// idleGossip bounds the unused connections for gossip to all entries.
	idleGossip = 64
)

// pool keeps unused connections.
type pool = drpcpool.Pool[netip.AddrPort, drpcpool.Conn]

// Client holds the connections to other entries; its zero value is not ready, see NewClient. A connection carries one
// call at a time, so that gossip has connections of its own that no waiting reservation holds.
type Client struct {
	// Dial connects to another entry; nil stands for TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	calls  *pool
	gossip *pool
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		calls: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnectionTime,
			KeyCapacity: idleConnectionsPerPeer,
		}),
		gossip: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnectionTime,
			Capacity:    idleGossip,
			KeyCapacity: idleGossipPerPeer,
		}),
	}
}

// Close closes all connections that are not in use.
func (c *Client) Close() error {
	if err := c.calls.Close(); err != nil {
		return errors.Wrap(err, "peer client")
	}
	return errors.Wrap(c.gossip.Close(), "peer client")
}

// conn returns a connection for calls that may wait; it dials when its first call is made.
func (c *Client) conn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return c.calls.Get(ctx, address, c.connect)
}

// gossipConn returns a connection for calls that are answered at once.
func (c *Client) gossipConn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return c.gossip.Get(ctx, address, c.connect)
}

// connect connects to another entry.
func (c *Client) connect(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	return drpcconn.New(conn), nil
}

// dialTCP connects by TCP.
func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address.String())
}
