package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/ownership"
	"wisteriadyke/io/peer"
)

// handoverTimeout bounds the time in which a leaving entry announces its departure and others claim its endpoints.
const handoverTimeout = 10 * time.Second

// peers holds the components that communicate with other entries.
type peers struct {
	lease      *membership.Lease
	membership *membership.Controller
	ownership  *ownership.Controller
	gossip     *gossip.Controller
	directory  *peer.Directory
	server     *peer.Server
	leaseGuard *ownership.LeaseGuard
}

// buildPeers creates the components that communicate with other entries.
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
		State:     p.state,
		Transport: p.client,
		Lease:     lease,
		Clock:     &p.timeline.Clock,
		Random:    newRandom(),
		Log:       p.Log,
	}
	p.peers.ownership = &ownership.Controller{
		Entry:     self.ID,
		Zone:      self.Zone,
		State:     p.state,
		Pool:      p.pool,
		Lease:     lease,
		Clock:     &p.timeline.Clock,
		Transport: p.client,
		Log:       p.Log,
	}
	p.peers.gossip = &gossip.Controller{
		Entry:     self,
		Store:     p.gossipStore,
		State:     p.state,
		Seeds:     p.Settings.Peers,
		Transport: p.client,
		Random:    newRandom(),
	}
	p.peers.directory = &peer.Directory{
		Entry: self.ID, Zone: self.Zone, State: p.state, Store: p.gossipStore, Lease: lease,
	}
	p.peers.leaseGuard = &ownership.LeaseGuard{Owner: p.pool, Entry: self.ID, Active: p.peers.ownership.Active}
	p.peers.server = &peer.Server{
		Address:        self.Address,
		Owner:          p.peers.leaseGuard,
		ProbeReceiver:  p.peers.membership,
		GossipReceiver: p.peers.gossip,
		Claims:         p.peers.ownership,
		ReportReceiver: p.reporter,
		Client:         p.client,
		MaxConns:       p.maxConns(peerShare, memoryPerPeer),
	}
	if p.Settings.Memory > 0 {
		p.peers.server.Memory = semaphore.NewWeighted(p.memoryShare(peerMemoryShare))
	}
}

// components returns the Run methods of those components that run in the background.
func (p *peers) components() []func(context.Context) error {
	return []func(context.Context) error{
		p.server.Run, p.membership.Run, p.directory.Run, p.gossip.Run, p.ownership.Run,
	}
}

// leave announces the departure of this entry and hands its endpoints over, within handoverTimeout.
func (p *peers) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	p.membership.Leave(ctx)
	p.ownership.Leave(ctx)
}

// newRandom returns a randomly seeded random source.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
