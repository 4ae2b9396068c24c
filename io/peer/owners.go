package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ownership"
	"wisteriadyke/core/reservation"
)

// Owners reaches the owner of each endpoint, this entry or another. It reads the endpoints and entries of the blackboard.
type Owners struct {
	// Board holds the endpoints and the live entries.
	Board *blackboard.Board
	// Entry is this entry.
	Entry fleet.EntryID
	// Local answers for the endpoints that this entry owns.
	Local dispatch.Owners
	// Client reaches the other entries.
	Client *Client
}

// Reserve asks the owner of the endpoint and waits until it grants or refuses.
func (o *Owners) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	owner := o.owner(request.Endpoint)
	if owner == o.Entry {
		return o.Local.Reserve(ctx, request)
	}
	client, err := o.remote(ctx, owner)
	if err != nil {
		return reservation.Grant{}, err
	}
	reply, err := client.Reserve(ctx, toReserveRequest(request, time.Now()))
	if err != nil {
		return reservation.Grant{}, unreachable()
	}
	return fromReserveReply(request.Endpoint, reply, time.Now())
}

// Renew reports progress to the entry that granted the reservation.
func (o *Owners) Renew(ctx context.Context, progress reservation.Progress) error {
	if progress.Owner == o.Entry {
		return o.Local.Renew(ctx, progress)
	}
	client, err := o.remote(ctx, progress.Owner)
	if err != nil {
		return err
	}
	return ownerResult(client.Renew(ctx, toRenewRequest(progress)))
}

// Release gives a reservation back to the entry that granted it.
func (o *Owners) Release(ctx context.Context, release reservation.Release) error {
	if release.Owner == o.Entry {
		return o.Local.Release(ctx, release)
	}
	client, err := o.remote(ctx, release.Owner)
	if err != nil {
		return err
	}
	return ownerResult(client.Release(ctx, toReleaseRequest(release)))
}

// owner returns the owner of an endpoint, or "".
func (o *Owners) owner(id fleet.EndpointID) fleet.EntryID {
	endpoint, found := o.Board.Endpoints.Get(id)
	if !found {
		return ""
	}
	return ownership.Rendezvous(endpoint, o.Board.Entries.View().Rows)
}

// remote returns the client of another entry.
func (o *Owners) remote(ctx context.Context, id fleet.EntryID) (DRPCOwnerClient, error) {
	entry, found := o.Board.Entries.Get(id)
	if !found {
		return nil, unreachable()
	}
	return NewDRPCOwnerClient(o.Client.conn(ctx, entry.Address)), nil
}

// ownerResult turns the reply of an owner into its refusal, if it is one.
func ownerResult(reply *OwnerReply, err error) error {
	if err != nil {
		return errors.WithStack(unreachable())
	}
	if reply.Refusal != nil {
		return fromRefusal(reply.Refusal, time.Now())
	}
	return nil
}

// unreachable is the refusal of an owner that can't be asked.
func unreachable() *reservation.Refusal {
	return &reservation.Refusal{Reason: reservation.ReasonUnreachable}
}
