// Package peer carries the calls between entries over drpc.
package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/reservation"
)

// Server answers other entries. Its fields are set before Run.
type Server struct {
	// Address is where it listens.
	Address netip.AddrPort
	// Owner answers for the endpoints that this entry owns; nil means that it owns none.
	Owner dispatch.ReservationClient
	// Prober answers probes; nil means that none are answered, nor passed on.
	Prober Prober
	// Spreader answers the exchange of items; nil means that it is not answered.
	Spreader Spreader
	// Claims answers claims of endpoints; nil means that they are not answered.
	Claims Claims
	// Reports takes what other owners tell; nil means that it is not taken.
	Reports Reports
	// Choosers takes what other entries run and chooses for them; nil means that neither is done.
	Choosers Choosers
	// Deaths takes what they tell of requests that endpoints died of.
	Deaths Deaths
	// Freshness tells those entries how fresh the configuration is; nil tells nothing.
	Freshness FreshnessSource
	// Client passes probes on.
	Client *Client
}

// Run serves until ctx ends; it returns an error when the address can't be used.
func (s *Server) Run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return errors.Wrap(err, "peer server")
	}
	return s.Serve(ctx, listener)
}

// Serve answers the connections of listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := s.register(mux); err != nil {
		return errors.Wrap(err, "peer server")
	}
	return errors.Wrap(drpcserver.New(mux).Serve(ctx, listener), "peer server")
}

// register adds the services that are answered.
func (s *Server) register(mux *drpcmux.Mux) error {
	if s.Owner != nil {
		if err := DRPCRegisterOwner(mux, &ownerHandler{owner: s.Owner}); err != nil {
			return err
		}
	}
	if s.Choosers != nil {
		if err := DRPCRegisterUsage(mux, &usageHandler{placers: s.Choosers, deaths: s.Deaths, witness: s.Freshness}); err != nil {
			return err
		}
	}
	if s.Prober != nil {
		if err := DRPCRegisterMember(mux, &memberHandler{prober: s.Prober, client: s.Client}); err != nil {
			return err
		}
	}
	if s.Spreader != nil {
		if err := DRPCRegisterSpread(mux, &spreadHandler{spreader: s.Spreader}); err != nil {
			return err
		}
	}
	if s.Reports != nil {
		if err := DRPCRegisterReport(mux, &reportHandler{reports: s.Reports}); err != nil {
			return err
		}
	}
	if s.Claims == nil {
		return nil
	}
	return DRPCRegisterClaim(mux, &claimHandler{claims: s.Claims})
}

// ownerHandler turns messages into calls of the local owner.
type ownerHandler struct {
	owner dispatch.ReservationClient
}

// Reserve waits until the owner grants or refuses.
func (h *ownerHandler) Reserve(ctx context.Context, m *ReserveRequest) (*ReserveReply, error) {
	grant, err := h.owner.Reserve(ctx, fromReserveRequest(m, time.Now()))
	if err != nil {
		refusal, err := refusalMessage(err)
		return &ReserveReply{Refusal: refusal}, err
	}
	return toReserveReply(grant), nil
}

// Renew reports progress of an attempt.
func (h *ownerHandler) Renew(ctx context.Context, m *RenewRequest) (*OwnerReply, error) {
	refusal, err := refusalMessage(h.owner.Renew(ctx, fromRenewRequest(m)))
	return &OwnerReply{Refusal: refusal}, err
}

// Release gives a reservation back.
func (h *ownerHandler) Release(ctx context.Context, m *ReleaseRequest) (*OwnerReply, error) {
	refusal, err := refusalMessage(h.owner.Release(ctx, fromReleaseRequest(m)))
	return &OwnerReply{Refusal: refusal}, err
}

// Alive answers while this entry does.
func (h *ownerHandler) Alive(context.Context, *AliveRequest) (*AliveReply, error) {
	return &AliveReply{}, nil
}

// refusalMessage returns the message of a refusal and passes any other error on.
func refusalMessage(err error) (*Refusal, error) {
	if err == nil {
		return nil, nil
	}
	var refusal *reservation.Refusal
	if errors.As(err, &refusal) {
		return toRefusal(refusal, time.Now()), nil
	}
	return nil, err
}
