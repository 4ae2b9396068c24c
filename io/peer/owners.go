package peer

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ownership"
	"wisteriadyke/core/reservation"
)

const (
	// ownerLookups bounds how often the owner of an endpoint is looked up for one reservation.
	ownerLookups = 5
	// ownerLookupInterval is the time before the first repeated look; it grows by as much with every one.
	ownerLookupInterval = 50 * time.Millisecond
	// ownerCandidates is the number of entries that are asked in one look, since an endpoint may just change its owner.
	ownerCandidates = 2
	// aliveInterval is the time between two questions whether an owner is alive, while a reservation waits for it.
	aliveInterval = 500 * time.Millisecond
	// aliveTimeout bounds one such question.
	aliveTimeout = 700 * time.Millisecond
)

// Owners reaches the owner of each endpoint, this entry or another. It reads the endpoints and entries of the blackboard.
type Owners struct {
	// State holds the endpoints and the live entries.
	State *clusterstate.State
	// Entry is this entry.
	Entry fleet.EntryID
	// Local answers for the endpoints that this entry owns.
	Local dispatch.ReservationClient
	// Client reaches the other entries.
	Client *Client
}

// Reserve asks the owner of the endpoint and waits until it grants or refuses. While the endpoint changes its owner, it
// looks again a bounded number of times.
func (o *Owners) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	err := error(unreachable())
	for lookup := range ownerLookups {
		if lookup > 0 && !o.wait(ctx, request, time.Duration(lookup)*ownerLookupInterval) {
			break
		}
		for _, owner := range o.candidates(request.Endpoint) {
			var grant reservation.Grant
			grant, err = o.reserveAt(ctx, owner, request)
			if !hasReason(err, reservation.ReasonNotOwner) {
				return grant, err
			}
		}
	}
	return reservation.Grant{}, err
}

// wait waits before the next look; it reports false if the request is too late for one.
func (o *Owners) wait(ctx context.Context, request reservation.Request, span time.Duration) bool {
	if !request.FirstTokenDeadline.IsZero() && time.Now().Add(span).After(request.FirstTokenDeadline) {
		return false
	}
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reserveAt asks one entry.
func (o *Owners) reserveAt(ctx context.Context, owner fleet.EntryID, request reservation.Request) (reservation.Grant, error) {
	if owner == o.Entry {
		return o.Local.Reserve(ctx, request)
	}
	client, err := o.remote(ctx, owner)
	if err != nil {
		return reservation.Grant{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		return o.watch(ctx, owner)
	})
	reply, err := client.Reserve(ctx, toReserveRequest(request, time.Now()))
	cancel()
	// The watch ends with the call or has ended it.
	_ = group.Wait()
	if err != nil {
		return reservation.Grant{}, unreachable()
	}
	return fromReserveReply(request.Endpoint, reply, time.Now())
}

// watch asks the owner now and then whether it is alive, and returns when it is not or ctx ends. A frozen process keeps
// its connections, so that a reservation would wait there for as long as the request may.
func (o *Owners) watch(ctx context.Context, owner fleet.EntryID) error {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := o.alive(ctx, owner); err != nil {
			return err
		}
	}
}

// alive asks the owner whether it is alive.
func (o *Owners) alive(ctx context.Context, owner fleet.EntryID) error {
	entry, found := o.State.Entries.Get(owner)
	if !found {
		return unreachable()
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	_, err := NewDRPCOwnerClient(o.Client.gossipConn(ctx, entry.Address)).Alive(ctx, &AliveRequest{})
	return errors.Wrapf(err, "owner %s", owner)
}

// Renew reports progress to the entry that granted the reservation, or to the present owner.
func (o *Owners) Renew(ctx context.Context, progress reservation.Progress) error {
	return o.tell(progress.Endpoint, progress.Owner, func(owner fleet.EntryID) error {
		if owner == o.Entry {
			return o.Local.Renew(ctx, progress)
		}
		client, err := o.remote(ctx, owner)
		if err != nil {
			return err
		}
		return ownerResult(client.Renew(ctx, toRenewRequest(progress)))
	})
}

// Release gives a reservation back to the entry that granted it, or to the present owner.
func (o *Owners) Release(ctx context.Context, release reservation.Release) error {
	return o.tell(release.Endpoint, release.Owner, func(owner fleet.EntryID) error {
		if owner == o.Entry {
			return o.Local.Release(ctx, release)
		}
		client, err := o.remote(ctx, owner)
		if err != nil {
			return err
		}
		return ownerResult(client.Release(ctx, toReleaseRequest(release)))
	})
}

// tell calls the granting entry, and if that is gone or does not own the endpoint any more, those that may.
func (o *Owners) tell(endpoint fleet.EndpointID, granting fleet.EntryID, call func(owner fleet.EntryID) error) error {
	err := call(granting)
	if !moved(err) {
		return err
	}
	for _, owner := range o.candidates(endpoint) {
		if owner == granting {
			continue
		}
		if again := call(owner); !moved(again) {
			return again
		}
	}
	return err
}

// moved tells whether another entry may know the reservation.
func moved(err error) bool {
	return hasReason(err, reservation.ReasonNotOwner, reservation.ReasonUnreachable, reservation.ReasonUnknownReservation)
}

// hasReason tells whether an error is a refusal for one of the reasons.
func hasReason(err error, reasons ...reservation.Reason) bool {
	var refusal *reservation.Refusal
	return errors.As(err, &refusal) && slices.Contains(reasons, refusal.Reason)
}

// candidates returns the entries that may own an endpoint, the most likely first.
func (o *Owners) candidates(id fleet.EndpointID) []fleet.EntryID {
	endpoint, found := o.State.Endpoints.Get(id)
	if !found {
		return nil
	}
	return ownership.RankOwners(endpoint, o.State.Entries.Snapshot().Rows, ownerCandidates)
}

// remote returns the client of another entry.
func (o *Owners) remote(ctx context.Context, id fleet.EntryID) (DRPCOwnerClient, error) {
	entry, found := o.State.Entries.Get(id)
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
