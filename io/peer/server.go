// Package peer implements the calls between entries over DRPC.
package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/reservation"
	"wisteriadyke/io/tcp"
)

// ackTimeout is how long data sent to another entry may stay unacknowledged, so that an answer that it doesn't take holds
// nothing up for long.
const ackTimeout = 5 * time.Second

// serverIdleTimeout is how long a connection may carry no call. It is longer than idleConnTimeout, so that the other entry
// closes a sound connection first. DRPC doesn't notice that a connection has ended whose first packet begins no call.
const serverIdleTimeout = 25 * time.Second

// Server serves calls from other entries. Its fields are set before Run or Serve.
type Server struct {
	// Address is the address to listen on.
	Address netip.AddrPort
	// Owner serves the reservation calls for the endpoints that this entry owns; nil disables the service.
	Owner dispatch.ReservationClient
	// ProbeReceiver answers probes; nil disables the service, including probes for other entries.
	ProbeReceiver ProbeReceiver
	// GossipReceiver answers the gossip calls; nil disables the service.
	GossipReceiver GossipReceiver
	// Claims answers claims of endpoints; nil disables the service.
	Claims Claims
	// ReportReceiver receives the endpoint reports of other owners; nil disables the service.
	ReportReceiver ReportReceiver
	// Choosers receives usage reports and answers choose requests; nil disables the service.
	Choosers Choosers
	// SuspectRecords holds the suspect records that are exchanged with usage reports; it is required with Choosers.
	SuspectRecords SuspectRecords
	// Parts exchanges what is known about prompt parts with usage reports; nil disables that.
	Parts PartExchange
	// Freshness supplies the freshness of this entry's configuration for the replies to usage reports; nil leaves it out.
	Freshness FreshnessSource
	// Forwards serves requests that other entries pass on; nil disables the service.
	Forwards ForwardReceiver
	// Reach connects to endpoints for other entries, and Codec encodes payloads; both are required with Forwards.
	Reach EndpointReach
	Codec PayloadCodec
	// Rows answers polls of the store's tables; nil disables the service.
	Rows RowsReceiver
	// Clock returns the time on the clock of the tables; it is required with Rows.
	Clock func() time.Duration
	// Client forwards probes for other entries; it is required with ProbeReceiver.
	Client *Client
	// MaxConns is the maximum number of connections; 0 means no limit.
	MaxConns int
	// Memory bounds the memory for incomplete messages on all connections together, in bytes; nil means no bound.
	Memory *semaphore.Weighted
}

// Run listens on Address and serves until ctx ends; it returns an error if it can't listen.
func (s *Server) Run(ctx context.Context) error {
	config := net.ListenConfig{Control: tcp.Buffers{Read: serverReadBytes}.Control}
	listener, err := config.Listen(ctx, "tcp", s.Address.String())
	if err != nil {
		return errors.Wrap(err, "peer server")
	}
	listener = &tcp.Listener{Listener: listener, AckTimeout: ackTimeout}
	if s.MaxConns > 0 {
		listener = &tcp.LimitListener{
			Listener: listener, MaxConns: s.MaxConns, MessageMemory: s.Memory,
			MessageCost: tcp.MessageCost{FreeBytes: serverFreeBytes, PerByte: memoryPerByte},
		}
	}
	return s.Serve(ctx, listener)
}

// Serve serves the connections of listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := s.register(mux); err != nil {
		return errors.Wrap(err, "peer server")
	}
	server := drpcserver.NewWithOptions(limitedHandler{Handler: mux}, drpcserver.Options{
		Manager: drpcmanager.Options{InactivityTimeout: serverIdleTimeout},
	})
	return errors.Wrap(server.Serve(ctx, listener), "peer server")
}

// register adds the enabled services to mux.
func (s *Server) register(mux *drpcmux.Mux) error {
	if s.Owner != nil {
		if err := DRPCRegisterOwner(mux, &ownerHandler{owner: s.Owner}); err != nil {
			return err
		}
	}
	if s.Choosers != nil {
		if err := DRPCRegisterUsage(mux, &usageHandler{choosers: s.Choosers, suspectRecords: s.SuspectRecords, parts: s.Parts, freshness: s.Freshness}); err != nil {
			return err
		}
	}
	if s.Rows != nil {
		if err := DRPCRegisterRows(mux, &rowsHandler{receiver: s.Rows, clock: s.Clock}); err != nil {
			return err
		}
	}
	if s.Forwards != nil {
		if err := DRPCRegisterForward(mux, &forwardHandler{receiver: s.Forwards, reach: s.Reach, codec: s.Codec}); err != nil {
			return err
		}
	}
	if s.ProbeReceiver != nil {
		if err := DRPCRegisterMember(mux, &memberHandler{receiver: s.ProbeReceiver, client: s.Client}); err != nil {
			return err
		}
	}
	if s.GossipReceiver != nil {
		if err := DRPCRegisterSpread(mux, &gossipHandler{receiver: s.GossipReceiver}); err != nil {
			return err
		}
	}
	if s.ReportReceiver != nil {
		if err := DRPCRegisterReport(mux, &reportHandler{receiver: s.ReportReceiver}); err != nil {
			return err
		}
	}
	if s.Claims == nil {
		return nil
	}
	return DRPCRegisterClaim(mux, &claimHandler{claims: s.Claims})
}

// ownerHandler implements the Owner service.
type ownerHandler struct {
	owner dispatch.ReservationClient
}

// Reserve requests a reservation from this entry and waits until it is granted or refused.
func (h *ownerHandler) Reserve(ctx context.Context, m *ReserveRequest) (*ReserveReply, error) {
	grant, err := h.owner.Reserve(ctx, fromReserveRequest(m, time.Now()))
	if err != nil {
		refusal, err := refusalMessage(err)
		return &ReserveReply{Refusal: refusal}, err
	}
	return toReserveReply(grant), nil
}

// Renew passes the progress of an attempt to the owner.
func (h *ownerHandler) Renew(ctx context.Context, m *RenewRequest) (*OwnerReply, error) {
	refusal, err := refusalMessage(h.owner.Renew(ctx, fromRenewRequest(m)))
	return &OwnerReply{Refusal: refusal}, err
}

// Release passes the release of a reservation to the owner.
func (h *ownerHandler) Release(ctx context.Context, m *ReleaseRequest) (*OwnerReply, error) {
	refusal, err := refusalMessage(h.owner.Release(ctx, fromReleaseRequest(m)))
	return &OwnerReply{Refusal: refusal}, err
}

// Alive replies to a liveness check.
func (h *ownerHandler) Alive(context.Context, *AliveRequest) (*AliveReply, error) {
	return &AliveReply{}, nil
}

// refusalMessage returns the message for the refusal in err, or err if it holds none. Both are nil for a nil err.
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
