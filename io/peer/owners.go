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
	// maxOwnerLookups bounds the lookups of an endpoint's owner for one reservation.
	maxOwnerLookups = 5
	// ownerLookupInterval is the delay before the second lookup; each further delay is longer by the same amount.
	ownerLookupInterval = 50 * time.Millisecond
	// maxOwnerCandidates bounds the entries that are called after one lookup. More than one is called because the endpoint
	// may just be changing its owner.
	maxOwnerCandidates = 2
	// aliveInterval is the time between two liveness checks of an owner while a Reserve call waits for its reply.
	aliveInterval = 500 * time.Millisecond
	// aliveTimeout bounds one liveness check.
	aliveTimeout = 700 * time.Millisecond
)

// Owners calls the owner of each endpoint, which is this entry or another one. It reads the tables Endpoints and
// Entries of the cluster state. It implements dispatch.ReservationClient.
type Owners struct {
	// State holds the endpoints and the live entries.
	State *clusterstate.State
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Local receives the calls for the endpoints that this entry owns.
	Local dispatch.ReservationClient
	// Client calls the other entries.
	Client *Client
}

// Reserve requests a reservation and waits until the owner of the endpoint grants or refuses it. While none of the
// called entries owns the endpoint, it repeats the lookup with increasing delays, up to maxOwnerLookups lookups in all.
// Refusals are returned as *reservation.Refusal; the reason is ReasonUnreachable if the owner is unknown or the call to
// it fails, and ReasonNotOwner if the entry called last does not own the endpoint.
func (o *Owners) Reserve(ctx context.Context, request reservation.Request) (reservation.Grant, error) {
	err := error(unreachableRefusal())
	for lookup := range maxOwnerLookups {
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

// wait waits for delay before the next lookup and reports true. It returns false as soon as ctx ends, or at once if the
// delay would end after the first-token deadline.
func (o *Owners) wait(ctx context.Context, request reservation.Request, delay time.Duration) bool {
	if !request.FirstTokenDeadline.IsZero() && time.Now().Add(delay).After(request.FirstTokenDeadline) {
		return false
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reserveAt requests the reservation from the entry owner. If that is another entry that is not live, or the call to it
// fails, it returns a refusal with the reason ReasonUnreachable.
func (o *Owners) reserveAt(ctx context.Context, owner fleet.EntryID, request reservation.Request) (reservation.Grant, error) {
	if owner == o.Entry {
		return o.Local.Reserve(ctx, request)
	}
	client, err := o.remoteOwner(ctx, owner)
	if err != nil {
		return reservation.Grant{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		return o.watchOwner(ctx, owner)
	})
	reply, err := client.Reserve(ctx, toReserveRequest(request, time.Now()))
	cancel()
	// A failed liveness check has canceled the call; otherwise watchOwner returns because ctx is canceled.
	_ = group.Wait()
	if err != nil {
		return reservation.Grant{}, unreachableRefusal()
	}
	return fromReserveReply(request.Endpoint, reply, time.Now())
}

// watchOwner checks every aliveInterval that the owner is alive. It returns an error when a check fails, and nil when
// ctx ends. A frozen process leaves its connections open, so without the checks a Reserve call to it would wait until
// the deadline of the request.
func (o *Owners) watchOwner(ctx context.Context, owner fleet.EntryID) error {
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := o.checkAlive(ctx, owner); err != nil {
			return err
		}
	}
}

// checkAlive sends one liveness check to the owner. It returns an error if the owner is not among the live entries or
// does not reply within aliveTimeout.
func (o *Owners) checkAlive(ctx context.Context, owner fleet.EntryID) error {
	entry, found := o.State.Entries.Get(owner)
	if !found {
		return unreachableRefusal()
	}
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	_, err := NewDRPCOwnerClient(o.Client.shortCallConn(ctx, entry.Address)).Alive(ctx, &AliveRequest{})
	return errors.Wrapf(err, "owner %s", owner)
}

// Renew reports progress to the entry that granted the reservation or, if that entry is unreachable or no longer has
// the reservation, to the current owner.
func (o *Owners) Renew(ctx context.Context, progress reservation.Progress) error {
	return o.callOwner(progress.Endpoint, progress.Owner, func(owner fleet.EntryID) error {
		if owner == o.Entry {
			return o.Local.Renew(ctx, progress)
		}
		client, err := o.remoteOwner(ctx, owner)
		if err != nil {
			return err
		}
		return ownerResult(client.Renew(ctx, toRenewRequest(progress)))
	})
}

// Release returns a reservation to the entry that granted it or, if that entry is unreachable or no longer has the
// reservation, to the current owner.
func (o *Owners) Release(ctx context.Context, release reservation.Release) error {
	return o.callOwner(release.Endpoint, release.Owner, func(owner fleet.EntryID) error {
		if owner == o.Entry {
			return o.Local.Release(ctx, release)
		}
		client, err := o.remoteOwner(ctx, owner)
		if err != nil {
			return err
		}
		return ownerResult(client.Release(ctx, toReleaseRequest(release)))
	})
}

// callOwner applies call to the granting entry and, if that entry is unreachable or no longer has the reservation, to
// the entries that may own the endpoint. It returns the first result of an entry that has the reservation, or the error
// of the granting entry.
func (o *Owners) callOwner(endpoint fleet.EndpointID, grantor fleet.EntryID, call func(owner fleet.EntryID) error) error {
	err := call(grantor)
	if !mayHaveMoved(err) {
		return err
	}
	for _, owner := range o.candidates(endpoint) {
		if owner == grantor {
			continue
		}
		if retryErr := call(owner); !mayHaveMoved(retryErr) {
			return retryErr
		}
	}
	return err
}

// mayHaveMoved reports whether another entry may have the reservation.
func mayHaveMoved(err error) bool {
	return hasReason(err, reservation.ReasonNotOwner, reservation.ReasonUnreachable, reservation.ReasonUnknownReservation)
}

// hasReason reports whether err is a refusal for one of the reasons.
func hasReason(err error, reasons ...reservation.Reason) bool {
	var refusal *reservation.Refusal
	return errors.As(err, &refusal) && slices.Contains(reasons, refusal.Reason)
}

// candidates returns up to maxOwnerCandidates entries that may own an endpoint, the most likely one first.
func (o *Owners) candidates(id fleet.EndpointID) []fleet.EntryID {
	endpoint, found := o.State.Endpoints.Get(id)
	if !found {
		return nil
	}
	return ownership.RankOwners(endpoint, o.State.Entries.Snapshot().Rows, maxOwnerCandidates)
}

// remoteOwner returns a client for the Owner service of another entry, or a refusal with the reason ReasonUnreachable
// if the entry is not among the live ones.
func (o *Owners) remoteOwner(ctx context.Context, id fleet.EntryID) (DRPCOwnerClient, error) {
	entry, found := o.State.Entries.Get(id)
	if !found {
		return nil, unreachableRefusal()
	}
	return NewDRPCOwnerClient(o.Client.blockingCallConn(ctx, entry.Address)), nil
}

// ownerResult returns the refusal in an owner's reply, or nil if there is none. A failed call becomes a refusal with
// the reason ReasonUnreachable.
func ownerResult(reply *OwnerReply, err error) error {
	if err != nil {
		return errors.WithStack(unreachableRefusal())
	}
	if reply.Refusal != nil {
		return fromRefusal(reply.Refusal, time.Now())
	}
	return nil
}

// unreachableRefusal returns the refusal for an owner that can't be reached.
func unreachableRefusal() *reservation.Refusal {
	return &reservation.Refusal{Reason: reservation.ReasonUnreachable}
}
