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
	// dialTimeout bounds the time to establish a TCP connection to another entry.
	dialTimeout = time.Second
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = time.Minute
	// maxIdleConnsPerPeer bounds the idle connections to one entry for calls that may block.
	maxIdleConnsPerPeer = 16
	// maxIdleGossipConnsPerPeer bounds the idle gossip connections to one entry.
	maxIdleGossipConnsPerPeer = 2
	// maxIdleGossipConns bounds the idle gossip connections to all entries together.
	maxIdleGossipConns = 64
)

// pool holds idle connections by address.
type pool = drpcpool.Pool[netip.AddrPort, drpcpool.Conn]

// Client calls other entries over pooled connections; create it with NewClient. A connection carries one call at a
// time, so calls that are answered at once have a separate pool whose connections no blocked reservation can occupy.
type Client struct {
	// Dial connects to another entry; nil means TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	calls  *pool
	gossip *pool
}

// NewClient returns a client with empty connection pools.
func NewClient() *Client {
	return &Client{
		calls: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnTimeout,
			KeyCapacity: maxIdleConnsPerPeer,
		}),
		gossip: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnTimeout,
			Capacity:    maxIdleGossipConns,
			KeyCapacity: maxIdleGossipConnsPerPeer,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	if err := c.calls.Close(); err != nil {
		return errors.Wrap(err, "peer client")
	}
	return errors.Wrap(c.gossip.Close(), "peer client")
}

// conn returns a connection for calls that may block; it dials on its first call.
func (c *Client) conn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return c.calls.Get(ctx, address, c.connect)
}

// gossipConn returns a connection for calls that are answered at once; it dials on its first call.
func (c *Client) gossipConn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return c.gossip.Get(ctx, address, c.connect)
}

// connect dials another entry.
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

// dialTCP dials an address over TCP.
func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address.String())
}
