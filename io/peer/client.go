package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// dialTimeout bounds the time to establish a TCP connection to another entry.
	dialTimeout = time.Second
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = 15 * time.Second
	// maxIdleBlockingConnsPerPeer bounds the idle connections to one entry for calls that may block.
	maxIdleBlockingConnsPerPeer = 16
	// maxIdleShortConnsPerPeer bounds the idle connections to one entry for short calls.
	maxIdleShortConnsPerPeer = 2
	// maxIdleShortConns bounds the idle connections to all entries together for short calls.
	maxIdleShortConns = 64
)

// pool holds idle connections by address.
type pool = drpcpool.Pool[netip.AddrPort, drpcpool.Conn]

// Client calls other entries over pooled connections; create it with NewClient. A connection carries one call at a
// time, so short calls, which are answered at once, have a separate pool: no waiting reservation can occupy its
// connections.
type Client struct {
	// Dial connects to another entry; nil means TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Memory bounds the memory for incomplete messages of all other entries together; nil means no bound.
	Memory *semaphore.Weighted

	blockingCalls *pool
	shortCalls    *pool
}

// NewClient returns a client with empty connection pools.
func NewClient() *Client {
	return &Client{
		blockingCalls: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnTimeout,
			KeyCapacity: maxIdleBlockingConnsPerPeer,
		}),
		shortCalls: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
			Expiration:  idleConnTimeout,
			Capacity:    maxIdleShortConns,
			KeyCapacity: maxIdleShortConnsPerPeer,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	if err := c.blockingCalls.Close(); err != nil {
		return errors.Wrap(err, "peer client")
	}
	return errors.Wrap(c.shortCalls.Close(), "peer client")
}

// blockingCallConn returns a connection for calls that may block. Each call uses an idle pooled connection, or dials if
// there is none.
func (c *Client) blockingCallConn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return c.blockingCalls.Get(ctx, address, c.connect)
}

// shortCallConn returns a connection for short calls. Each call uses an idle pooled connection, or dials if there is
// none.
func (c *Client) shortCallConn(ctx context.Context, address netip.AddrPort) drpc.Conn {
	return c.shortCalls.Get(ctx, address, c.connect)
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
	return drpcconn.New(newBoundedConn(conn, c.Memory)), nil
}

// dialTCP dials an address over TCP.
func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address.String())
}
