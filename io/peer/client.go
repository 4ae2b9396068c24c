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
)

// Client holds the connections to other entries; its zero value is not ready, see NewClient.
type Client struct {
	pool *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
		Expiration:  idleConnectionTime,
		KeyCapacity: idleConnectionsPerPeer,
	})}
}

// Close closes all connections that are not in use.
func (c *Client) Close() error {
	return errors.Wrap(c.pool.Close(), "peer client")
}

// conn returns a connection that dials when its first call is made.
func (c *Client) conn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return c.pool.Get(ctx, address, dial)
}

// dial connects to another entry.
func dial(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrapf(err, "peer %s", address)
	}
	return drpcconn.New(conn), nil
}
