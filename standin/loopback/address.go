// Package loopback provides tests with free loopback addresses.
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
	// firstPort and portCount define a range below the system's ephemeral ports, so that no outgoing connection occupies
	// a port before its server listens.
	firstPort = 18_000
	portCount = 12_000
)

// lastOffset is the offset of the last tried port in the range. It starts at random, so that concurrent test
// processes don't try the same ports.
var lastOffset atomic.Int64

func init() {
	lastOffset.Store(rand.Int64N(portCount))
}

// FreeAddress returns a loopback address that nothing listens on, or an error if no port of the range is free. Each
// call tries the next ports of the range, so that an address is returned again only after the whole range has been
// tried.
func FreeAddress(ctx context.Context) (netip.AddrPort, error) {
	var config net.ListenConfig
	for range portCount {
		port := firstPort + uint16(lastOffset.Add(1)%portCount)
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		listener, err := config.Listen(ctx, "tcp", address.String())
		if err != nil {
			continue
		}
		return address, errors.Wrap(listener.Close(), "free address")
	}
	return netip.AddrPort{}, errors.New("no port is free")
}
