// Package loopback gives tests addresses on this machine.
package loopback

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// firstPort and ports make up a range below those that the system gives to outgoing connections, so that none of
	// these takes a port before its server listens.
	firstPort = 18_000
	ports     = 12_000
)

// next counts the ports that were given; test programs that run side by side begin at different places.
var next atomic.Int64

func init() {
	next.Store(rand.Int64N(ports))
}

// FreeAddress returns an address whose port nothing listens at, another one at each call.
func FreeAddress(ctx context.Context) (netip.AddrPort, error) {
	var config net.ListenConfig
	for range ports {
		port := firstPort + uint16(next.Add(1)%ports)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		listener, err := config.Listen(ctx, "tcp", address.String())
		if err != nil {
			continue
		}
		return address, errors.Wrap(listener.Close(), "free address")
	}
	return netip.AddrPort{}, errors.New("no port is free")
}
