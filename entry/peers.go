package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/ownership"
	"wisteriadyke/io/peer"
)

// handoverTime bounds how long a leaving entry waits for others to claim its endpoints.
const handoverTime = 10 * time.Second

// peers are the parts by which the entries act together.
type peers struct {
	lease      *membership.Lease
	membership *membership.Controller
	ownership  *ownership.Controller
	spread     *gossip.Controller
	directory  *peer.Directory
	server     *peer.Server
	gate       *ownership.LeaseGuard
}

// buildPeers makes the parts by which the entries act together.
func (p *Process) buildPeers() {
	self := fleet.Entry{
		ID:      p.Settings.Entry,
		Zone:    p.Settings.Zone,
		Address: p.Settings.PeerAddress,
		State:   fleet.StateLive,
	}
	lease := &membership.Lease{}
	p.peers.lease = lease
	p.peers.membership = &membership.Controller{
		Entry:     self,
		Seeds:     p.Settings.Peers,
		State:     p.board,
		Transport: p.client,
		Lease:     lease,
		Clock:     &p.timeline.Clock,
		Random:    newRandom(),
		Log:       p.Log,
	}
	p.peers.ownership = &ownership.Controller{
		Entry:     self.ID,
		Zone:      self.Zone,
		State:     p.board,
		Pool:      p.pool,
		Lease:     lease,
		Clock:     &p.timeline.Clock,
		Transport: p.client,
		Log:       p.Log,
	}
	p.peers.spread = &gossip.Controller{
		Entry:     self,
		Store:     p.store,
		State:     p.board,
		Seeds:     p.Settings.Peers,
		Transport: p.client,
		Random:    newRandom(),
	}
	p.peers.directory = &peer.Directory{Entry: self.ID, Zone: self.Zone, State: p.board, Store: p.store, Lease: lease}
	p.peers.gate = &ownership.LeaseGuard{Owner: p.pool, Entry: self.ID, Active: p.peers.ownership.Active}
	p.peers.server = &peer.Server{
		Address:  self.Address,
		Owner:    p.peers.gate,
		Prober:   p.peers.membership,
		Spreader: p.peers.spread,
		Claims:   p.peers.ownership,
		Reports:  p.reporter,
		Client:   p.client,
	}
}

// controllers returns the parts that run.
func (p *peers) controllers() []func(context.Context) error {
	return []func(context.Context) error{
		p.server.Run, p.membership.Run, p.directory.Run, p.spread.Run, p.ownership.Run,
	}
}

// leave hands over what this entry owns.
func (p *peers) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	p.membership.Leave(ctx)
	p.ownership.Leave(ctx)
}

// newRandom returns a source that differs between entries.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
